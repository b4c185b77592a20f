"""The store comes back from an older copy of what it had acknowledged."""

import asyncio

import pytest

from carobslip import observability
from tests import test_users_platform as platforms
from tests.fakes import host as hosts
from tests.fakes import store_entries

#: A confirmed change is in force within this time.
APPLY_S = 2.0
#: Longest time for which the store is away in these tests.
AWAY_S = 2.0
#: What was written before the loss has been written again within this time
#: after the store's return.
REWRITTEN_S = 2.0
#: A key that was taken away is no longer served after this time.
REVOKE_MS = 5000
#: Requests with a key are served while the configuration is younger than this.
SERVED_AGE_MS = 0.9 * REVOKE_MS


def configuration_of(version, *, keys=('k1',)):
    return {
        **platforms.CONFIGURATION,
        'version': version,
        'tenants': [{'name': 't1', 'api_keys': list(keys)}],
    }


def server_of(number, **changes):
    return {
        **platforms.SERVER,
        'address': f'10.0.0.{number}:80',
        'born': 1000,
        **changes,
    }


async def started_scene(*, entries=3):
    """Returns entries with three targets and version 7 in force."""
    scene = store_entries.StoreScene()
    for number in range(3):
        scene.store.put(f'servers/i-{number}', server_of(number))
    scene.store.put('op/config', configuration_of(7))
    await scene.start(entries)
    return scene


async def restore_after_outage(scene, copied):
    scene.store.go_down()
    await asyncio.sleep(AWAY_S)
    scene.store.restore(copied)


async def lose_versions(scene, versions):
    """Writes versions that the next restore loses; the store is down then."""
    copied = scene.store.copy()
    for version in versions:
        scene.store.put('op/config', configuration_of(version))
        await asyncio.sleep(0.3)
    await asyncio.sleep(APPLY_S)
    scene.store.go_down()
    await asyncio.sleep(AWAY_S)
    return copied


@pytest.mark.parametrize('lost', [1, 5, 25])
@hosts.virtual
async def test_version_written_after_a_restore_is_in_force_in_time(lost):
    scene = await started_scene()
    newest = 7 + lost
    copied = await lose_versions(scene, range(8, newest + 1))
    scene.store.restore(copied)
    scene.store.put('op/config', configuration_of(newest))
    await asyncio.sleep(REWRITTEN_S)
    scene.store.put('op/config', configuration_of(newest + 1))
    await asyncio.sleep(APPLY_S)
    assert {entry.version for entry in scene.entries} == {newest + 1}


@hosts.virtual
async def test_older_copy_of_the_configuration_is_never_in_force():
    scene = await started_scene()
    copied = await lose_versions(scene, [8, 9])
    scene.store.restore(copied)
    for _ in range(40):
        await asyncio.sleep(0.1)
        assert {entry.version for entry in scene.entries} == {9}


@hosts.virtual
async def test_configuration_that_the_store_no_longer_holds_grows_old():
    scene = await started_scene()
    copied = await lose_versions(scene, [8, 9])
    scene.store.restore(copied)
    await asyncio.sleep(REVOKE_MS / 1000)
    assert all(entry.age_ms >= REVOKE_MS for entry in scene.entries)


@pytest.mark.parametrize('lost', [0, 1, 25])
@hosts.virtual
async def test_restore_costs_each_entry_a_few_calls(lost):
    scene = await started_scene()
    copied = scene.store.copy()
    for version in range(8, 8 + lost):
        scene.store.put('op/config', configuration_of(version))
    await asyncio.sleep(1)
    before = [scene.store.calls_of(entry.name) for entry in scene.entries]
    await asyncio.sleep(10)
    usual = [
        scene.store.calls_of(entry.name) - count
        for entry, count in zip(scene.entries, before, strict=True)
    ]
    await restore_after_outage(scene, copied)
    scene.store.calls.clear()
    await asyncio.sleep(10)
    after = [scene.store.calls_of(entry.name) for entry in scene.entries]
    assert max(after) <= max(usual) + 10


