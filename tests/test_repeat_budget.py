"""Guards against more repeats than operators allow, over all entries.

Arrivals are counted at the targets, independently of the entries' own counts,
in every window. Targets fail or reject for one and a half windows, while
entries are killed, restarted, removed, or partitioned from each other.
"""

import asyncio
import bisect
import collections
import contextlib
import random

import pytest

from carobslip import forwarding, guard, identifiers
from tests.fakes import forwarding as fakes
from tests.fakes import virtual

ENTRIES = 13
RATE_RPS = 75
RATIO = 0.2
EXTRA = 20
WINDOW_S = 10.0
FAULT_BEGIN_S = 15.0
FAULT_END_S = 30.0
END_S = 36.0
#: Time for which a process that has just started knows only itself.
ISOLATED_S = 2.0


class Targets:
    """Counts arrivals; most of them fail during the fault."""

    def __init__(self, fault):
        self.fault = fault
        self.random = random.Random(7)
        self.arrivals = []

    @contextlib.asynccontextmanager
    async def call(self, call):
        await asyncio.sleep(0.005)
        now_s = asyncio.get_running_loop().time()
        is_faulty = FAULT_BEGIN_S <= now_s < FAULT_END_S
        fails = is_faulty and self.random.random() < 0.8
        is_reached = self.random.random() < 0.5
        if fails and self.fault == 'unreachable or lost' and not is_reached:
            raise guard.TargetNotReached('refused')
        self.arrivals.append((now_s, call.request.request_id))
        if fails and self.fault == 'rejected':
            yield fakes.FakeAnswer(status=503, has_not_run=True)
        elif fails:
            raise guard.TargetLost('reset')
        else:
            yield fakes.FakeAnswer()


