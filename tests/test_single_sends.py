"""Requests whose answer is lost reach a target once, whatever their method."""

import asyncio
import contextlib
import socket
import struct

import msgspec
import pytest
from users_platform import connections, engine_calls, engine_control

from carobslip import expertmap, fleet, guard, identifiers, settings
from carobslip.adapters import guard_client, platform_client, target_client
from tests import test_kept_connections as kept
from tests import test_users_platform as platforms

METHODS = ('GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE', 'POST', 'PATCH')
WHOLE = platforms.OK + b'Content-Length: 2\r\n\r\nab'
REDIRECT = (
    b'HTTP/1.1 %d X\r\nLocation: %b\r\nContent-Length: 0\r\n'
    b'Connection: close\r\n\r\n'
)
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


async def _report_of(address):
    session = connections.new_session(idle_s=None)
    client = engine_control.EngineControlClient(
        address=address, session=session, timeout_s=1
    )
    try:
        with pytest.raises(expertmap.EngineUnavailable):
            await client.report()
    finally:
        await session.close()


async def _order_to(address):
    session = connections.new_session(idle_s=None)
    client = engine_control.EngineControlClient(
        address=address, session=session, timeout_s=1
    )
    order = expertmap.RankOrder(
        kind=expertmap.OrderKind.GO, epoch=1, fence=1, step=1
    )
    try:
        assert await client.order(order) is expertmap.OrderEnd.REFUSED
    finally:
        await session.close()


async def _list_from(address):
    url = f'http://{address}/list'
    async with guard_client.new_session() as session:
        client = platform_client.PlatformClient(
            addresses=settings.PlatformSettings(
                configuration_url=url, instances_url=url
            ),
            session=session,
        )
        with pytest.raises(fleet.PlatformUnavailable):
            await client.read_instances()


@pytest.mark.parametrize('send', [_report_of, _order_to, _list_from])
@pytest.mark.parametrize('status', [301, 302, 303, 307, 308])
async def test_redirect_is_not_followed_to_another_address(status, send):
    other = LossyTarget(answers=9, ends_by='close')
    location = f'http://{await other.start()}/'
    redirecting = kept.ScriptedEngine(
        [(REDIRECT % (status, location.encode()), b'')]
    )
    await send(await redirecting.start())
    redirecting.stop()
    other.stop()
    assert other.runs == 0
