"""Interleavings of reads and watches that could restore a stale version."""

import asyncio
import json

from users_platform import configuration_source, store

from carobslip import clocks, configuration
from tests import test_users_platform as platforms


class ManualStore:
    """A store whose calls stay pending until the test answers them."""

    def __init__(self):
        self.pending = {'range': [], 'watch': []}
        self.settled_ms = 0.0

    async def read(self, prefix, *, cause):
        return await self._wait_for_answer('range')

    async def watch(self, prefix, *, after, era, wait_ms):
        return await self._wait_for_answer('watch')

    def answer(self, call, revision, *items):
        """Answers the oldest call in progress."""
        answer = store.StoreAnswer(items=items, revision=revision, era=1)
        self.pending[call].pop(0).set_result(answer)

    async def _wait_for_answer(self, call):
        future = asyncio.get_running_loop().create_future()
        self.pending[call].append(future)
        return await future


def operators_item(version, revision):
    content = {**platforms.CONFIGURATION, 'version': version}
    return store.StoreItem(
        key='op/config',
        value=json.dumps(content).encode(),
        revision=revision,
    )


def evacuation_item(revision):
    return store.StoreItem(
        key='op/evacuate/west', value=b'{}', revision=revision
    )


async def started_source(client):
    """Returns a source that has read version 7 at revision 10."""
    source = configuration_source.ConfigurationSource(
        client=client, clock=clocks.SystemClock(), log=platforms.LOG
    )
    first = asyncio.ensure_future(source.read_configuration(0, 0))
    await asyncio.sleep(0)
    client.answer('range', 10, operators_item(7, 10))
    await first
    return source


async def start_read(source, after, wait_ms):
    asked = asyncio.ensure_future(source.read_configuration(after, wait_ms))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return asked


def operators_version(published):
    held = configuration.read_configuration(published.text, source='test')
    return held.version


async def test_slow_read_does_not_overwrite_a_newer_watch_result():
    client = ManualStore()
    source = await started_source(client)
    watch = await start_read(source, 10, 1000)
    read = await start_read(source, 10, 0)
    client.answer('watch', 11, operators_item(8, 11))
    assert operators_version(await watch) == 8
    client.answer('range', 10, operators_item(7, 10))
    await read
    watch = await start_read(source, 11, 1000)
    client.answer('watch', 12, evacuation_item(12))
    assert operators_version(await watch) == 8


async def test_late_watch_does_not_overwrite_a_newer_read_result():
    client = ManualStore()
    source = await started_source(client)
    watch = await start_read(source, 10, 1000)
    read = await start_read(source, 10, 0)
    client.answer('range', 12, operators_item(9, 12))
    assert operators_version(await read) == 9
    client.answer('watch', 11, operators_item(8, 11))
    await watch
    watch = await start_read(source, 12, 1000)
    client.answer('watch', 13, evacuation_item(13))
    assert operators_version(await watch) == 9


async def test_watch_during_a_read_loses_no_change():
    client = ManualStore()
    source = await started_source(client)
    watch = await start_read(source, 10, 1000)
    read = await start_read(source, 10, 0)
    client.answer('range', 11, operators_item(8, 11))
    await read
    client.answer('watch', 12, operators_item(8, 11), evacuation_item(12))
    published = await watch
    held = configuration.read_configuration(published.text, source='test')
    assert held.out