@pytest.mark.parametrize('number', [0, 1, 2])
@hosts.virtual
async def test_change_below_a_revision_given_out_again_is_not_missed(number):
    scene = await started_scene()
    copied = scene.store.copy()
    scene.store.put('op/config', configuration_of(8))
    await asyncio.sleep(APPLY_S)
    away = scene.entries[number]
    scene.cut_off(away)
    scene.store.restore(copied)
    scene.store.put('op/config', configuration_of(9))
    for number in range(5):
        scene.store.put(f'servers/new-{number}', server_of(10 + number))
    await asyncio.sleep(1)
    scene.store.cut.clear()
    await asyncio.sleep(APPLY_S)
    assert 'new-0' in away.usable()
    await asyncio.sleep(2 * APPLY_S)
    assert away.version == 9


@hosts.virtual
async def test_target_change_below_a_revision_given_out_again_is_not_missed():
    scene = await started_scene()
    copied = scene.store.copy()
    scene.store.put('servers/new', server_of(9, seq=1))
    await asyncio.sleep(0.05)
    # The lists pause after an answer, so that they do not notice the loss.
    scene.store.go_down()
    await asyncio.sleep(0.05)
    scene.store.restore(copied)
    scene.store.put('servers/i-0', server_of(0, state='draining', seq=5))
    scene.store.put('servers/new', server_of(9, seq=2))
    await asyncio.sleep(store_entries.DRAIN_MS / 1000)
    assert all('i-0' not in entry.usable() for entry in scene.entries)


@pytest.mark.parametrize('phase_s', [0.0, 0.1, 0.2, 0.3])
@pytest.mark.parametrize('away_s', [0.05, AWAY_S])
@hosts.virtual
async def test_target_that_joined_in_the_lost_time_stays_in_use(
    away_s, phase_s
):
    scene = await started_scene()
    copied = scene.store.copy()
    scene.store.put('servers/new', server_of(9, seq=1))
    await asyncio.sleep(0.05 + phase_s)
    scene.store.go_down()
    await asyncio.sleep(away_s)
    scene.store.restore(copied)
    for step in range(10):
        await asyncio.sleep(0.2)
        if step == 8:
            scene.store.put('servers/new', server_of(9, seq=2))
        assert all('new' in entry.usable() for entry in scene.entries)
    await asyncio.sleep(2)
    assert all('new' in entry.usable() for entry in scene.entries)


@pytest.mark.parametrize('is_announced', [True, False])
@hosts.virtual
async def test_target_that_left_in_the_lost_time_stays_out_of_use(
    is_announced,
):
    scene = await started_scene()
    copied = scene.store.copy()
    if is_announced:
        scene.store.put('servers/i-0', server_of(0, state='draining', seq=5))
        await asyncio.sleep(1)
    scene.store.delete('servers/i-0')
    await asyncio.sleep(2)
    await restore_after_outage(scene, copied)
    for _ in range(30):
        await asyncio.sleep(0.1)
        assert all('i-0' not in entry.usable() for entry in scene.entries)


@hosts.virtual
async def test_draining_target_is_not_ready_again_after_a_restore():
    scene = await started_scene()
    copied = scene.store.copy()
    scene.store.put('servers/i-0', server_of(0, state='draining', seq=5))
    await asyncio.sleep(2)
    scene.store.restore(copied)
    for _ in range(30):
        await asyncio.sleep(0.1)
        assert all('i-0' not in entry.usable() for entry in scene.entries)


# name: report of a target that left in the lost time
NEW_REPORTS = {
    'the same start, a later report': {'seq': 6},
    'a later start, its first report': {'born': 2000, 'seq': 1},
}


