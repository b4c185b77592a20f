"""Control messages over real sockets, with peers that read no answers."""

import asyncio
import contextlib
import socket
import struct
import time

import pytest

from carobslip import (
    clocks,
    configuration,
    control,
    identifiers,
    observability,
    targets,
)
from carobslip.adapters import control_nng
from tests.fakes import cluster
from tests.fakes import forwarding as fakes

#: Handshake that a requester, like any peer, sends first in the protocol.
HANDSHAKE = b'\x00SP\x00' + struct.pack('>HH', 0x30, 0)
#: Marks the last header of a request.
FIRST_REQUEST = 0x80000000
DOCUMENT = b'x' * 60_000
PEERS = 12
REQUESTS = 100


def connect(address):
    host, port = address.split(':')
    peer = socket.socket()
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    peer.connect((host, int(port)))
    peer.sendall(HANDSHAKE)
    return peer


def send_requests_without_reading(peer):
    for number in range(REQUESTS):
        content = struct.pack('>I', FIRST_REQUEST + number) + b'document'
        peer.sendall(struct.pack('>Q', len(content)) + content)


def free_address():
    with contextlib.closing(socket.socket()) as one:
        one.bind(('127.0.0.1', 0))
        return '{}:{}'.format(*one.getsockname())


async def test_peers_that_read_no_answers_do_not_block_other_requests():
    address = free_address()
    server = control_nng.NngTransport()
    client = control_nng.NngTransport()

    async def handle(frame):
        return DOCUMENT if frame.endswith(b'document') else b'noted'

    await server.serve(address, handle)
    peers = [connect(address) for _number in range(PEERS)]
    for peer in peers:
        send_requests_without_reading(peer)
    await asyncio.sleep(0.5)
    for _number in range(3):
        assert await client.call(address, b'news', 1000) == b'noted'
    # Workers remain free while all of these peers block theirs.
    assert 0 < max(server._unsent.values()) <= control_nng._UNSENT_MAX
    assert sum(server._unsent.values()) < len(server._workers)
    for peer in peers:
        peer.close()
    await client.close()
    await server.close()


async def test_requests_that_arrive_together_are_all_answered():
    address = free_address()
    server = control_nng.NngTransport()
    client = control_nng.NngTransport()

    async def handle(frame):
        return frame

    await server.serve(address, handle)
    await client.call(address, b'first', 1000)
    # All wait until the server reads them in one turn.
    calls = [client.call(address, b'%d' % number, 500) for number in range(16)]
    asked = asyncio.gather(*calls)
    await asyncio.sleep(0)
    time.sleep(0.1)  # noqa: ASYNC251
    assert await asked == [b'%d' % number for number in range(16)]
    assert server.dropped_total == 0
    await client.close()
    await server.close()


async def test_call_fails_as_unreachable_when_its_connection_is_evicted():
    address = free_address()
    server = control_nng.NngTransport()
    client = control_nng.NngTransport()

    async def never_answer(frame):
        await asyncio.sleep(60)
        return frame

    await server.serve(address, never_answer)
    call = asyncio.ensure_future(client.call(address, b'news', 5000))
    await asyncio.sleep(0.3)
    # Closed like the connection of the least recently used peer.
    client._sockets.pop(address).close()
    with pytest.raises(control.PeerUnreachable):
        await call
    await client.close()
    await server.close()


async def test_idle_connections_are_closed(monkeypatch):
    monkeypatch.setattr(control_nng, '_IDLE_S', 0.2)
    server = control_nng.NngTransport()
    client = control_nng.NngTransport()
    addresses = [free_address(), free_address()]

    async def answer(frame):
        return frame

    second = control_nng.NngTransport()
    await server.serve(addresses[0], answer)
    await second.serve(addresses[1], answer)
    assert await client.call(addresses[0], b'news', 1000) == b'news'
    await asyncio.sleep(0.4)
    assert await client.call(addresses[1], b'news', 1000) == b'news'
    assert list(client._sockets) == [addresses[1]]
    # A closed connection is replaced when it is needed again.
    assert await client.call(addresses[0], b'news', 1000) == b'news'
    for transport in (client, server, second):
        await transport.close()


def new_node(name, log):
    address = free_address()
    return control.Node(
        origin=control.Origin(
            instance=identifiers.InstanceId(name),
            incarnation=identifiers.Incarnation(1),
            control_address=address,
        ),
        holder=configuration.Holder(clock=clocks.SystemClock()),
        transport=control_nng.NngTransport(),
        metrics=observability.NoMetrics(),
        log=log,
    )


async def list_with_a_large_number(request, origin):
    record = fakes.record('i-1', fakes.SERVICE, sequence=1 << 70)
    return control.TargetList(
        snapshot=targets.TargetSnapshot(records=(record,), revision=1)
    )


async def raise_recursion_error(request, origin):
    raise RecursionError('deep')


@pytest.mark.parametrize(
    'handler', [list_with_a_large_number, raise_recursion_error]
)
async def test_requests_that_cannot_be_answered_do_not_stop_the_others(handler):
    log = cluster.RecordingLog()
    server, client = new_node('server', log), new_node('client', log)
    server.register_handler(control.FetchTargets, handler)
    await server.start()
    address = server.origin.control_address
    for _number in range(3 * control_nng._WORKERS):
        with pytest.raises(control.PeerUnreachable):
            await client.ask(
                address,
                control.FetchTargets(),
                answer=control.TargetList,
                timeout_ms=300,
            )
        noted = await client.ask(
            address,
            control.CompareVersions(),
            answer=control.Noted,
            timeout_ms=1000,
        )
        assert noted == control.Noted()
    written = [event for event, _fields in log.events]
    assert written.count(observability.Event.PEER_REQUEST_FAILED) == 1
    await client.close()
    await server.close()


class Forwarder:
    """Forwards connections to an address, until they go silent for good."""

    def __init__(self, address):
        self._address = address.split(':')
        self._tasks = []
        self._silent = set()
        self._writers = []

    async def start(self):
        server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self._server = server
        return f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

    def silence(self):
        """Makes all open connections silent; later ones work."""
        self._silent.update(self._tasks)

    async def _accept(self, reader, writer):
        other_reader, other_writer = await asyncio.open_connection(
            *self._address
        )
        self._writers += [writer, other_writer]
        self._tasks += [
            asyncio.ensure_future(self._forward(reader, other_writer)),
            asyncio.ensure_future(self._forward(other_reader, writer)),
        ]

    async def _forward(self, reader, writer):
        while content := await reader.read(4096):
            if asyncio.current_task() not in self._silent:
                writer.write(content)

    async def close(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.close()


async def test_connection_to_a_peer_that_goes_silent_is_replaced():
    # Guards against: a peer counts as gone for good, as its one connection
    # carries nothing any more.
    address = free_address()
    server = control_nng.NngTransport()
    client = control_nng.NngTransport()

    async def handle(frame):
        return b'noted'

    await server.serve(address, handle)
    forwarder = Forwarder(address)
    forwarded = await forwarder.start()
    assert await client.call(forwarded, b'news', 1000) == b'noted'
    forwarder.silence()
    answered = False
    for _attempt in range(30):
        with contextlib.suppress(control.PeerUnreachable):
            await client.call(forwarded, b'news', 100)
            answered = True
            break
    assert answered
    await client.close()
    await forwarder.close()
    await server.close()
