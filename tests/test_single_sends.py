"""Requests whose answer is lost reach a target once, whatever their method."""

import asyncio
import contextlib
import socket
import struct

import msgspec
import pytest
from users_platform import engine_calls

from carobslip import guard, identifiers
from carobslip.adapters import guard_client, target_client
from tests import test_users_platform as platforms

METHODS = ('GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE', 'POST', 'PATCH')
WHOLE = platforms.OK + b'Content-Length: 2\r\n\r\nab'
RESET = struct.pack('ii', 1, 0)


class LossyTarget:
    """Runs each request; from some request on, loses the answers."""

    def __init__(self, *, answers, ends_by):
        self._answers = answers
        self._ends_by = ends_by
        self.runs = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while await self._run(reader, writer):
                await writer.drain()
        writer.close()

    async def _run(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                await reader.readexactly(int(line.split(b':')[1]))
        self.runs += 1
        if self.runs <= self._answers:
            is_head = head.startswith(b'HEAD')
            writer.write(WHOLE[:-2] if is_head else WHOLE)
            return True
        if self._ends_by == 'reset':
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET
            )
        if self._ends_by == 'half a head':
            writer.write(WHOLE[:20])
        return False


async def _call_engine(address, method, answers):
    calls = engine_calls.EngineCalls()
    call = platforms._call(address)
    request = msgspec.structs.replace(call.request, method=method)
    call = msgspec.structs.replace(
        call, request=request, may_reuse_connection=bool(answers)
    )
    try:
        for _number in range(answers):
            async with calls.call(call) as answer:
                assert answer.head.status == 200
                async for _part in answer.chunks():
                    pass
        with pytest.raises(guard.TargetLost):
            async with calls.call(call):
                pass
    finally:
        await calls.close()


async def _call_target(address, method, answers):
    target = target_client.HttpTarget(
        base_url=f'http://{address}', probe_path='/'
    )
    call = guard.TargetCall(
        request_id=identifiers.RequestId('r1'),
        method=method,
        path='/a',
        body=b'{}',
        content_type='text/plain',
        key=None,
        priority=0,
        timeout_ms=500,
    )
    try:
        for _number in range(answers):
            async with target.call(call) as answer:
                assert answer.status == 200
        with pytest.raises(guard.TargetLost):
            async with target.call(call):
                pass
    finally:
        await target.close()


@pytest.mark.parametrize('send', [_call_engine, _call_target])
@pytest.mark.parametrize('ends_by', ['reset', 'close', 'half a head'])
@pytest.mark.parametrize('answers', [0, 1])
@pytest.mark.parametrize('method', METHODS)
async def test_request_whose_answer_is_lost_is_not_sent_again(
    method, answers, ends_by, send
):
    target = LossyTarget(answers=answers, ends_by=ends_by)
    await send(await target.start(), method, answers)
    await asyncio.sleep(0.05)
    target.stop()
    assert target.runs == answers + 1


async def test_session_between_processes_sends_once():
    target = LossyTarget(answers=0, ends_by='reset')
    address = await target.start()
    async with guard_client.new_session() as session:
        with contextlib.suppress(Exception):
            await session.put(f'http://{address}/', data=b'x')
    target.stop()
    assert target.runs == 1
