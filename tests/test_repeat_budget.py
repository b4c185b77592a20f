"""Targets get no more repeats than operators allow, over all entries.

Arrivals are counted at the targets, whatever entries believe, in every window.
The load: targets that fail or reject for as long as one and a half windows,
while entries are killed, restarted, leave, or lose sight of each other.
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
#: A process that has just started knows only itself for so long.
ALONE_S = 2.0


class Targets:
    """Counts arrivals; during the fault most of them fail."""

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
        self.sends = collections.defaultdict(set)
        self.taking = list(range(ENTRIES))
        self.view = lambda _number: list(self.taking)
        self.entries = {}
        self.started_s = {}
        for number in range(ENTRIES):
            self.start(number)

    def start(self, number):
        """Starts an entry, or kills it and starts it anew."""
        for sending in self.sends.pop(number, ()):
            sending.cancel()
        entry = fakes.Entry(held=fakes.table(), count=20, slots=40, age_s=0)
        entry.port.call = self.targets.call
        entry.known = lambda: self.known_to(number)
        self.started_s[number] = asyncio.get_running_loop().time()
        self.entries[number] = entry

    def known_to(self, number):
        age_s = asyncio.get_running_loop().time() - self.started_s[number]
        if self.started_s[number] and age_s < ALONE_S:
            return [number]
        return self.view(number)

    async def play(self):
        while asyncio.get_running_loop().time() < END_S:
            number = self.random.choice(self.taking)
            now_s = asyncio.get_running_loop().time()
            name = f'r{len(self.requests_s)}'
            self.requests_s.append(now_s)
            sending = asyncio.ensure_future(
                self.entries[number].send(
                    '/open/x',
                    request_id=identifiers.RequestId(name),
                    patience_ms=4000,
                ),
            )
            self.sends[number].add(sending)
            await asyncio.sleep(self.random.expovariate(RATE_RPS))
        rest = [one for sends in self.sends.values() for one in sends]
        await asyncio.gather(*rest, return_exceptions=True)

    def repeats_s(self):
        """Returns when targets got arrivals beyond the first of a request."""
        seen = set()
        moments_s = []
        for now_s, request in sorted(self.targets.arrivals):
            if request in seen:
                moments_s.append(now_s)
            seen.add(request)
        return moments_s

    def requests_within(self, begin_s):
        return bisect.bisect_left(
            self.requests_s,
            begin_s + WINDOW_S,
        ) - bisect.bisect_left(self.requests_s, begin_s)

    def most_used(self):
        """Returns the greatest part of the bound that a window used."""
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


def half_leaves(fleet):
    fleet.taking = fleet.taking[: ENTRIES // 2]


def half_returns(fleet):
    fleet.taking = list(range(ENTRIES))
    for number in range(ENTRIES // 2, ENTRIES):
        fleet.start(number)


def lose_sight(fleet):
    fleet.view = lambda number: [number]


def restart_one(number):
    return lambda fleet: fleet.start(number)


# name: what happens when, in seconds
STORIES = {
    'nothing else': {},
    'all restart': {20.0: restart_all},
    'all restart late': {24.5: restart_all},
    'all restart twice': {19.0: restart_all, 23.0: restart_all},
    'one restarts after the other': {
        15.0 + number: restart_one(number) for number in range(ENTRIES)
    },
    'half of them leave': {20.0: half_leaves},
    'half of them leave and return': {18.0: half_leaves, 22.0: half_returns},
    'all lose sight of each other': {20.0: lose_sight},
}


async def played(fault, story):
    fleet = Fleet(fault)
    for moment_s, happens in STORIES[story].items():
        asyncio.get_running_loop().call_later(moment_s, happens, fleet)
    await fleet.play()
    return fleet


@pytest.mark.parametrize('story', STORIES)
@pytest.mark.parametrize('fault', ['lost', 'rejected', 'unreachable or lost'])
def test_repeats_of_all_entries_stay_within_the_bound(fault, story):
    fleet = virtual.play(lambda: played(fault, story))
    used = fleet.most_used()
    print('part of the bound that was used', round(used, 2))
    assert used <= 1


def test_most_of_the_bound_may_be_used():
    fleet = virtual.play(lambda: played('rejected', 'nothing else'))
    assert fleet.most_used() >= 0.5


def test_process_that_has_just_started_repeats_little():
    async def story():
        entry = fakes.Entry(['lost'] * 400, held=fakes.table(), age_s=0)
        for _number in range(100):
            entry.loads.forget_missing(())
            await entry.send('/look/x')
        repeats = len(entry.port.calls) - 100
        assert 0 < repeats <= 0.3 * 100 * 0.2

    virtual.play(story)


def test_repeat_counts_from_its_arrival():
    async def story():
        entry = fakes.Entry(held=fakes.table())
        budget = entry.budget
        budget.bounds = forwarding.RepeatBounds(ratio=0, extra=2, window_s=10)
        work = fakes.work()
        work.arrivals = 1
        assert budget.pay(work)
        assert not budget.has_room(work.service)
        await asyncio.sleep(4)
        budget.note_arrival(work)
        await asyncio.sleep(7)
        assert not budget.has_room(work.service)
        await asyncio.sleep(4)
        assert budget.has_room(work.service)

    virtual.play(story)


def test_requests_that_are_not_sent_again_leave_room_for_others():
    async def story():
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

    virtual.play(story)
