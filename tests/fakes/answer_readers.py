"""Every way in which answers are read, with a sound answer to each.

A reader sends one request to an engine and returns what it made of the answer, or
None if it did not use it.
"""

import contextlib

import msgspec
from users_platform import connections, engine_calls, engine_control, store

from carobslip import (
    attempts,
    clocks,
    entry,
    expertmap,
    fleet,
    guard,
    identifiers,
    observability,
    settings,
    verdicts,
)
from carobslip.adapters import guard_client, platform_client, target_client
from tests import test_users_platform as platforms
from tests.fakes import forwarding as fakes

OWN = (b'X-Request-Id: r1', b'X-Response-Seal: s')
EVENTS = b'id: 1\ndata: x\n\n'
REPORT = msgspec.json.encode(
    {
        'group': {'name': 'g', 'epoch': 1, 'rank': 0, 'state': 'open'},
        'size': 1,
        'born': 1,
    }
)
COUNTS = b'{"epoch":1,"counts":[1]}'
RANGE = b'{"items":[],"current_rev":1}'
ORDER = expertmap.RankOrder(
    kind=expertmap.OrderKind.GO, epoch=1, fence=1, step=1
)
ATTEMPT = attempts.Attempt(
    request_id=identifiers.RequestId('r1'),
    number=1,
    entry=identifiers.InstanceId('e1'),
    service=identifiers.ServiceId('s1'),
    team=identifiers.TeamId('t1'),
    path='/x',
    content_type='text/plain',
    repeatable=True,
    incarnation=identifiers.Incarnation('1'),
    dispatched_ms=0,
    permit_until_ms=1000,
    deadline_ms=1000,
)
FRAME = attempts.Broken(request_id=ATTEMPT.request_id, outcome=verdicts.ran())


class Reader:
    """One way of reading: a sound answer, and how it is asked for.

    Args:
        ask: Called with an address.
        expected: What it returns for a sound answer.
        body: Body of that answer.
        fields: Fields of its head.
        status: Its status line, without the version.
        kept: Sound answers on the same connection before.
    """

    def __init__(
        self,
        ask,
        *,
        expected=True,
        body=b'ab',
        fields=OWN,
        status=b'200 OK',
        kept=0,
    ):
        self.ask = ask
        self.expected = expected
        self.body = body
        self.fields = fields
        self.status = status
        self.kept = kept


def _call(address, **changes):
    return msgspec.structs.replace(platforms._call(address), **changes)


async def _use(calls, call):
    async with calls.call(call) as answer:
        return b''.join([part async for part in answer.chunks()])


@contextlib.asynccontextmanager
async def _closing(client):
    try:
        yield client
    finally:
        await client.close()


async def ask_single(address):
    call = _call(address, may_reuse_connection=False)
    async with _closing(engine_calls.EngineCalls()) as calls:
        try:
            return await _use(calls, call)
        except guard.TargetLost:
            return None


async def ask_kept(address):
    async with _closing(engine_calls.EngineCalls()) as calls:
        assert await _use(calls, _call(address)) == b'ab'
        try:
            return await _use(calls, _call(address))
        except guard.TargetLost:
            return None


async def ask_stream(address):
    async with _closing(engine_calls.EngineCalls()) as calls:
        try:
            return await _use(calls, _call(address))
        except guard.TargetLost:
            return None


async def ask_resumed(address):
    call = _call(address, last_event='0')
    async with _closing(engine_calls.EngineCalls()) as calls:
        try:
            return await _use(calls, call)
        except guard.TargetLost:
            return None


async def ask_refusal(address):
    async with _closing(engine_calls.EngineCalls()) as calls:
        try:
            async with calls.call(_call(address)) as answer:
                return answer.has_not_run
        except guard.TargetLost:
            return None


async def ask_start(address):
    """Reads the start of an engine, which is not that of its record."""
    record = fakes.record('i-1', 's1', address=address, started_wall_ms=2)
    async with _closing(engine_calls.EngineCalls()) as calls:
        return await calls.is_gone(record) or None


