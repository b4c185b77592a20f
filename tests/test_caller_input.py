"""Framing of callers' bytes, with random heads, chunks, lengths and splits."""

import asyncio
import itertools
import logging

import hypothesis
import pytest
from aiohttp import web
from hypothesis import strategies

from carobslip import callerlimits, configuration, observability, verdicts
from carobslip.adapters import caller_bodies, caller_connections, client_limits

LIMITS = configuration.CallerLimits(
    header_bytes=400,
    body_bytes=3000,
    header_timeout_ms=3000,
    idle_timeout_ms=15_000,
)
FUZZ = hypothesis.settings(
    max_examples=150, deadline=None, derandomize=True, database=None
)


class Transport(asyncio.Transport):
    """Keeps what is written, and what was done to it."""

    def __init__(self):
        super().__init__({'peername': ('127.0.0.1', 1)})
        self.written = b''
        self.is_closed = False

    def write(self, data):
        self.written += data

    def writelines(self, parts):
        self.written += b''.join(parts)

    def close(self):
        self.is_closed = True

    abort = close

    def is_closing(self):
        return self.is_closed

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def get_write_buffer_size(self):
        return 0


class Site:
    """A server whose connections get their bytes from the test."""

    def __init__(self, capacity=None, bounds=LIMITS):
        self.received = []
        self.bounds = bounds
        self.faults = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _loop, context: self.faults.append(context)
        )
        self.limits = client_limits.ClientLimits(
            log=observability.EventLog(),
            metrics=observability.MetricsBook(),
            capacity=capacity,
        )
        self.front = caller_connections.CallerConnections(
            handler=self.answer,
            bounds=lambda: caller_connections.ConnectionBounds(
                header_timeout_ms=bounds.header_timeout_ms,
                idle_timeout_ms=bounds.idle_timeout_ms,
                header_bytes=bounds.header_bytes,
            ),
            limits=self.limits,
            metrics=observability.MetricsBook(),
            keep_alive_s=3600,
        )

    async def answer(self, request):
        holding = caller_bodies.open_holding(request, self.limits.budget)
        try:
            body = await caller_bodies.read_body(request, holding, self.bounds)
        finally:
            holding.clear()
        if isinstance(body, verdicts.Outcome):
            response = web.Response(status=400)
            response.force_close()
            return response
        self.received.append(body)
        return web.Response(text='answer')

    async def play(self, pieces):
        connection = self.front()
        transport = Transport()
        connection.connection_made(transport)
        for piece in pieces:
            if not transport.is_closed and piece:
                connection.data_received(piece)
            await settle()
        await settle(20)
        connection.connection_lost(None)
        await settle(20)
        return transport.written


async def settle(turns=3):
    for _ in range(turns):
        await asyncio.sleep(0)


def chunked(content, sizes):
    """Encodes a body in chunks of the given sizes, one after the other."""
    parts = []
    place = 0
    for size in sizes:
        part = content[place : place + size]
        if part:
            parts.append(b'%x\r\n%b\r\n' % (len(part), part))
        place += size
    if content[place:]:
        rest = content[place:]
        parts.append(b'%X;a=b\r\n%b\r\n' % (len(rest), rest))
    return b''.join(parts) + b'0\r\nX-Trailer: a\r\n\r\n'


def encode(request):
    content, sizes = request
    head = b'POST /a HTTP/1.1\r\nHost: a\r\n'
    if sizes is None:
        length = b'Content-Length: %d\r\n\r\n' % len(content)
        return head + length + content
    return (
        b'\r\n'
        + head
        + b'transfer-encoding: Chunked\r\n\r\n'
        + chunked(content, sizes)
    )


def split_at(content, cuts):
    places = sorted({cut % (len(content) + 1) for cut in cuts})
    edges = [0, *places, len(content)]
    return [content[begin:end] for begin, end in itertools.pairwise(edges)]


