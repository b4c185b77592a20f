"""Admission when there are more requests than the targets have slots."""

import asyncio
import functools
import random

import pytest

from carobslip import clocks, forwarding, identifiers
from tests.fakes import forwarding as fakes
from tests.fakes import virtual

SERVICE = fakes.SERVICE


class Load:
    """An admission in front of targets with a given mean service time."""

    def __init__(
        self, *, targets=4, slots=3, service_s=0.5, entries=1, position=None
    ):
        self.clock = clocks.LoopClock(epoch_ms=0)
        self.records = [
            fakes.record(f't{number}', SERVICE, slots=slots)
            for number in range(targets)
        ]
        self.loads = forwarding.LoadTracker(
            clock=self.clock,
            generator=random.Random(1),
            data_centre=identifiers.DataCentreId('east'),
        )
        self.entries = entries
        self.service_s = service_s
        self.admission = forwarding.Admission(
            loads=self.loads,
            candidates=lambda _service: self.records,
            entries=lambda: self.entries,
            permits=fakes.unlimited(self.clock),
            clock=self.clock,
            generator=random.Random(2),
            position=position,
        )
        self.generator = random.Random(5)
        self.started = []
        self.refused = []
        self.most_at_once = {}

    def demand(self, *, wait_ms=1200.0, on_time_ms=300.0, **changes):
        now_ms = self.clock.now_ms()
        content = {
            'service': SERVICE,
            'priority': 1,
            'on_time_until_ms': now_ms + on_time_ms,
            'wait_until_ms': now_ms + wait_ms,
        }
        return forwarding.Demand(**{**content, **changes})

    async def send(self, **changes):
        arrived_ms = self.clock.now_ms()
        place = await self.admission.admit(self.demand(**changes))
        waited_ms = self.clock.now_ms() - arrived_ms
        if isinstance(place, forwarding.Refusal):
            self.refused.append((arrived_ms, waited_ms, place))
            return
        self.started.append((arrived_ms, waited_ms, place.target))
        own = self.loads.own_requests(place.target)
        most = self.most_at_once.get(place.target, 0)
        self.most_at_once[place.target] = max(most, own)
        took_s = self.service_s * self.generator.uniform(0.5, 1.5)
        await asyncio.sleep(took_s)
        self.loads.note_success(place.target, took_s * 1000)
        self.admission.release(place)

    async def run(self, *, rate_rps, seconds, generator):
        sends = []
        for _number in range(int(rate_rps * seconds)):
            sends.append(asyncio.ensure_future(self.send()))
            await asyncio.sleep(generator.expovariate(rate_rps))
        await asyncio.gather(*sends)


# Capacity is 4 targets x 3 slots / 0.5 s = 24 requests a second.
LOADS = {'half': 12, 'full': 22, 'twice': 48, 'five times': 120}


@pytest.mark.parametrize('name', LOADS)
def test_targets_get_no_more_requests_than_their_slots(name):
    async def scenario():
        load = Load()
        await load.run(
            rate_rps=LOADS[name],
            seconds=20,
            generator=random.Random(3),
        )
        assert max(load.most_at_once.values()) <= 3
        served_rps = len(load.started) / 20
        assert served_rps >= 0.9 * min(LOADS[name], 24)

    virtual.run(scenario)


@pytest.mark.parametrize('rate_rps', [36, 72, 120])
def test_overload_is_refused_on_arrival_and_the_rest_starts_on_time(rate_rps):
    async def scenario():
        load = Load()
        await load.run(
            rate_rps=rate_rps,
            seconds=20,
            generator=random.Random(4),
        )
        settled = [one for one in load.refused if one[0] > 2000]
        on_arrival = [one for one in settled if one[1] < 1]
        assert len(on_arrival) >= 0.95 * len(settled)
        waits_ms = [one[1] for one in load.started if one[0] > 2000]
        on_time = [one for one in waits_ms if one <= 300]
        assert len(on_time) >= 0.9 * len(waits_ms)
        returns = {round(one[2].retry_after_ms, -2) for one in load.refused}
        assert len(returns) > 5

    virtual.run(scenario)


def test_retry_delays_of_refused_callers_are_spread():
    async def scenario():
        load = Load()
        burst = [asyncio.ensure_future(load.send()) for _one in range(60)]
        await asyncio.gather(*burst)
        returns_ms = sorted(one[2].retry_after_ms for one in load.refused)
        assert returns_ms[-1] - returns_ms[0] > 600
        assert returns_ms[0] >= 400

    virtual.run(scenario)


def test_urgent_requests_start_first():
    async def scenario():
        load = Load(targets=1, slots=1, service_s=0.2)
        order = []

        async def send(name, priority):
            await load.send(priority=priority)
            order.append(name)

        await asyncio.gather(
            send('running', 2),
            send('usual', 2),
            send('urgent', 0),
        )
        assert order == ['running', 'urgent', 'usual']

    virtual.run(scenario)