class Fleet:
    """Entries that share the targets and the bound on repeats."""

    def __init__(self, fault):
        self.targets = Targets(fault)
        self.random = random.Random(3)
        self.requests_s = []
        self.tasks = collections.defaultdict(set)
        self.receiving = list(range(ENTRIES))
        self.visible_entries = lambda _number: list(self.receiving)
        self.entries = {}
        self.started_s = {}
        for number in range(ENTRIES):
            self.start(number)

    def start(self, number):
        """Starts an entry; kills it first if it is running."""
        for task in self.tasks.pop(number, ()):
            task.cancel()
        entry = fakes.Entry(held=fakes.table(), count=20, slots=40, age_s=0)
        entry.port.call = self.targets.call
        entry.known = lambda: self.visible_to(number)
        self.started_s[number] = asyncio.get_running_loop().time()
        self.entries[number] = entry

    def visible_to(self, number):
        age_s = asyncio.get_running_loop().time() - self.started_s[number]
        if self.started_s[number] and age_s < ISOLATED_S:
            return [number]
        return self.visible_entries(number)

    async def run(self):
        while asyncio.get_running_loop().time() < END_S:
            number = self.random.choice(self.receiving)
            now_s = asyncio.get_running_loop().time()
            name = f'r{len(self.requests_s)}'
            self.requests_s.append(now_s)
            task = asyncio.ensure_future(
                self.entries[number].send(
                    '/open/x',
                    request_id=identifiers.RequestId(name),
                    patience_ms=4000,
                ),
            )
            self.tasks[number].add(task)
            await asyncio.sleep(self.random.expovariate(RATE_RPS))
        rest = [one for tasks in self.tasks.values() for one in tasks]
        await asyncio.gather(*rest, return_exceptions=True)

    def repeats_s(self):
        """Returns the times of all arrivals beyond the first of a request."""
        seen = set()
        times_s = []
        for now_s, request in sorted(self.targets.arrivals):
            if request in seen:
                times_s.append(now_s)
            seen.add(request)
        return times_s

    def requests_within(self, begin_s):
        return bisect.bisect_left(
            self.requests_s,
            begin_s + WINDOW_S,
        ) - bisect.bisect_left(self.requests_s, begin_s)

    def most_used(self):
        """Returns the largest part of the bound used in any window."""
        repeats_s = self.repeats_s()
        parts = [0.0]
        for place, begin_s in enumerate(repeats_s):
            end = bisect.bisect_left(repeats_s, begin_s + WINDOW_S)
            requests = max(
                self.requests_within(begin_s - before_s)
                for before_s in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            parts.append((end - place) / (RATIO * requests + EXTRA))
        return max(parts)


def restart_all(fleet):
    for number in range(ENTRIES):
        fleet.start(number)


def remove_half(fleet):
    fleet.receiving = fleet.receiving[: ENTRIES // 2]


def restore_half(fleet):
    fleet.receiving = list(range(ENTRIES))
    for number in range(ENTRIES // 2, ENTRIES):
        fleet.start(number)


def partition_all(fleet):
    fleet.visible_entries = lambda number: [number]


def restart_one(number):
    return lambda fleet: fleet.start(number)


# name: actions by their time in seconds
SCENARIOS = {
    'entries are unaffected': {},
    'all restart': {20.0: restart_all},
    'all restart late': {24.5: restart_all},
    'all restart twice': {19.0: restart_all, 23.0: restart_all},
    'one restarts after the other': {
        15.0 + number: restart_one(number) for number in range(ENTRIES)
    },
    'half of them are removed': {20.0: remove_half},
    'half of them are removed and return': {
        18.0: remove_half,
        22.0: restore_half,
    },
    'all are partitioned from each other': {20.0: partition_all},
}


async def run_fleet(fault, scenario):
    fleet = Fleet(fault)
    for time_s, action in SCENARIOS[scenario].items():
        asyncio.get_running_loop().call_later(time_s, action, fleet)
    await fleet.run()
    return fleet


@pytest.mark.parametrize('scenario', SCENARIOS)
@pytest.mark.parametrize('fault', ['lost', 'rejected', 'unreachable or lost'])
def test_repeats_of_all_entries_stay_within_the_bound(fault, scenario):
    fleet = virtual.run(lambda: run_fleet(fault, scenario))
    used = fleet.most_used()
    print('part of the bound that was used', round(used, 2))
    assert used <= 1


def test_at_least_half_of_the_bound_can_be_used():
    fleet = virtual.run(lambda: run_fleet('rejected', 'entries are unaffected'))
    assert fleet.most_used() >= 0.5


def test_started_process_gets_only_a_reduced_share_of_the_bound():
    async def scenario():
        entry = fakes.Entry(['lost'] * 400, held=fakes.table(), age_s=0)
        for _number in range(100):
            entry.loads.drop_unlisted(())
            await entry.send('/look/x')
        repeats = len(entry.port.calls) - 100
        assert 0 < repeats <= 0.3 * 100 * 0.2

    virtual.run(scenario)


def test_window_of_a_repeat_starts_at_its_arrival():
    async def scenario():
        entry = fakes.Entry(held=fakes.table())
        budget = entry.budget
        budget.bounds = forwarding.RepeatBounds(ratio=0, extra=2, window_s=10)
        pending = fakes.pending_request()
        pending.arrivals = 1
        assert budget.reserve(pending)
        assert not budget.allows_repeat(pending.service)
        await asyncio.sleep(4)
        budget.note_arrival(pending)
        await asyncio.sleep(7)
        assert not budget.allows_repeat(pending.service)
        await asyncio.sleep(4)
        assert budget.allows_repeat(pending.service)

    virtual.run(scenario)


def test_reservations_of_requests_not_sent_again_are_released():
    async def scenario():
        script = [fakes.broken_events(1) for _number in range(30)]
        entry = fakes.Entry(script, held=fakes.table(), count=1, slots=40)
        await asyncio.gather(
            *(
                entry.send('/note/x', request_id=f'r{number}')
                for number in range(30)
            ),
        )
        assert len(entry.port.calls) == 30
        assert len(entry.budget._repeats[fakes.SERVICE]) == 0

    virtual.run(scenario)
