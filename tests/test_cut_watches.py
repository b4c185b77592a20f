"""Watches of the store that end early, beside a store that is there or away."""

import asyncio

import pytest

from tests import test_users_platform as platforms
from tests.fakes import host as hosts
from tests.fakes import store_entries

DRAIN_S = store_entries.DRAIN_MS / 1000
APPLY_S = store_entries.APPLY_MS / 1000
#: Entries that expired during an outage are back within this time.
RETURN_S = 2.0
WATCH_S = 2.0


async def start(targets=('i-0', 'i-1')):
    scene = store_entries.StoreScene()
    scene.store.put('op/config', {**platforms.CONFIGURATION, 'version': 1})
    for number, target in enumerate(targets):
        scene.store.put(
            f'servers/{target}',
            {**platforms.SERVER, 'address': f'10.0.0.{number}:80', 'seq': 1},
        )
    await scene.start(2)
    await asyncio.sleep(6)
    assert all(entry.usable() == set(targets) for entry in scene.entries)
    return scene


@pytest.mark.parametrize('wait_s', [0.0, 0.3, 1.1, 1.9])
@pytest.mark.parametrize('removed_s', [-0.02, 0.0, 0.05, 0.5, 1.5])
@hosts.virtual
async def test_removed_target_is_used_no_longer_though_its_watch_was_cut(
    wait_s, removed_s
):
    scene = await start()
    await asyncio.sleep(wait_s)
    if removed_s < 0:
        scene.store.delete('servers/i-1')
        await asyncio.sleep(-removed_s)
        scene.store.cut_watches()
        await asyncio.sleep(DRAIN_S + removed_s)
    else:
        scene.store.cut_watches()
        await asyncio.sleep(removed_s)
        scene.store.delete('servers/i-1')
        await asyncio.sleep(DRAIN_S)
    assert all(entry.usable() == {'i-0'} for entry in scene.entries)


@hosts.virtual
async def test_watches_that_are_cut_again_and_again_keep_no_removed_target():
    scene = await start()
    loop = asyncio.get_running_loop()
    scene.store.delete('servers/i-1')
    removed_s = loop.time()
    while loop.time() < removed_s + DRAIN_S:
        scene.store.cut_watches()
        await asyncio.sleep(0.1)
    assert all(entry.usable() == {'i-0'} for entry in scene.entries)


@pytest.mark.parametrize('wait_s', [0.0, 0.3, 1.1, 1.9])
@pytest.mark.parametrize('away_s', [0.6, 1.5, 4.0])
@hosts.virtual
async def test_outage_that_begins_with_a_cut_watch_keeps_sound_targets(
    away_s, wait_s
):
    # The entry of a sound target expires while the store is away.
    scene = await start()
    await asyncio.sleep(wait_s)
    scene.store.go_down()
    await asyncio.sleep(away_s / 2)
    scene.store.delete('servers/i-1')
    await asyncio.sleep(away_s / 2)
    scene.store.is_down = False
    loop = asyncio.get_running_loop()
    back_s = loop.time()
    while loop.time() < back_s + RETURN_S:
        assert all('i-1' in entry.usable() for entry in scene.entries)
        await asyncio.sleep(0.05)
    # It has not come back, so it is gone.
    await asyncio.sleep(1.0)
    assert all(entry.usable() == {'i-0'} for entry in scene.entries)


@hosts.virtual
async def test_watch_that_is_cut_after_an_outage_keeps_sound_targets():
    scene = await start()
    scene.store.go_down()
    await asyncio.sleep(1.0)
    scene.store.delete('servers/i-1')
    await asyncio.sleep(1.0)
    scene.store.is_down = False
    await asyncio.sleep(0.6)
    scene.store.cut_watches()
    await asyncio.sleep(0.5)
    assert all('i-1' in entry.usable() for entry in scene.entries)


@hosts.virtual
async def test_change_is_in_force_in_time_though_its_watch_was_cut():
    for step in range(8):
        scene = await start()
        await asyncio.sleep(0.13 * step)
        scene.store.cut_watches()
        await asyncio.sleep(0.05)
        scene.store.put('op/config', {**platforms.CONFIGURATION, 'version': 2})
        # No longer than the pause before a read and the read itself.
        await asyncio.sleep(0.5)
        assert all(entry.version == 2 for entry in scene.entries)


@pytest.mark.parametrize('entries', [7, 98])
@hosts.virtual
async def test_cut_watches_are_read_again_once_and_not_together(entries):
    scene = store_entries.StoreScene()
    scene.store.put('op/config', {**platforms.CONFIGURATION, 'version': 1})
    scene.store.put('servers/i-0', {**platforms.SERVER, 'seq': 1})
    await scene.start(entries)
    await asyncio.sleep(6)
    begin = len(scene.store.calls)
    scene.store.cut_watches()
    await asyncio.sleep(0.1)
    assert not scene.reads_since(begin)
    await asyncio.sleep(0.9)
    assert len(scene.reads_since(begin)) <= entries + 2
