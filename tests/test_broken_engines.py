"""What callers of a real entry process get from engines that answer wrongly."""

import asyncio
import contextlib
import json
import pathlib
import tempfile

import pytest

from tests.standins import open_entry

MEMORY_MB = 200
SEAL = b'X-Request-Id: r-1\r\nX-Response-Seal: s\r\n'
LENGTH = b'Content-Length: 2\r\n\r\nab'
SOUND = b'HTTP/1.1 200 OK\r\n' + SEAL + LENGTH
EVENT_STREAM = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n' + SEAL
EVENT = b'id: %d\ndata: x\n\n'
#: A stream that breaks off after its first event.
CUT = EVENT_STREAM + b'Content-Length: 99\r\n\r\n' + EVENT % 1
REPORT = b'{"born":1}'
LONG_BYTES = 300_000
LONG = SOUND.replace(
    LENGTH, b'Content-Length: %d\r\n\r\n' % LONG_BYTES + b'a' * LONG_BYTES
)
#: So many that their parts of a long body exceed the memory for answers.
ENDLESS_CROWD = 12
EVENT_S = 0.2


def sound_with(line):
    return SOUND.replace(b'OK\r\n', b'OK\r\n' + line + b'\r\n')


# name: (a broken answer, the cause that the log names)
BROKEN = {
    'status': (SOUND.replace(b'200', b'000'), 'status'),
    'protocol': (SOUND.replace(b'200', b'101'), 'status'),
    'interim': (b'HTTP/1.1 000 X\r\n\r\n' + SOUND, 'status'),
    'blank-inside': (sound_with(b'X More: y'), 'syntax'),
    'blank-before': (sound_with(b'X-More: y\r\n X-Two: z'), 'syntax'),
    'blank-after': (sound_with(b'Connection : close'), 'syntax'),
    'control': (sound_with(b'X\x01More: y'), 'syntax'),
    'control-after': (sound_with(b'Upgrade\x01: y'), 'syntax'),
    'control-in-a-value': (sound_with(b'X-More: y\x01'), 'syntax'),
    'coding': (
        SOUND.replace(LENGTH, b'Transfer-Encoding: gzip\r\n\r\n2\r\nab\r\n'),
        'framing',
    ),
    'refusal': (
        b'HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX More: y\r\n' + SEAL + LENGTH,
        'syntax',
    ),
}


class Engines:
    """Two engines that share what they answer, by path."""

    def __init__(self):
        self.paths = []
        self.pair = (_Engine(self), _Engine(self))

    def answer(self, path):
        """Returns the answer to the next request with a path."""
        self.paths.append(path)
        name = path.rpartition('/')[2]
        arrivals = self.paths.count(path)
        if path.startswith('/r/'):
            return CUT if arrivals == 1 else BROKEN[name][0]
        if name == 'long':
            return LONG
        if name in BROKEN and (arrivals == 1 or path.startswith('/b/')):
            return BROKEN[name][0]
        return SOUND


class _Engine:
    def __init__(self, engines):
        self._engines = engines
        self.paths = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b'\r\n\r\n')
            path = head.split()[1].decode()
            self.paths.append(path)
            if path == '/carobslip/report':
                writer.write(b'HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\n')
                writer.write(REPORT)
            elif path.startswith('/a/endless-'):
                await self._send_endless(writer, ENDLESS[path[11:]])
            else:
                await reader.readexactly(1000)
                writer.write(self._engines.answer(path))
            await writer.drain()
            if path.startswith('/r/'):
                # The event is read before the end of the connection.
                await asyncio.sleep(EVENT_S)
        writer.close()

    async def _send_endless(self, writer, parts):
        opening, more = parts
        writer.write(opening)
        while True:
            writer.write(more)
            await writer.drain()


