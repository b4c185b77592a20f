"""Size limits and timeouts of caller connections, over real sockets."""

import asyncio
import types

import pytest
from users_platform import callers, settings

from carobslip import clocks, configuration, forwarding, observability, verdicts

LIMITS = configuration.CallerLimits(
    header_bytes=1000,
    body_bytes=2000,
    header_timeout_ms=300,
    idle_timeout_ms=700,
)
#: Timeout of a read, so that a faulty server fails the test.
READ_TIMEOUT_S = 20


class Forwarder:
    """Answers every request, after a delay if the path is ``/slow``."""

    limits = LIMITS

    def __init__(self):
        self.bodies = []
        self.refused = []

    def note_refused(self, request_id, path, outcome):
        self.refused.append((request_id, outcome.reason))

    async def forward(self, request, caller):
        self.bodies.append(request.body)
        if request.path == '/slow':
            await asyncio.sleep(1.5)
        await caller.answer(
            forwarding.AnswerHead(status=200, headers=()),
            b'answer',
        )
        return verdicts.ran()


class Front:
    """An entry's server for callers, with a client connection to it."""

    def __init__(self):
        self.forwarder = Forwarder()
        self.tasks = []
        self.metrics = observability.MetricsBook()
        self.entry = types.SimpleNamespace(
            forwarder=self.forwarder,
            is_stopping=False,
            is_accepting=True,
            clock=clocks.SystemClock(),
            log=observability.EventLog(),
            metrics=self.metrics,
            keep_running=self.keep_running,
        )

    def keep_running(self, work):
        self.tasks.append(asyncio.ensure_future(work()))

    async def start(self, port):
        server = callers.CallerServer(
            entry=self.entry,
            listen=settings.Listen(callers=f'127.0.0.1:{port}'),
            ttl_max_s=2,
        )
        self.stop = await server.serve()
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.1',
            port,
        )

    async def send(self, content):
        self.writer.write(content)
        await self.writer.drain()

    async def read_head(self):
        async with asyncio.timeout(READ_TIMEOUT_S):
            return (await self.reader.readuntil(b'\r\n\r\n')).decode()

    async def read_all(self):
        async with asyncio.timeout(READ_TIMEOUT_S):
            return (await self.reader.read()).decode()

    async def close(self):
        self.writer.close()
        await self.stop()
        for task in self.tasks:
            task.cancel()


@pytest.fixture
async def front(unused_tcp_port):
    scene = Front()
    await scene.start(unused_tcp_port)
    yield scene
    await scene.close()


def post(path='/', *, headers='', length=0, body=b''):
    head = f'POST {path} HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\n{headers}'
    return f'{head}Content-Length: {length}\r\n\r\n'.encode() + body


LONG_HEADER = f'X-Long: {"a" * 1000}\r\n'

# name: (bytes sent, start of the bytes received before the close)
CLOSED = {
    'headers too long': (post(headers=LONG_HEADER), 'HTTP/1.1 431'),
    'path too long': (post('/' + 'a' * 1000), 'HTTP/1.1 431'),
    'body too long': (post(length=3000, body=b'a' * 3000), 'HTTP/1.1 413'),
    'body that stops': (post(length=100, body=b'a'), 'HTTP/1.1 408'),
    'headers that stop': (b'POST / HTTP/1.1\r\nHost:', ''),
    'nothing': (b'', ''),
}


@pytest.mark.parametrize('name', CLOSED)
async def test_exceeded_limit_closes_the_connection(front, name):
    sent, start = CLOSED[name]
    await front.send(sent)
    received = await front.read_all()
    assert received.startswith(start)
    assert bool(received) is bool(start)
    noted = [request_id for request_id, _reason in front.forwarder.refused]
    assert noted == (['r'] if start else [])
    assert front.forwarder.bodies == []


async def test_steady_trickle_does_not_extend_the_header_timeout(front):
    async def trickle():
        for byte in post(headers='X-Slow: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n'):
            await asyncio.sleep(0.05)
            await front.send(bytes([byte]))

    trickling = asyncio.ensure_future(trickle())
    assert await front.read_all() == ''
    trickling.cancel()
    await asyncio.gather(trickling, return_exceptions=True)
    assert front.forwarder.bodies == []


async def test_slow_answer_and_short_pauses_keep_the_connection_open(front):
    for path in ('/slow', '/', '/'):
        await front.send(post(path, length=3, body=b'abc'))
        assert (await front.read_head()).startswith('HTTP/1.1 200')
        assert await front.reader.readexactly(6) == b'answer'
        await asyncio.sleep(0.2)
    assert front.forwarder.bodies == [b'abc'] * 3


async def test_keep_alive_connection_is_closed_when_idle(front):
    await front.send(post())
    received = await front.read_all()
    assert received.startswith('HTTP/1.1 200')