@pytest.mark.parametrize('name', NEW_REPORTS)
@hosts.virtual
async def test_target_that_reports_anew_after_a_restore_is_used(name):
    scene = await started_scene()
    copied = scene.store.copy()
    scene.store.delete('servers/i-0')
    await asyncio.sleep(3)
    await restore_after_outage(scene, copied)
    await asyncio.sleep(1)
    scene.store.put('servers/i-0', server_of(0, **NEW_REPORTS[name]))
    await asyncio.sleep(1)
    assert all('i-0' in entry.usable() for entry in scene.entries)


@hosts.virtual
async def test_target_missing_long_after_a_restore_counts_as_gone():
    scene = await started_scene()
    copied = scene.store.copy()
    scene.store.put('servers/new', server_of(9, seq=1))
    await asyncio.sleep(1)
    await restore_after_outage(scene, copied)
    await asyncio.sleep(REWRITTEN_S + 1)
    assert all('new' not in entry.usable() for entry in scene.entries)


async def restored_with(scene, change):
    """Loses a change, then restores the store; yields to its readers."""
    copied = scene.store.copy()
    change()
    await asyncio.sleep(APPLY_S)
    await restore_after_outage(scene, copied)


def withdrawn_at(scene):
    return {
        name
        for entry in scene.entries
        for name in entry.member.holder.withdrawn_data_centres()
    }


def all_withdraw(scene, name):
    return all(
        name in entry.member.holder.withdrawn_data_centres()
        for entry in scene.entries
    )


@hosts.virtual
async def test_evacuation_lost_with_the_store_holds_until_it_is_written_again():
    scene = await started_scene()
    await restored_with(scene, lambda: scene.store.put('op/evacuate/east', {}))
    for step in range(40):
        await asyncio.sleep(0.1)
        if step == int(10 * REWRITTEN_S) - 1:
            scene.store.put('op/evacuate/east', {})
        assert all_withdraw(scene, 'east')


@hosts.virtual
async def test_evacuation_that_is_not_written_again_ends():
    scene = await started_scene()
    await restored_with(scene, lambda: scene.store.put('op/evacuate/east', {}))
    await asyncio.sleep(REWRITTEN_S + APPLY_S)
    assert not withdrawn_at(scene)


@hosts.virtual
async def test_release_lost_with_the_store_is_in_force_when_written_again():
    scene = await started_scene()
    scene.store.put('op/evacuate/east', {})
    await asyncio.sleep(APPLY_S)
    await restored_with(scene, lambda: scene.store.delete('op/evacuate/east'))
    await asyncio.sleep(1)
    assert all_withdraw(scene, 'east')
    scene.store.delete('op/evacuate/east')
    await asyncio.sleep(REWRITTEN_S + APPLY_S)
    assert not withdrawn_at(scene)


@hosts.virtual
async def test_evacuation_holds_while_the_lost_version_is_written_again():
    scene = await started_scene()

    def change():
        scene.store.put('op/evacuate/east', {})
        scene.store.put('op/config', configuration_of(8))

    await restored_with(scene, change)
    await asyncio.sleep(1)
    scene.store.put('op/config', configuration_of(8))
    for step in range(30):
        await asyncio.sleep(0.1)
        if step == 8:
            scene.store.put('op/evacuate/east', {})
        assert all_withdraw(scene, 'east')


@hosts.virtual
async def test_entry_started_after_a_restore_learns_the_newer_version():
    scene = await started_scene()
    copied = await lose_versions(scene, [8, 9])
    scene.store.restore(copied)
    scene.entries[0].host.kill()
    started = await scene.add('entry-0')
    await asyncio.sleep(0.5)
    assert started.version == 9
    await asyncio.sleep(REVOKE_MS / 1000)
    assert all(entry.version == 9 for entry in scene.entries)