ENDLESS = {
    'interim': (b'', b'HTTP/1.1 100 X\r\n\r\n' * 1000),
    'surplus': (SOUND, b'HTTP/1.1 204 X\r\n\r\n' * 1000),
    'fields': (b'HTTP/1.1 200 X\r\n', b'X-More: y\r\n' * 1000),
    'extension': (
        b'HTTP/1.1 200 X\r\n'
        + SEAL
        + b'Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1;a=',
        b'y' * 60_000,
    ),
    'body': (b'HTTP/1.1 200 X\r\n' + SEAL + b'\r\n', b'y' * 60_000),
}


@pytest.fixture
async def running():
    engines = Engines()
    with tempfile.TemporaryDirectory() as folder:
        entry = open_entry.OpenEntry(
            pathlib.Path(folder),
            memory_mb=MEMORY_MB,
            max_fds=400,
            engines=engines.pair,
            # Every request may be repeated once, from the start of the process.
            bounds={'budget_ratio': 100},
        )
        await entry.start()
        yield entry, engines
        await entry.stop()


async def ask(entry, path):
    """Returns the whole answer to a request, as its caller reads it."""
    async with asyncio.timeout(open_entry.ANSWER_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(
            *open_entry.split(entry.front)
        )
        fields = 'Content-Length: 1000\r\nConnection: close\r\n'
        writer.write(open_entry.head_of(path, fields) + b'a' * 1000)
        answer = await reader.read()
        writer.close()
    return answer


async def clear_failures(entry, engines):
    """Lets each engine answer well, so that none is avoided."""
    for engine in engines.pair:
        engine.paths.clear()
    while not all('/a/x' in engine.paths for engine in engines.pair):
        assert (await ask(entry, '/a/x')).endswith(b'ab')


def causes_in(log):
    lines = [json.loads(line) for line in log.read_text().splitlines()]
    return [line['cause'] for line in lines if line.get('code') == 516]


async def test_broken_answer_to_work_that_runs_once_is_an_honest_failure(
    running,
):
    entry, engines = running
    for name in BROKEN:
        answer = await ask(entry, f'/b/{name}')
        assert answer.startswith(b'HTTP/1.1 502 '), name
        assert b'X-Response-Seal' not in answer, name
        assert engines.paths.count(f'/b/{name}') == 1
        await clear_failures(entry, engines)
    expected = [cause for _answer, cause in BROKEN.values()]
    assert causes_in(entry.log) == expected


async def test_broken_answer_to_repeatable_work_is_replaced_by_another(
    running,
):
    entry, engines = running
    for name in BROKEN:
        answer = await ask(entry, f'/c/{name}')
        assert answer.startswith(b'HTTP/1.1 200 '), name
        assert answer.endswith(b'ab'), name
        assert engines.paths.count(f'/c/{name}') == 2
        await clear_failures(entry, engines)


async def test_stream_is_not_continued_by_a_broken_answer(running):
    entry, engines = running
    for name in BROKEN:
        answer = await ask(entry, f'/r/{name}')
        head, _separator, body = answer.partition(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200 '), name
        assert b'More' not in head
        assert EVENT % 1 in body
        # Neither another event nor the last chunk.
        assert body.count(b'id: ') == 1
        assert not body.endswith(b'0\r\n\r\n'), name
        assert engines.paths.count(f'/r/{name}') == 2
        await clear_failures(entry, engines)


@pytest.mark.parametrize('name', ENDLESS)
async def test_answers_without_an_end_hold_up_no_other(running, name):
    entry, _engines = running
    endless = [
        asyncio.ensure_future(ask(entry, f'/a/endless-{name}'))
        for _number in range(ENDLESS_CROWD)
    ]
    answers = [await ask(entry, path) for path in ('/a/x', '/a/long')]
    assert answers[0].endswith(b'ab')
    assert answers[1].endswith(b'a' * LONG_BYTES)
    # Earlier than at the time limit of their route.
    await asyncio.gather(*endless)
    assert entry.process.poll() is None
    assert entry.peak_mb() < MEMORY_MB