REQUESTS = strategies.lists(
    strategies.tuples(
        strategies.binary(max_size=600),
        strategies.none()
        | strategies.lists(strategies.integers(1, 40), max_size=30),
    ),
    min_size=1,
    max_size=4,
)
CUTS = strategies.lists(strategies.integers(0, 5000), max_size=40)
FRAGMENTS = strategies.lists(
    strategies.sampled_from(
        [
            b'POST /a HTTP/1.1\r\n',
            b'GET http://[ HTTP/1.1\r\n',
            b'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n',
            b'Host: a\r\n',
            b'Upgrade: websocket\r\nConnection: upgrade\r\n',
            b'Transfer-Encoding: chunked\r\n',
            b'Content-Length: 5\r\n',
            b'Content-Length: -1\r\n',
            b'Content-Length: 99999999999999999999\r\n',
            b'\r\n',
            b'\n\n',
            b'\r',
            b'5\r\nabcde\r\n',
            b'1\r\na\r\n' * 50,
            b'FFFFFFFFFFFFFFFF\r\n',
            b'0\r\n\r\n',
            b'0\r\n',
            b'X: ' + b'a' * 500 + b'\r\n',
            b'\x00\xff',
            b'a' * 900,
        ]
    )
    | strategies.binary(max_size=20),
    max_size=25,
)


@FUZZ
@hypothesis.given(requests=REQUESTS, cuts=CUTS)
def test_bodies_differ_with_the_splits_of_the_bytes_that_carry_them(
    requests, cuts
):
    async def play():
        site = Site()
        sent = b''.join(map(encode, requests))
        written = await site.play(split_at(sent, cuts))
        assert site.received == [content for content, _sizes in requests]
        assert written.count(b'HTTP/1.1 200') == len(requests)
        assert site.faults == []

    asyncio.run(play())


@FUZZ
@hypothesis.given(fragments=FRAGMENTS, cuts=CUTS)
def test_malformed_input_leaves_bytes_counted_or_ends_a_task_with_an_error(
    fragments, cuts
):
    unhandled = []
    handler = logging.Handler()
    handler.emit = lambda record: unhandled.append(record.getMessage())
    logger = logging.getLogger('aiohttp.server')
    logger.addHandler(handler)

    async def play():
        site = Site()
        await site.play(split_at(b''.join(fragments), cuts))
        assert site.limits.budget.used_bytes == 0
        assert site.limits.gate.count == 0
        assert asyncio.all_tasks() == {asyncio.current_task()}
        assert site.faults == []

    try:
        asyncio.run(play())
    finally:
        logger.removeHandler(handler)
    assert [text for text in unhandled if 'Unhandled' in text] == []


MALFORMED = [
    b'1\r\naX\r\n',
    b'1\r\na\rX',
    b'1\r\nab\r\n',
    b'\r\n',
    b' 1\r\n',
    b'+1\r\n',
    b'0x1\r\n',
    b'1_0\r\n',
    b'-1\r\n',
    b'1234567890\r\n',
    b'1;' + b'a' * 5000,
    b'0\r\n' + b'X: a\r\n' * 40,
]


@pytest.mark.parametrize('framing', MALFORMED)
@pytest.mark.parametrize('step', [1, 10_000])
def test_malformed_chunks_are_taken_for_a_body(framing, step):
    decoder = callerlimits.ChunkDecoder(trailer_bytes_max=200)

    def feed():
        for place in range(0, len(framing), step):
            decoder.feed(framing[place : place + step], 1000)

    with pytest.raises(callerlimits.MalformedBody):
        feed()


@pytest.mark.parametrize('sizes', [None, [65_536] * 63, [1] * 5000])
async def test_longest_body_of_the_configuration_is_refused(sizes):
    content = b'ab' * 2_097_152
    site = Site(bounds=configuration.CallerLimits())
    sent = encode((content, sizes))
    await site.play(split_at(sent, range(0, len(sent), 250_000)))
    assert site.received == [content]
    assert site.limits.budget.used_bytes == 0


SMALL = callerlimits.Capacity(
    bytes_max=1000, connections_max=4, source_connections_max=4, backlog=16
)


async def test_incomplete_body_keeps_memory_that_another_request_needs():
    # The first body stops; after a second without progress it gives its bytes
    # to the next one, and its request is refused.
    site = Site(SMALL)
    head = b'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 700\r\n\r\n'
    stopped, transport = site.front(), Transport()
    stopped.connection_made(transport)
    stopped.data_received(head + b'a' * 600)
    await settle()
    assert site.limits.budget.used_bytes == 600
    await asyncio.sleep(1.1)
    await site.play([head + b'b' * 700])
    assert site.received == [b'b' * 700]
    assert b' 400 ' in transport.written
    stopped.connection_lost(None)
    await settle(20)
    assert site.limits.budget.used_bytes == 0