@hosts.virtual
async def test_entry_that_was_cut_off_neither_brings_back_nor_refuses():
    scene = await started_scene()
    copied = scene.store.copy()
    for version in range(8, 20):
        scene.store.put('op/config', configuration_of(version))
    await asyncio.sleep(APPLY_S)
    away = scene.entries[0]
    scene.cut_off(away)
    await restore_after_outage(scene, copied)
    scene.store.put('op/config', configuration_of(21))
    await asyncio.sleep(APPLY_S)
    assert away.version == 19
    scene.reconnect()
    await asyncio.sleep(APPLY_S)
    assert {entry.version for entry in scene.entries} == {21}


@hosts.virtual
async def test_second_restore_is_noticed_like_the_first():
    scene = await started_scene()
    for version in (8, 18, 28):
        copied = await lose_versions(scene, range(version, version + 5))
        scene.store.restore(copied)
        scene.store.put('op/config', configuration_of(version + 6))
        await asyncio.sleep(APPLY_S)
        assert {entry.version for entry in scene.entries} == {version + 6}


@hosts.virtual
async def test_document_is_confirmed_once_the_restored_store_is_settled():
    scene = await started_scene()
    copied = scene.store.copy()
    await restore_after_outage(scene, copied)
    await asyncio.sleep(REWRITTEN_S)
    assert all(entry.age_ms >= 1000 * REWRITTEN_S for entry in scene.entries)
    await asyncio.sleep(1.5)
    assert all(entry.age_ms < SERVED_AGE_MS for entry in scene.entries)


# name: headers that a store with eras must not send
UNUSABLE_HEADERS = {
    'none': {},
    'empty': {'Store-Era': ''},
    'text': {'Store-Era': 'two'},
    'negative': {'Store-Era': '-2'},
    'fraction': {'Store-Era': '2.0'},
    'too long': {'Store-Era': '2' * 400},
    'earlier': {'Store-Era': '0'},
}


@pytest.mark.parametrize('name', UNUSABLE_HEADERS)
@hosts.virtual
async def test_answer_without_a_usable_era_confirms_nothing(name):
    scene = await started_scene()
    scene.store.changed_headers = UNUSABLE_HEADERS[name]
    await asyncio.sleep(1)
    scene.store.put('op/config', configuration_of(8))
    await asyncio.sleep(REVOKE_MS / 1000)
    assert {entry.version for entry in scene.entries} == {7}
    assert all(entry.age_ms >= REVOKE_MS for entry in scene.entries)
    event = observability.Event.STORE_ANSWER_REFUSED
    assert any(event in dict(entry.log.events) for entry in scene.entries)
    scene.store.changed_headers = None
    await asyncio.sleep(APPLY_S)
    assert {entry.version for entry in scene.entries} == {8}
    await asyncio.sleep(1)
    assert all(entry.age_ms < SERVED_AGE_MS for entry in scene.entries)


@hosts.virtual
async def test_store_that_names_no_era_is_used():
    scene = store_entries.StoreScene()
    scene.store.changed_headers = {}
    scene.store.put('op/config', configuration_of(7))
    await scene.start()
    assert {entry.version for entry in scene.entries} == {7}
    assert all(entry.age_ms < SERVED_AGE_MS for entry in scene.entries)


@hosts.virtual
async def test_pages_of_two_eras_are_never_one_list():
    scene = await started_scene(entries=1)
    copied = scene.store.copy()
    scene.store.put('servers/i-9', server_of(9, seq=1))
    await asyncio.sleep(1)
    scene.store.page_size = 2
    scene.store.go_down()
    await asyncio.sleep(1)
    scene.store.is_down = False

    def restore_at_the_second_page(prefix):
        # Other reads may come before or between the two pages of the list.
        if prefix == 'servers/':
            scene.store.on_page = restore

    def restore(prefix):
        if prefix == 'servers/':
            scene.store.on_page = lambda _prefix: None
            scene.store.restore(copied)

    scene.store.on_page = restore_at_the_second_page
    await asyncio.sleep(REWRITTEN_S + 1.5)
    assert scene.entries[0].usable() == {'i-0', 'i-1', 'i-2'}