def test_reported_load_of_other_entries_occupies_slots():
    async def scenario():
        load = Load(targets=2, slots=3)
        load.loads.store_report('t0', 3, valid_ms=1500)
        load.loads.store_report('t1', 1, valid_ms=1500)
        places = [
            await load.admission.admit(load.demand(wait_ms=0))
            for _number in range(3)
        ]
        assert [getattr(one, 'target', None) for one in places] == [
            't1',
            't1',
            None,
        ]

    virtual.run(scenario)


def test_load_reported_in_an_answer_expires():
    async def scenario():
        load = Load(targets=1, slots=3)
        load.loads.store_report('t0', 3, valid_ms=100)
        place = await load.admission.admit(load.demand(wait_ms=0))
        assert isinstance(place, forwarding.Refusal)
        await asyncio.sleep(0.11)
        place = await load.admission.admit(load.demand(wait_ms=0))
        assert place.target == 't0'

    virtual.run(scenario)


def test_entry_without_load_reports_uses_only_its_share():
    async def scenario():
        load = Load(targets=1, slots=6, entries=3)
        places = [
            await load.admission.admit(load.demand(wait_ms=0))
            for _number in range(4)
        ]
        taken = [
            one for one in places if not isinstance(one, forwarding.Refusal)
        ]
        assert len(taken) == 2

    virtual.run(scenario)


@pytest.mark.parametrize('entries', [1, 3, 7])
def test_rate_at_a_cold_target_stays_within_the_bound_over_all_entries(entries):
    async def scenario():
        loads = [
            Load(targets=1, slots=100, service_s=0.01, entries=entries)
            for _number in range(entries)
        ]
        bound_rps = 21.0

        async def send_steadily(load):
            for _number in range(100):
                place = await load.admission.admit(
                    load.demand(wait_ms=0, cold_rps=bound_rps),
                )
                if not isinstance(place, forwarding.Refusal):
                    load.started.append(load.clock.now_ms())
                    load.admission.release(place)
                await asyncio.sleep(0.01)

        await asyncio.gather(*(send_steadily(load) for load in loads))
        moments = sorted(one for load in loads for one in load.started)
        for moment in moments:
            window = [one for one in moments if 0 <= one - moment < 1000]
            assert len(window) <= bound_rps

    virtual.run(scenario)


async def send_to_cold_target(entries, *, bound_rps, seconds, **changes):
    """Returns when entries sent to a cold target that all want to use."""
    loads = [
        Load(
            targets=1,
            slots=100,
            entries=entries,
            position=functools.partial(int, position),
        )
        for position in range(entries)
    ]
    moments = []
    for _step in range(100 * seconds):
        for load in loads:
            demand = load.demand(wait_ms=0, cold_rps=bound_rps, **changes)
            place = load.admission.take(demand)
            if place is not None:
                moments.append(load.clock.now_ms())
                load.admission.release(place)
        await asyncio.sleep(0.01)
    return moments


def most_in_a_second(moments):
    return max(
        sum(0 <= one - first < 1000 for one in moments) for first in moments
    )


# Each of 98 entries sent one request a second to a target that may get 26.
@pytest.mark.parametrize('bound_rps', [2.0, 26.0])
@pytest.mark.parametrize('entries', [7, 38, 98])
def test_no_entry_rounds_its_share_of_a_cold_rate_up(entries, bound_rps):
    async def scenario():
        before = await send_to_cold_target(
            entries, bound_rps=bound_rps, seconds=2
        )
        sent = await send_to_cold_target(
            entries, bound_rps=bound_rps, seconds=12, spreads_cold_rate=True
        )
        if entries > bound_rps:
            assert most_in_a_second(before) >= entries
        assert most_in_a_second(sent) <= bound_rps
        assert len(sent) >= 0.5 * bound_rps * 12

    virtual.run(scenario)


@pytest.mark.parametrize('bound_rps', [5.0, 26.0])
def test_lone_entry_is_served_as_before_with_spread_cold_rates(bound_rps):
    async def scenario():
        load = {'bound_rps': bound_rps, 'seconds': 4}
        before = await send_to_cold_target(1, **load)
        sent = await send_to_cold_target(1, spreads_cold_rate=True, **load)
        assert len(sent) == len(before)

    virtual.run(scenario)


# Free slots do not end any request, so the rate of ends says nothing of turns.
@pytest.mark.parametrize(('entries', 'rate_rps'), [(38, 3.2), (98, 1.5)])
def test_requests_that_wait_for_a_turn_are_not_refused(entries, rate_rps):
    async def scenario():
        load = Load(
            targets=64,
            slots=5,
            service_s=2.0,
            entries=entries,
            position=lambda: 3,
        )
        sends = []
        for _request in range(int(rate_rps * 20)):
            changes = {'cold_rps': 26.0, 'spreads_cold_rate': True}
            sent = load.send(on_time_ms=300.0, **changes)
            sends.append(asyncio.ensure_future(sent))
            await asyncio.sleep(load.generator.expovariate(rate_rps))
        await asyncio.gather(*sends)
        assert not load.refused
        on_time = [one for one in load.started if one[1] <= 300]
        assert len(on_time) >= 0.9 * len(load.started)

    virtual.run(scenario)


