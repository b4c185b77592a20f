"""Engines that stop in the middle of an answer's head or framing."""

import asyncio
import socket
import struct

import pytest
from users_platform import engine_calls

from carobslip import guard
from tests import test_users_platform as platforms

STREAM = platforms.OK + b'Content-Type: text/event-stream\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
EVENT = b'id: 1\ndata: x\n\n'

# name: bytes after which the engine stops
CUT = {
    'inside the status line': b'HTTP/1.1 20',
    'after the status': b'HTTP/1.1 200',
    'after the status line': b'HTTP/1.1 200 OK\r\n',
    'inside the name of a header': platforms.OK + b'Content-Le',
    'inside the value of a header': platforms.OK + b'Content-Length: 1',
    'after the last header': platforms.OK + b'Content-Length: 0\r\n',
    'after headers without a length': platforms.OK,
    'inside the empty line': platforms.OK + b'Content-Length: 0\r\n\r',
    'stream, after the last header': STREAM,
    'before the size of a chunk': platforms.OK + CHUNKED,
    'inside the size of a chunk': platforms.OK + CHUNKED + b'1',
    'after the size of a chunk': platforms.OK + CHUNKED + b'2\r\n',
    'inside a chunk': platforms.OK + CHUNKED + b'2\r\na',
    'after a chunk': platforms.OK + CHUNKED + b'2\r\nab\r\n',
    'inside the last chunk': platforms.OK + CHUNKED + b'2\r\nab\r\n0',
    'after the size of the last chunk': platforms.OK
    + CHUNKED
    + b'2\r\nab\r\n0\r\n',
    'inside a trailer': platforms.OK + CHUNKED + b'2\r\nab\r\n0\r\nX-Tr: a',
    'after a trailer': platforms.OK + CHUNKED + b'2\r\nab\r\n0\r\nX-T: a\r\n',
    'empty, after the size of the last chunk': platforms.OK
    + CHUNKED
    + b'0\r\n',
    'stream, after an event': STREAM + CHUNKED + b'f\r\n' + EVENT + b'\r\n',
    'stream, after the size of the last chunk': STREAM
    + CHUNKED
    + b'f\r\n'
    + EVENT
    + b'\r\n0\r\n',
    'length, no body': platforms.OK + b'Content-Length: 2\r\n\r\n',
}


class CuttingEngine:
    """Answers some requests whole, then stops inside an answer."""

    def __init__(self, cut, *, whole, is_reset):
        self._cut = cut
        self._whole = whole
        self._is_reset = is_reset

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return f'127.0.0.1:{self._server.sockets[0].getsockname()[1]}'

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        for _ in range(self._whole):
            await self._read(reader)
            writer.write(platforms.ANSWERS['complete'][0])
        await self._read(reader)
        writer.write(self._cut)
        await writer.drain()
        await asyncio.sleep(0.05)
        if self._is_reset:
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()
        else:
            writer.close()

    async def _read(self, reader):
        await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(2)


@pytest.mark.parametrize('is_kept', [False, True])
@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('name', CUT)
async def test_answer_cut_in_its_head_or_framing_is_lost(
    name, is_reset, is_kept
):
    calls = engine_calls.EngineCalls()
    engine = CuttingEngine(CUT[name], whole=int(is_kept), is_reset=is_reset)
    address = await engine.start()
    if is_kept:
        assert await platforms._read(calls, address) == b'ab'
    with pytest.raises(guard.TargetLost):
        await platforms._read(calls, address)
    await calls.close()
    engine.stop()
