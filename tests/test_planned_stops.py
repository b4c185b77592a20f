"""Requests that come late in a planned stop are refused, none is cut."""

import asyncio
import contextlib
import pathlib

import pytest
from aiohttp import test_utils

from carobslip import (
    clocks,
    configuration,
    directory,
    observability,
    processes,
    verdicts,
)
from carobslip.adapters import caller_server
from tests.fakes import cluster, virtual
from tests.fakes import forwarding as fakes

EXAMPLE = pathlib.Path(__file__).parents[1] / (
    'examples/hartwell/configuration.json5'
)
SERVICE_MS = 400
ACCEPT_MS = 2500
#: Until a queue notices that no new request is accepted.
NOTICE_MS = 60


class SlowPort(fakes.FakePort):
    """Targets that take a while, and note when requests reach them."""

    def __init__(self, clock):
        super().__init__([])
        self.clock = clock
        self.reached_ms = []

    @contextlib.asynccontextmanager
    async def call(self, call):
        self.reached_ms.append(self.clock.now_ms())
        await asyncio.sleep(SERVICE_MS / 1000)
        yield fakes.FakeAnswer()


def _new_entry(slots=1):
    entry_ = fakes.Entry([], held=fakes.table(), count=1, slots=slots)
    entry_.port = SlowPort(entry_.clock)
    entry_.forwarder._attempts._port = entry_.port
    return entry_


@pytest.mark.parametrize('path', ['/book/x', '/look/x', '/once/x'])
def test_requests_that_no_target_has_got_are_refused_when_a_stop_is_near(path):
    async def scenario():
        own = _new_entry()
        first = asyncio.ensure_future(own.send(path))
        await asyncio.sleep(0.1)
        queued = asyncio.ensure_future(own.send(path))
        await asyncio.sleep(0.1)
        closed_ms = own.clock.now_ms()
        own.forwarder.stop_accepting()
        late, _caller = await own.send(path)
        assert late.verdict is verdicts.Verdict.NOT_RUN
        assert late.reason is verdicts.Reason.DRAINING
        assert late.retry_after_ms
        waited, _caller = await queued
        assert waited.verdict is verdicts.Verdict.NOT_RUN
        assert waited.reason is verdicts.Reason.DRAINING
        assert own.clock.now_ms() - closed_ms <= NOTICE_MS
        outcome, _caller = await first
        assert outcome.verdict is not verdicts.Verdict.NOT_RUN
        await asyncio.sleep(2)
        assert len(own.port.reached_ms) == 1
        assert own.forwarder.in_progress == 0

    virtual.run(scenario)


def test_stream_in_progress_is_resumed_while_a_stop_is_near():
    async def scenario():
        own = fakes.Entry(
            [fakes.broken_events(1, 2), fakes.events(3, 4)], held=fakes.table()
        )
        sending = asyncio.ensure_future(own.send('/note/x'))
        await asyncio.sleep(0.006)
        own.forwarder.stop_accepting()
        outcome, caller = await sending
        assert outcome.verdict is verdicts.Verdict.RAN
        assert caller.body == fakes.numbered(1, 2, 3, 4)

    virtual.run(scenario)


@pytest.mark.parametrize('drain_ms', [500, 1000, 2000, 4000, 7200, 30_000])
def test_most_of_a_stop_is_left_for_completing_requests(drain_ms):
    async def scenario():
        own = processes.ForwardingEntry(
            own=processes.ForwardingEntrySettings(
                instance='e1',
                data_centre='z',
                http_address='127.0.0.1:1',
                control_address='127.0.0.1:2',
                drain_ms=drain_ms,
            ),
            connect=lambda _entry: None,
            metrics=observability.NoMetrics(),
        )
        own.clock = clocks.LoopClock(epoch_ms=0)
        own._stop_began_ms = own.clock.now_ms()
        accepted_ms = 0
        while own.is_accepting:
            await asyncio.sleep(0.01)
            accepted_ms += 10
        assert drain_ms / 4 <= accepted_ms or accepted_ms >= ACCEPT_MS
        assert accepted_ms <= drain_ms / 2

    virtual.run(scenario)


class CountingRunner:
    """Runs requests of an entry's callers."""

    def __init__(self):
        self.runs = 0

    async def run(self, request, caller):
        self.runs += 1
        return verdicts.not_run(verdicts.Reason.NO_ROOM)


async def test_entry_refuses_a_request_whose_body_ends_after_the_accept_time():
    clock = clocks.SystemClock()
    holder = configuration.Holder(clock=clock)
    holder.offer(EXAMPLE.read_text(), source='test')
    runner = CountingRunner()
    server = caller_server.CallerServer(
        own=None,
        runner=runner,
        holder=holder,
        fleet=directory.Directory(is_usable=lambda _name: True),
        clock=clock,
        log=cluster.RecordingLog(),
        on_ended=lambda *_ended: None,
    )
    server._redirect_headers = dict
    async with test_utils.TestClient(
        test_utils.TestServer(server.application())
    ) as caller:

        async def slow_body():
            yield b'a'
            await asyncio.sleep(0.1)
            server.stop_accepting()
            yield b'b'

        async with caller.post(
            '/v1/services/booking/x',
            data=slow_body(),
            headers={'Carobslip-Team': 't'},
        ) as answer:
            assert answer.status == 503
            assert answer.headers['Carobslip-Verdict'] == 'not-run'
            assert 'draining' in await answer.text()
    assert runner.runs == 0