def test_failed_target_is_avoided_until_its_backoff_ends():
    async def scenario():
        load = Load(targets=2, slots=3)
        load.loads.note_failure('t0', is_unreachable=True)
        for _number in range(3):
            place = await load.admission.admit(load.demand(wait_ms=0))
            assert place.target == 't1'
        await asyncio.sleep(0.6)
        place = await load.admission.admit(load.demand(wait_ms=0))
        assert place.target == 't0'

    virtual.run(scenario)


def test_cancelled_waiter_does_not_occupy_a_slot():
    async def scenario():
        load = Load(targets=1, slots=1, service_s=0.3)
        first = asyncio.ensure_future(load.send())
        await asyncio.sleep(0.01)
        second = asyncio.ensure_future(load.send())
        third = asyncio.ensure_future(load.send())
        await asyncio.sleep(0.01)
        second.cancel()
        await asyncio.wait([first, second, third])
        assert len(load.started) == 2
        assert load.admission.waiting(SERVICE) == 0
        assert load.loads.own_requests('t0') == 0

    virtual.run(scenario)


def test_requests_wait_for_targets_that_may_soon_be_tried_again():
    async def scenario():
        load = Load(targets=1, slots=3)
        load.loads.avoid('t0', 300)
        await asyncio.gather(*(load.send() for _number in range(8)))
        assert len(load.started) == 3
        assert len(load.refused) == 5
        assert all(waited_ms < 1 for _at, waited_ms, _why in load.refused)

    virtual.run(scenario)


def test_queue_of_a_service_without_targets_is_short():
    async def scenario():
        load = Load(targets=1, slots=3)
        gone, load.records[:] = list(load.records), []
        sends = [asyncio.ensure_future(load.send()) for _number in range(20)]
        await asyncio.sleep(0.8)
        assert len(load.refused) == 12
        returns_ms = [one[2].retry_after_ms for one in load.refused]
        assert min(returns_ms) >= 1000
        load.records.extend(gone)
        load.admission.recheck_queues()
        await asyncio.gather(*sends)
        assert len(load.started) >= 3

    virtual.run(scenario)


def test_target_with_cleared_failures_is_used_at_once():
    async def scenario():
        load = Load(targets=1, slots=3)
        load.loads.avoid('t0', 800)
        sending = asyncio.ensure_future(load.send())
        await asyncio.sleep(0.1)
        load.loads.clear_failures('t0')
        load.admission.recheck_queues()
        await sending
        assert [round(one[1]) for one in load.started] == [100]

    virtual.run(scenario)


def test_request_excluded_from_every_target_is_refused_at_once():
    async def scenario():
        load = Load(targets=2, slots=3)
        excluded = frozenset(('t0', 't1'))
        began_ms = load.clock.now_ms()
        place = await load.admission.admit(load.demand(excluded=excluded))
        assert isinstance(place, forwarding.Refusal)
        assert load.clock.now_ms() == began_ms

    virtual.run(scenario)


def test_resent_request_starts_before_waiting_ones():
    async def scenario():
        load = Load(targets=1, slots=1, service_s=0.2)
        order = []

        async def send(name, **changes):
            await load.send(**changes)
            order.append(name)

        await asyncio.gather(
            send('running'),
            send('waiting', priority=0),
            send('resent', priority=2, may_have_run=True),
        )
        assert order == ['running', 'resent', 'waiting']

    virtual.run(scenario)


def test_waiter_excluded_from_a_free_target_does_not_block_others():
    async def scenario():
        load = Load(targets=2, slots=1, service_s=0.2)
        first = load.records[0].target
        second = load.records[1].target
        load.loads.note_start(first)
        load.loads.note_start(second)
        sends = [
            asyncio.ensure_future(
                load.send(may_have_run=True, excluded=frozenset({first})),
            ),
            asyncio.ensure_future(load.send()),
        ]
        await asyncio.sleep(0.01)
        load.loads.note_end(first)
        load.admission.recheck_queues()
        await asyncio.sleep(0.01)
        assert [one[2] for one in load.started] == [first]
        load.loads.note_end(second)
        load.admission.recheck_queues()
        await asyncio.gather(*sends)
        assert [one[2] for one in load.started] == [first, second]

    virtual.run(scenario)


def test_slot_found_at_the_last_recheck_is_not_leaked():
    async def scenario():
        load = Load(targets=1, slots=1)
        target = load.records[0].target
        load.loads.store_report(target, 1, valid_ms=120)
        place = await load.admission.admit(load.demand(wait_ms=149))
        if not isinstance(place, forwarding.Refusal):
            load.admission.release(place)
        assert load.loads.own_requests(target) == 0

    virtual.run(scenario)
