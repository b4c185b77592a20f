"""Watches of the store that go silent, beside a store that is there or away."""

import asyncio
import random

import pytest
from users_platform import watch_times

from tests import test_users_platform as platforms
from tests.fakes import host as hosts
from tests.fakes import store_entries

#: Settings of deployments: drain_ms, contact_ms, beat_ms.
SETTINGS = [
    (2000, 3000, 1200),
    (3000, 3000, 1200),
    (2000, 5000, 1200),
    (4000, 5000, 2000),
]
#: Entries that expired during an outage are back within this time.
RETURN_S = 2.0
#: A call that is waiting when the store is back fails within this time, and the
#: next one follows after a pause.
REACHED_S = 1.3
TARGETS = ('i-0', 'i-1', 'i-2')


async def start(settings=SETTINGS[0], entries=3):
    drain_ms, contact_ms, beat_ms = settings
    scene = store_entries.StoreScene(
        drain_ms=drain_ms, contact_ms=contact_ms, beat_ms=beat_ms
    )
    scene.store.put('op/config', {**platforms.CONFIGURATION, 'version': 1})
    for target in TARGETS:
        put_target(scene, target, sequence=1)
    await scene.start(entries)
    await asyncio.sleep(6)
    assert all(entry.usable() == set(TARGETS) for entry in scene.entries)
    return scene


def put_target(scene, target, *, sequence, state='ready'):
    scene.store.put(
        f'servers/{target}',
        {
            **platforms.SERVER,
            'address': f'10.0.0.{TARGETS.index(target)}:80',
            'seq': sequence,
            'state': state,
        },
    )


@pytest.mark.parametrize('settings', SETTINGS)
@pytest.mark.parametrize('is_draining', [False, True])
@pytest.mark.parametrize('removed_s', [-0.02, 0.0, 0.1, 0.8, 1.5, 2.2, 2.8])
@hosts.virtual
async def test_target_that_leaves_beside_a_silent_watch_gets_no_late_work(
    removed_s, is_draining, settings
):
    # Guards against: one silent connection is taken for a store that is away,
    # and a target whose removal was read stays in use.
    drain_s, contact_s = settings[0] / 1000, settings[1] / 1000
    generator = random.Random(repr((removed_s, is_draining, settings)))
    for _ in range(4):
        scene = await start(settings)
        await asyncio.sleep(generator.uniform(0, 2.5))
        loop = asyncio.get_running_loop()
        silent_s = loop.time() - min(0, removed_s)
        asyncio.get_running_loop().call_at(
            silent_s, scene.store.silence_watches
        )
        await asyncio.sleep(max(0, removed_s))
        left_s = loop.time()
        if is_draining:
            put_target(scene, 'i-1', sequence=2, state='draining')
        else:
            scene.store.delete('servers/i-1')
        # Entries are in touch again when this time after the silence is over.
        until_s = max(left_s + drain_s, silent_s + contact_s)
        await asyncio.sleep(until_s - loop.time())
        assert all(entry.usable() == {'i-0', 'i-2'} for entry in scene.entries)


@pytest.mark.parametrize('silent_s', [3.0, 4.0, 5.5, 8.0])
@pytest.mark.parametrize('wait_s', [0.0, 0.3, 0.6, 0.9, 1.2, 1.5, 1.8, 2.1])
@hosts.virtual
async def test_silent_outage_keeps_sound_targets_whose_entries_expired(
    wait_s, silent_s
):
    # Guards against: targets that run are dropped while the store is away.
    scene = await start()
    await asyncio.sleep(wait_s)
    scene.store.is_silent = True
    scene.store.silence_watches()
    # Engines whose heartbeat was due when the store went away expire first.
    await asyncio.sleep(2.4)
    for target in TARGETS:
        scene.store.delete(f'servers/{target}')
    await asyncio.sleep(silent_s - 2.4)
    scene.store.speak_again()
    loop = asyncio.get_running_loop()
    back_s = loop.time()
    while loop.time() < back_s + RETURN_S:
        assert all(entry.usable() == set(TARGETS) for entry in scene.entries)
        await asyncio.sleep(0.05)
    put_target(scene, 'i-0', sequence=2)
    # Those that have not come back are gone.
    await asyncio.sleep(REACHED_S + 0.5)
    assert all(entry.usable() == {'i-0'} for entry in scene.entries)


@pytest.mark.parametrize('contact_ms', [3000, 5000])
@hosts.virtual
async def test_configuration_is_in_force_in_time_beside_a_silent_watch(
    contact_ms,
):
    for step in range(8):
        scene = await start((2000, contact_ms, 1200))
        await asyncio.sleep(0.13 * step)
        scene.store.silence_watches()
        await asyncio.sleep(0.05)
        scene.store.put('op/config', {**platforms.CONFIGURATION, 'version': 2})
        await asyncio.sleep(contact_ms / 1000 - 0.05)
        assert all(entry.version == 2 for entry in scene.entries)


@pytest.mark.parametrize('entries', [7, 98, 256])
@hosts.virtual
async def test_silent_watches_cost_one_read_each(entries):
    scene = await start(entries=entries)
    begin = len(scene.store.calls)
    scene.store.silence_watches()
    await asyncio.sleep(3.0)
    reads = scene.reads_since(begin)
    # Those that watch the configuration read it as well.
    assert entries <= len(reads) <= entries + 4


@pytest.mark.parametrize('drain_ms', [2000, 3000, 4000])
@pytest.mark.parametrize('contact_ms', [3000, 4000, 5000])
@pytest.mark.parametrize('beat_ms', [800, 1200, 2000, 5000])
def test_times_of_watches_fit_the_settings(beat_ms, contact_ms, drain_ms):
    times = watch_times.WatchTimes.derive(
        drain_ms=drain_ms, contact_ms=contact_ms, beat_ms=beat_ms
    )
    found_ms = times.cycle_ms + times.patience_ms + times.retry_max_ms
    assert found_ms < max(contact_ms, drain_ms)
    # An outage that a silent watch hides is too short for entries to expire.
    assert found_ms < times.expiry_ms
    assert 0 < times.pause_ms <= times.cycle_ms / 2
    assert times.pause_ms <= 0.2 * drain_ms