async def test_silent_connections_keep_out_a_caller():
    site = Site(SMALL)
    silent = [(site.front(), Transport()) for _ in range(4)]
    for connection, transport in silent:
        connection.connection_made(transport)
    await settle()
    assert b' 200 ' in await site.play([encode((b'a', None))])
    closed = [transport.is_closed for _connection, transport in silent]
    assert closed == [True, False, False, False]
    for connection, _transport in silent:
        connection.connection_lost(None)
    await settle(20)
    assert site.limits.gate.count == 0


async def test_incomplete_bodies_keep_out_a_caller():
    # Bodies that drip stay within their time limit for long.
    site = Site(SMALL)
    head = b'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\na'
    dripping = [(site.front(), Transport()) for _ in range(4)]
    for connection, transport in dripping:
        connection.connection_made(transport)
        connection.data_received(head)
        await settle()
    assert b' 200 ' in await site.play([encode((b'a', None))])
    closed = [transport.is_closed for _connection, transport in dripping]
    assert closed == [True, False, False, False]
    for connection, _transport in dripping:
        connection.connection_lost(None)
    await settle(20)
    assert site.limits.gate.count == 0


async def test_request_in_progress_is_closed_for_a_new_connection():
    site = Site(SMALL)
    until = asyncio.Event()

    async def wait(request):
        await until.wait()
        return web.Response()

    site.front._answer = wait
    busy = [(site.front(), Transport()) for _ in range(4)]
    for connection, transport in busy:
        connection.connection_made(transport)
        connection.data_received(encode((b'a', None)))
        await settle()
    refused, transport = site.front(), Transport()
    refused.connection_made(transport)
    assert transport.is_closed
    assert not any(transport.is_closed for _connection, transport in busy)
    until.set()
    await settle(20)
    assert all(b' 200 ' in transport.written for _connection, transport in busy)
    for connection, _transport in busy:
        connection.connection_lost(None)
    await settle(20)


def test_small_chunks_use_the_processor_without_a_limit():
    allowance = callerlimits.ChunkAllowance()
    assert allowance.delay_s(100, 1000, 1000 * 4096) == 0
    delays = [allowance.delay_s(100, 1000, 1000) for _ in range(100)]
    assert delays[10] == 0
    assert delays[-1] == pytest.approx(0.77, abs=0.1)


def test_slow_reader_within_the_least_rate_loses_its_answer():
    # Four idle timeouts without progress are allowed, and 8 kB per second.
    assert callerlimits.transfer_left_s(
        spent_s=59, moved_bytes=0, idle_timeout_ms=15_000
    ) == pytest.approx(1)
    assert (
        callerlimits.transfer_left_s(
            spent_s=500, moved_bytes=4_194_304, idle_timeout_ms=15_000
        )
        > 0
    )


def test_long_answers_use_up_the_memory_for_small_requests():
    budget = callerlimits.ByteBudget(
        bytes_max=100_000, now_s=lambda: 0, on_short=lambda _what: None
    )
    held = budget.open(callerlimits.Use.REQUEST)
    assert held.resize(70_000)
    assert not budget.open(callerlimits.Use.REQUEST).resize(70_000)
    # A small request still finds memory.
    assert budget.open(callerlimits.Use.BODY).resize(20_000)


def test_answers_that_wait_for_each_other_end_one_after_the_other():
    budget = callerlimits.ByteBudget(
        bytes_max=400_000, now_s=lambda: 0.0, on_short=lambda _what: None
    )
    first, second = (budget.open(callerlimits.Use.REQUEST) for _ in range(2))
    assert first.grow(150_000)
    assert second.grow(150_000)
    # The second one may still end by itself.
    assert not first.grow(200_000)
    assert second.grow(250_000)
    assert not first.grow(200_000)
    second.clear()
    assert first.grow(200_000)


def test_unread_answers_use_more_than_the_memory():
    budget = callerlimits.ByteBudget(
        bytes_max=400_000, now_s=lambda: 0.0, on_short=lambda _what: None
    )
    unread = budget.open(callerlimits.Use.ANSWER, lambda: None)
    unread.force(250_000)
    assert not budget.open(callerlimits.Use.REQUEST).grow(100_000)
    assert budget.used_bytes == 250_000
