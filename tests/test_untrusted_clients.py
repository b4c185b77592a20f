"""Clients that respect no limits, against a real entry process.

Each test starts an entry with the limits of a small instance and lets a crowd
misuse it in one way. It checks that the process stays alive, that its memory and
descriptors stay below those of the instance, and that an ordinary request is
answered while the crowd is still connected.
"""

import asyncio
import contextlib
import fcntl
import itertools
import pathlib
import socket
import tempfile

import pytest

from tests.standins import open_entry

MEMORY_MB = 200
FDS_MAX = 400
#: Descriptors that remain for targets, peers and the store.
FDS_FREE_MIN = 40
CROWD = 120
#: More connections than the instance has descriptors.
SILENT_CROWD = 500
#: How long the crowd sends before the ordinary request.
FLOOD_S = 6.0
DRIP_S = 0.02

CHUNKED = 'Transfer-Encoding: chunked\r\n'
LONG_FIELD = b'X-%d: ' + b'a' * 60_000 + b'\r\n'
BODY = open_entry.LIMITS['body_bytes'] - 100
START = open_entry.head_of('/a/short')[:-2]


def endless_head():
    """A head whose lines never end."""
    yield START
    for number in itertools.count():
        yield LONG_FIELD % number


def long_heads():
    """A whole head above the limit."""
    yield START
    yield b''.join(LONG_FIELD % number for number in range(100))
    yield b'\r\n'


def endless_line():
    """A request line without an end."""
    yield b'GET /'
    while True:
        yield b'a' * 4000


def empty_lines():
    """Empty lines without end before a request."""
    while True:
        yield b'\r\n' * 30_000


def large_chunks():
    """A body in large chunks that stops short of its end."""
    yield open_entry.head_of('/a/short', CHUNKED)
    for _ in range(BODY // 65_536):
        yield b'10000\r\n' + b'a' * 65_536 + b'\r\n'


def one_byte_chunks():
    """A body in one-byte chunks that stops short of its end."""
    yield open_entry.head_of('/a/short', CHUNKED)
    for _ in range(400):
        yield b'1\r\na\r\n' * 5000


def long_chunk_size():
    """A chunk whose size line never ends."""
    yield open_entry.head_of('/a/short', CHUNKED)
    yield b'1;'
    while True:
        yield b'a' * 60_000


def trailers():
    """A body whose trailers never end."""
    yield open_entry.head_of('/a/short', CHUNKED)
    yield b'1\r\na\r\n0\r\n'
    for number in itertools.count():
        yield LONG_FIELD % number


def lengthy_body():
    """A body with a length that stops short of its end."""
    length = f'Content-Length: {BODY + 1}\r\n'
    yield open_entry.head_of('/a/short', length)
    for _ in range(BODY // 65_536):
        yield b'a' * 65_536


def pipelined():
    """Requests without end whose answers are not read."""
    while True:
        yield open_entry.head_of('/a/short', 'Content-Length: 0\r\n') * 100


def pipelined_lookups():
    """Address lookups without end whose answers are not read."""
    while True:
        yield open_entry.head_of('/carobslip/resolve') * 100


def dripping_head():
    """A head that arrives byte by byte."""
    yield from drip(START + b'X-Long: ' + b'a' * 10_000)


def dripping_body():
    """A body that arrives byte by byte."""
    yield open_entry.head_of('/a/short', CHUNKED)
    yield from drip(b'1\r\na\r\n' * 1000)


def drip(content):
    for place in range(len(content)):
        yield content[place : place + 1]


def long_answer():
    """A long whole answer that is not read."""
    yield open_entry.head_of('/a/long', 'Content-Length: 0\r\n')


def long_stream():
    """A long stream that is not read."""
    yield open_entry.head_of('/s/long', 'Content-Length: 0\r\n')


def nothing():
    """Nothing at all."""
    return iter(())


# name: (what each client sends, number of clients)
CROWDS = {
    one.__name__: (one, SILENT_CROWD if one is nothing else CROWD)
    for one in (
        endless_head,
        long_heads,
        endless_line,
        empty_lines,
        large_chunks,
        one_byte_chunks,
        long_chunk_size,
        trailers,
        lengthy_body,
        pipelined,
        dripping_head,
        dripping_body,
        long_answer,
        long_stream,
        nothing,
    )
}
LOOKUP_CROWDS = {
    **{
        name: CROWDS[name]
        for name in (
            'endless_head',
            'empty_lines',
            'large_chunks',
            'one_byte_chunks',
            'dripping_head',
            'nothing',
        )
    },
    'pipelined_lookups': (pipelined_lookups, CROWD),
}


class Crowd:
    """Clients that all misbehave in the same way, and stay connected."""

    def __init__(self, address, parts, size):
        self._address = open_entry.split(address)
        self._parts = parts
        self._size = size
        self._tasks = []

    async def misbehave(self):
        self._tasks = [
            asyncio.ensure_future(self._run_client()) for _ in range(self._size)
        ]
        await asyncio.sleep(FLOOD_S)

    async def leave(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_client(self):
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await loop.sock_connect(sock, self._address)
            for part in self._parts():
                await loop.sock_sendall(sock, part)
                await asyncio.sleep(DRIP_S if len(part) == 1 else 0)
            await asyncio.sleep(3600)


@pytest.fixture(scope='module')
def alone():
    """Keeps parallel test processes from running these tests at once."""
    path = pathlib.Path(tempfile.gettempdir()) / 'carobslip-crowds.lock'
    with path.open('w') as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@pytest.fixture
async def entry(alone, tmp_path):
    scene = open_entry.OpenEntry(tmp_path, memory_mb=MEMORY_MB, max_fds=FDS_MAX)
    await scene.start()
    yield scene
    await scene.stop()


async def check(entry, crowd, address, path):
    """Checks the process while the crowd is connected."""
    answer = b'not answered'
    try:
        await crowd.misbehave()
        fds = entry.open_fds()
        with contextlib.suppress(TimeoutError, OSError):
            answer = await entry.ask(address, path)
        code = entry.process.poll()
        peak_mb = entry.peak_mb() if code is None else 0
    finally:
        await crowd.leave()
    measured = f'exit {code}, peak {peak_mb:.0f} MB, {fds} fds, {answer!r}'
    print(measured)
    assert code is None, measured
    assert peak_mb <= MEMORY_MB, measured
    assert fds <= FDS_MAX - FDS_FREE_MIN, measured
    assert b'200' in answer, measured


@pytest.mark.parametrize('name', CROWDS)
async def test_crowd_of_callers_ends_the_entry_or_stops_its_service(
    entry, name
):
    parts, size = CROWDS[name]
    crowd = Crowd(entry.front, parts, size)
    await check(entry, crowd, entry.front, '/a/short')


@pytest.mark.parametrize('name', LOOKUP_CROWDS)
async def test_crowd_at_the_address_lookup_ends_the_entry(entry, name):
    parts, size = LOOKUP_CROWDS[name]
    crowd = Crowd(entry.directory, parts, size)
    await check(entry, crowd, entry.directory, '/carobslip/resolve')