def _control(session, address):
    return engine_control.EngineControlClient(
        address=address, session=session, timeout_s=20
    )


async def ask_report(address):
    async with _closing(connections.new_session(idle_s=5)) as session:
        try:
            return (await _control(session, address).report()).is_open
        except expertmap.EngineUnavailable:
            return None


async def ask_counts(address):
    async with _closing(connections.new_session(idle_s=5)) as session:
        try:
            return (await _control(session, address).counts()).epoch
        except expertmap.EngineUnavailable:
            return None


async def ask_order(address):
    async with _closing(connections.new_session(idle_s=5)) as session:
        end = await _control(session, address).order(ORDER)
        # An order without an answer may have been accepted.
        assert end in {expertmap.OrderEnd.DONE, expertmap.OrderEnd.LOST}
        return end if end is expertmap.OrderEnd.DONE else None


async def ask_store(address):
    async with _closing(connections.new_session(idle_s=5)) as session:
        client = store.StoreClient(
            address=address,
            session=session,
            clock=clocks.SystemClock(),
            log=observability.EventLog(),
        )
        try:
            answer = await client.read('op/', cause=store.ReadCause.START)
        except store.StoreUnavailable:
            return None
        return answer.revision


async def ask_platform(address):
    async with _closing(guard_client.new_session()) as session:
        client = platform_client.PlatformClient(
            addresses=settings.PlatformSettings(
                configuration_url=f'http://{address}/c',
                instances_url=f'http://{address}/i',
            ),
            session=session,
        )
        try:
            read = await client.read_configuration(0, 20_000)
        except fleet.PlatformUnavailable:
            return None
        return read.text


async def ask_target(address):
    """Reads a target's answer as its guard does."""
    target = target_client.HttpTarget(
        base_url=f'http://{address}', probe_path='/health'
    )
    call = guard.TargetCall(
        request_id='r1',
        method='POST',
        path='/x',
        content_type='text/plain',
        body=b'{}',
        key=None,
        timeout_ms=1000,
        priority=0,
    )
    async with _closing(target):
        try:
            return await _use(target, call)
        except guard.TargetLost:
            return None


async def ask_probe(address):
    target = target_client.HttpTarget(
        base_url=f'http://{address}', probe_path='/health'
    )
    async with _closing(target):
        return await target.is_up() or None


async def ask_guard(address):
    """Reads a guard's reply as an entry does."""
    async with _closing(guard_client.new_session()) as session:
        client = guard_client.HttpGuardClient(session=session)
        try:
            async with client.open(address, ATTEMPT, b'') as reader:
                return await reader.read()
        except entry.GuardLost:
            return None


JSON = (b'Content-Type: application/json',)
EVENT_STREAM = (*OWN, b'Content-Type: text/event-stream')

READERS = {
    'single': Reader(ask_single, expected=b'ab'),
    'kept': Reader(ask_kept, expected=b'ab', kept=1),
    'stream': Reader(
        ask_stream, expected=EVENTS, body=EVENTS, fields=EVENT_STREAM
    ),
    'resumed': Reader(
        ask_resumed, expected=EVENTS, body=EVENTS, fields=EVENT_STREAM
    ),
    'refusal': Reader(
        ask_refusal, status=b'503 X', fields=(*OWN, b'X-Not-Executed: 1')
    ),
    'start': Reader(ask_start, body=REPORT, fields=JSON),
    'report': Reader(ask_report, body=REPORT, fields=JSON),
    'counts': Reader(ask_counts, expected=1, body=COUNTS, fields=JSON),
    'order': Reader(
        ask_order,
        expected=expertmap.OrderEnd.DONE,
        status=b'202 X',
        fields=JSON,
    ),
    'store': Reader(ask_store, expected=1, body=RANGE, fields=JSON),
    'platform': Reader(ask_platform, expected='ab'),
    'target': Reader(ask_target, expected=b'ab'),
    'probe': Reader(ask_probe),
    'guard': Reader(
        ask_guard,
        expected=FRAME,
        body=attempts.encode_frame(FRAME),
        fields=(),
    ),
}
