"""Bytes on a kept connection that belong to an earlier request or to none."""

import asyncio

import pytest
from users_platform import connections, engine_calls, engine_control

from carobslip import expertmap, guard
from tests import test_users_platform as platforms

WHOLE = platforms.OK + b'Content-Length: 2\r\n\r\nab'
NAMELESS = b'HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
REFUSAL = NAMELESS.replace(b'503 X\r\n', b'503 X\r\nX-Request-Id: r1\r\n')
MISDIRECTED = REFUSAL.replace(b'503 X', b'421 X')
FAILURE = REFUSAL.replace(b'X-Not-Executed: 1\r\n', b'').replace(b'503', b'500')


class ScriptedEngine:
    """Answers the requests on all its connections by a script.

    Each step is (bytes sent as the answer, bytes sent later while idle).
    """

    def __init__(self, steps):
        self.steps = list(steps)
        self.connections = 0
        self.requests = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                await self._answer(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                await reader.readexactly(int(line.split(b':')[1]))
        self.requests += 1
        answer, later = self.steps.pop(0)
        writer.write(answer)
        await writer.drain()
        if later:
            await asyncio.sleep(0.05)
            writer.write(later)


@pytest.fixture
async def calls():
    own = engine_calls.EngineCalls()
    yield own
    await own.close()


async def answer_of(calls, address):
    """Returns the body of an answer, 'not run', or 'lost'."""
    try:
        async with calls.call(platforms._call(address)) as answer:
            if answer.has_not_run or answer.is_other_target:
                return 'not run'
            return b''.join([part async for part in answer.chunks()])
    except guard.TargetLost:
        return 'lost'


# name: (steps of the engine, answers that two requests get)
REPEATED = {
    'refusal repeated while idle': (
        [(REFUSAL, REFUSAL), (WHOLE, b'')],
        ['not run', b'ab'],
    ),
    'nameless refusal repeated while idle': (
        [(NAMELESS, NAMELESS), (WHOLE, b'')],
        ['not run', b'ab'],
    ),
    'misdirected repeated while idle': (
        [(MISDIRECTED, MISDIRECTED), (WHOLE, b'')],
        ['not run', b'ab'],
    ),
    'success repeated while idle': (
        [(WHOLE, WHOLE.replace(b'ab', b'xy')), (WHOLE, b'')],
        [b'ab', b'ab'],
    ),
    'refusal while idle after a success': (
        [(WHOLE, REFUSAL), (WHOLE, b'')],
        [b'ab', b'ab'],
    ),
    'nameless refusal on a used connection': (
        [(WHOLE, b''), (NAMELESS + WHOLE, b'')],
        [b'ab', 'lost'],
    ),
    'nameless failure on a used connection': (
        [(WHOLE, b''), (FAILURE.replace(b'X-Request-Id: r1\r\n', b''), b'')],
        [b'ab', 'lost'],
    ),
    'nameless refusal on a new connection': (
        [(NAMELESS, b''), (WHOLE, b'')],
        ['not run', b'ab'],
    ),
    'half a head while idle': (
        [(WHOLE, REFUSAL[:20]), (WHOLE, b'')],
        [b'ab', b'ab'],
    ),
    'no HTTP while idle': (
        [(WHOLE, b'\x00\x01'), (WHOLE, b'')],
        [b'ab', b'ab'],
    ),
}


@pytest.mark.parametrize('name', REPEATED)
async def test_answer_of_an_earlier_request_is_never_believed(calls, name):
    steps, expected = REPEATED[name]
    engine = ScriptedEngine(steps)
    address = await engine.start()
    seen = [await answer_of(calls, address)]
    await asyncio.sleep(0.2)
    seen.append(await answer_of(calls, address))
    engine.stop()
    assert seen == expected


EARLIER = (
    b'HTTP/1.1 200 OK\r\nServer: engine\r\nDate: Sat, 05 Dec 2026\r\n'
    b'Content-Type: text/plain\r\nX-Response-Seal: s0\r\n'
)
FAILED = (
    b'HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: r1\r\n'
    b'X-Response-Seal: s1\r\nContent-Length: 2\r\n\r\nno'
)


@pytest.mark.parametrize('cut', range(len(EARLIER) + 1))
async def test_part_of_an_earlier_answer_never_gives_a_failure_its_status(
    calls, cut
):
    engine = ScriptedEngine([(WHOLE, b''), (EARLIER[:cut] + FAILED, b'')])
    call = platforms._call(await engine.start())
    statuses = []
    for _number in range(2):
        try:
            async with calls.call(call) as answer:
                statuses.append(answer.head.status)
                async for _part in answer.chunks():
                    pass
        except guard.TargetLost:
            statuses.append('lost')
    engine.stop()
    assert statuses == [200, 500 if cut == 0 else 'lost']


@pytest.mark.parametrize('cut', [15, 40, 60])
async def test_part_of_an_earlier_answer_is_not_that_of_an_order(session, cut):
    engine = ScriptedEngine([(ACCEPTED, b''), (EARLIER[:cut] + CONFLICT, b'')])
    client = control_of(session, await engine.start())
    order = expertmap.RankOrder(
        kind=expertmap.OrderKind.ARM, epoch=1, fence=1, step=1
    )
    assert await client.order(order) is expertmap.OrderEnd.DONE
    assert await client.order(order) is expertmap.OrderEnd.LOST
    engine.stop()


async def test_connection_is_not_kept_after_a_refusal(calls):
    engine = ScriptedEngine([(REFUSAL, b''), (WHOLE, b''), (WHOLE, b'')])
    address = await engine.start()
    for expected in ('not run', b'ab', b'ab'):
        assert await answer_of(calls, address) == expected
    engine.stop()
    assert engine.connections == 2


def json_answer(body):
    head = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    return head + b'Content-Length: %d\r\n\r\n' % len(body) + body


CONFLICT = b'HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n'
ACCEPTED = b'HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n'
REPORT = b'{"group":{"name":"g","epoch":%d,"rank":0,"state":"open"},"size":1}'


@pytest.fixture
async def session():
    own = connections.new_session(idle_s=5)
    yield own
    await own.close()


def control_of(session, address):
    return engine_control.EngineControlClient(
        address=address, session=session, timeout_s=1
    )


async def test_report_sent_twice_is_not_the_answer_to_the_next_question(
    session,
):
    old, new = (json_answer(REPORT % epoch) for epoch in (1, 2))
    engine = ScriptedEngine([(old, old), (new, b'')])
    client = control_of(session, await engine.start())
    assert (await client.report()).epoch == 1
    await asyncio.sleep(0.2)
    assert (await client.report()).epoch == 2
    engine.stop()


async def test_order_answer_sent_twice_is_not_that_of_the_next_order(session):
    engine = ScriptedEngine([(ACCEPTED, ACCEPTED), (CONFLICT, b'')])
    client = control_of(session, await engine.start())
    order = expertmap.RankOrder(
        kind=expertmap.OrderKind.GO,
        epoch=1,
        fence=1,
        step=1,
    )
    assert await client.order(order) is expertmap.OrderEnd.DONE
    await asyncio.sleep(0.2)
    assert await client.order(order) is expertmap.OrderEnd.REFUSED
    engine.stop()
