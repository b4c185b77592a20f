"""Orders of events in which an older configuration could come into force."""

import asyncio
import json

from users_platform import sources, store

from carobslip import configuration
from tests import test_users_platform as platforms


class HeldStore:
    """Answers each call when the test says so, with what it then holds."""

    def __init__(self):
        self.pending = {'range': [], 'watch': []}

    async def read(self, prefix):
        return await self._ask('range')

    async def watch(self, prefix, *, after, wait_ms):
        return await self._ask('watch')

    def answer(self, call, revision, *items):
        """Answers the oldest call in progress."""
        answer = store.StoreAnswer(items=items, revision=revision)
        self.pending[call].pop(0).set_result(answer)

    async def _ask(self, call):
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


async def started(client):
    """Returns a source that holds version 7 of revision 10."""
    source = sources.ConfigurationSource(client=client, log=platforms.LOG)
    first = asyncio.ensure_future(source.read_configuration(0, 0))
    await asyncio.sleep(0)
    client.answer('range', 10, operators_item(7, 10))
    await first
    return source


async def ask(source, after, wait_ms):
    asked = asyncio.ensure_future(source.read_configuration(after, wait_ms))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return asked


def operators_version(text):
    held = configuration.read_configuration(text, source='test')
    return held.forwarding.operators_version


async def test_slow_read_does_not_take_back_what_a_watch_has_brought():
    client = HeldStore()
    source = await started(client)
    watch = await ask(source, 10, 1000)
    read = await ask(source, 10, 0)
    client.answer('watch', 11, operators_item(8, 11))
    assert operators_version(await watch) == 8
    client.answer('range', 10, operators_item(7, 10))
    await read
    watch = await ask(source, 11, 1000)
    client.answer('watch', 12, evacuation_item(12))
    text = await watch
    assert operators_version(text) == 8


async def test_late_watch_does_not_take_back_what_a_read_has_brought():
    client = HeldStore()
    source = await started(client)
    watch = await ask(source, 10, 1000)
    read = await ask(source, 10, 0)
    client.answer('range', 12, operators_item(9, 12))
    assert operators_version(await read) == 9
    client.answer('watch', 11, operators_item(8, 11))
    await watch
    watch = await ask(source, 12, 1000)
    client.answer('watch', 13, evacuation_item(13))
    assert operators_version(await watch) == 9


async def test_watch_beside_a_read_loses_no_change():
    client = HeldStore()
    source = await started(client)
    watch = await ask(source, 10, 1000)
    read = await ask(source, 10, 0)
    client.answer('range', 11, operators_item(8, 11))
    await read
    client.answer('watch', 12, operators_item(8, 11), evacuation_item(12))
    text = await watch
    held = configuration.read_configuration(text, source='test')
    assert held.out
