"""Entries whose watchers are alive, but do not know the newest configuration."""

import asyncio
import collections

import pytest

from carobslip import fleet
from tests import test_users_platform as platforms
from tests.fakes import host as hosts
from tests.fakes import store_entries

APPLY_S = store_entries.APPLY_MS / 1000
CHANGE_S = 0.33
CUT_S = 20
#: A watch ends after a second; a watcher sends one call in that time.
CALLS_PER_WATCHER_S = 1.1


class Scene(store_entries.StoreScene):
    """Entries of one zone; tells which of them watch the store."""

    def __init__(self):
        super().__init__()
        self.published = []
        self.publish(1)

    def publish(self, version):
        self.store.put(
            'op/config', {**platforms.CONFIGURATION, 'version': version}
        )
        self.published.append((asyncio.get_running_loop().time(), version))

    def watchers(self):
        records = [entry.member.record for entry in self.entries]
        ranked = fleet.rank_readers(records[0], records)
        names = [record.instance for record in ranked[:2]]
        return [entry for entry in self.entries if entry.name in names]

    def others(self):
        watchers = self.watchers()
        return [entry for entry in self.entries if entry not in watchers]

    def due_version(self):
        """The newest version that every entry in touch must apply."""
        due_s = asyncio.get_running_loop().time() - APPLY_S
        return max(version for at_s, version in self.published if at_s <= due_s)

    async def change(self, duration_s, observed):
        """Publishes changes; checks entries all the while."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + duration_s
        next_s = loop.time()
        while loop.time() < until_s:
            if loop.time() >= next_s:
                next_s += CHANGE_S
                self.publish(self.published[-1][1] + 1)
            await asyncio.sleep(0.02)
            late = {
                entry.name: entry.version
                for entry in observed
                if entry.version < self.due_version()
            }
            assert not late, self.due_version()


def cut_store(scene, watchers):
    for watcher in watchers:
        scene.store.cut.add(watcher.name)


def freeze(scene, watchers):
    for watcher in watchers:
        watcher.host.freeze()


def slow_down(scene, watchers):
    cut_store(scene, watchers)
    for watcher in watchers:
        for other in scene.entries:
            scene.network.extra_delay_s[watcher.name, other.name] = 0.4


def kill(scene, watchers):
    for watcher in watchers:
        watcher.host.kill()


def cut_one_way(scene, watchers):
    cut_store(scene, watchers)
    for watcher in watchers:
        for other in scene.entries:
            scene.network.cut(watcher.name, other.name, both=False)


TROUBLES = {
    'cut from the store': cut_store,
    'frozen': freeze,
    'slow': slow_down,
    'killed': kill,
    'answers lost': cut_one_way,
}


@pytest.mark.parametrize('entries', [3, 7])
@pytest.mark.parametrize('trouble', TROUBLES)
@hosts.virtual
async def test_changes_apply_in_time_while_the_watchers_cannot_tell_them(
    trouble, entries
):
    scene = Scene()
    await scene.start(entries)
    await asyncio.sleep(4)
    observed = scene.others()
    TROUBLES[trouble](scene, scene.watchers())
    await scene.change(CUT_S, observed)


@hosts.virtual
async def test_single_changes_apply_in_time_at_any_moment_of_a_watch():
    scene = Scene()
    await scene.start(3)
    await asyncio.sleep(4)
    observed = scene.others()
    cut_store(scene, scene.watchers())
    for step in range(12):
        scene.publish(scene.published[-1][1] + 1)
        await asyncio.sleep(APPLY_S)
        assert all(entry.version == step + 2 for entry in observed)
        await asyncio.sleep(0.29 * step)


@hosts.virtual
async def test_knowledge_of_an_entry_is_never_older_than_its_proof():
    # A watcher that has lost the store keeps answering its peers.
    scene = Scene()
    await scene.start(7)
    await asyncio.sleep(4)
    for entry in scene.others():
        assert entry.age_ms < store_entries.APPLY_MS
    for entry in scene.entries:
        scene.store.cut.add(entry.name)
    cut_s = asyncio.get_running_loop().time()
    await asyncio.sleep(6)
    cut_ms = (asyncio.get_running_loop().time() - cut_s) * 1000
    assert all(entry.age_ms >= cut_ms for entry in scene.entries)


@pytest.mark.parametrize('entries', [7, 98, 256])
@hosts.virtual
async def test_no_crowd_of_entries_reads_the_store(entries):
    scene = Scene()
    await scene.start(entries)
    await asyncio.sleep(3)
    watchers = scene.watchers()
    names = {watcher.name for watcher in watchers}
    begin = len(scene.store.calls)
    await asyncio.sleep(4)
    # In calm the watchers alone call the store, by watches.
    assert not scene.reads_since(begin)
    assert max(entry.age_ms for entry in scene.entries) < 0.75 * APPLY_S * 1000
    cut_store(scene, watchers)
    begin = len(scene.store.calls)
    trouble_s = 5
    await scene.change(trouble_s, scene.others())
    readers = collections.Counter(
        name for name in scene.reads_since(begin) if name not in names
    )
    # Two entries read in the place of the watchers.
    assert len(readers) <= 4
    assert sum(readers.values()) <= 2 * trouble_s * CALLS_PER_WATCHER_S


# A read that begins too late ends after a configuration has to be in force.
@pytest.mark.parametrize('apply_ms', [200, 2000, 3000, 4000, 40_000])
@pytest.mark.parametrize('watch_ms', [100, 1000, 10_000])
def test_own_reads_begin_well_before_a_configuration_must_apply(
    watch_ms, apply_ms
):
    times = fleet.ReadTimes.derive(watch_ms=watch_ms, apply_ms=apply_ms)
    assert times.read_ms <= 0.8 * apply_ms
    # Watchers know more after each watch, before they are asked.
    assert times.watch_ms < times.ask_ms
