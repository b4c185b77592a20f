"""Guards against more requests than a target has named as its limit.

The load is that of a fleet whose entries together send a target about twice as
many requests as it takes, while other targets have room.
"""

import asyncio
import collections
import contextlib
import random

import pytest

from carobslip import identifiers, targets, verdicts
from tests.fakes import crash_news, virtual
from tests.fakes import forwarding as fakes

SERVICE_S = 0.6
CONNECT_S = 0.002
#: Stated bound: in each window, so much of the named rate and so many requests
#: on top, from entries that were told for some time, once the target has named
#: it for ``CONTACT_S``.
WINDOW_S = 4.0
FACTOR = 1.5
EXTRA = 5
TOLD_S = 0.5
CONTACT_S = 3.0
LIMITED_S = 5.0
LIFTED_S = 25.0
END_S = 32.0


class Targets:
    """Targets of which some name a rate while they are in need."""

    def __init__(self, *, count, limited, rate_rps):
        self.records = [
            fakes.record(f't{number}', fakes.SERVICE, slots=6)
            for number in range(count)
        ]
        self.limited = {record.target for record in self.records[:limited]}
        self.rate_rps = rate_rps
        self.arrivals = collections.defaultdict(list)
        self.told_s = {}

    def now_s(self):
        return asyncio.get_running_loop().time()

    def names_limit(self, target):
        return target in self.limited and LIMITED_S <= self.now_s() < LIFTED_S

    async def is_gone(self, _record):
        return False

    @contextlib.asynccontextmanager
    async def call(self, call, entry):
        await asyncio.sleep(CONNECT_S)
        target = call.target
        self.arrivals[target].append((self.now_s(), entry))
        is_limited = self.names_limit(target)
        answer = fakes.events_with_pauses(1, SERVICE_S, 2)
        if is_limited:
            answer.rate_limits = (f'{self.rate_rps}',)
            self.told_s.setdefault((target, entry), self.now_s())
        yield answer

    def excess(self, target):
        """Returns the largest excess over the bound in any window."""
        arrived = [
            at_s
            for at_s, entry in self.arrivals[target]
            if LIMITED_S + CONTACT_S <= at_s < LIFTED_S
            and at_s - self.told_s.get((target, entry), at_s) >= TOLD_S
        ]
        allowed = FACTOR * self.rate_rps * WINDOW_S + EXTRA
        return max(
            (
                sum(at_s <= other < at_s + WINDOW_S for other in arrived)
                - allowed
                for at_s in arrived
            ),
            default=-allowed,
        )


class Port:
    """The port of one entry."""

    def __init__(self, world, name):
        self._world = world
        self._name = name

    def call(self, call):
        return self._world.call(call, self._name)

    async def is_gone(self, record):
        return await self._world.is_gone(record)


class Fleet:
    def __init__(
        self,
        *,
        entries=7,
        count=16,
        limited=11,
        rate_rps=1.2,
        load_rps=37,
        seed=1,
    ):
        self.random = random.Random(seed)
        self.load_rps = load_rps
        self.world = Targets(count=count, limited=limited, rate_rps=rate_rps)
        self.news = crash_news.News(seed)
        self.entries = [self.new_entry(number) for number in range(entries)]
        for entry in self.entries:
            entry.entries = entries
        self.outcomes = []
        self.kept = set()

    def new_entry(self, number):
        name = f'entry-{number}'
        entry = fakes.Entry(
            held=fakes.table(), port=Port(self.world, name), count=0
        )
        entry.book.apply(
            targets.TargetSnapshot(
                records=tuple(self.world.records), revision=2
            )
        )
        self.news.add(name, entry)
        return entry

    async def play(self):
        while self.world.now_s() < END_S:
            await asyncio.sleep(self.random.expovariate(self.load_rps))
            task = asyncio.ensure_future(self.ask())
            self.kept.add(task)
            task.add_done_callback(self.kept.discard)
        await asyncio.gather(*self.kept)
        await self.news.close()

    async def ask(self):
        entry = self.random.choice(self.entries)
        entry.holder.confirm(entry.clock.now_ms())
        asked_s = self.world.now_s()
        outcome, _caller = await entry.send(
            '/note/x',
            request_id=identifiers.RequestId(f'r{len(self.outcomes)}'),
        )
        self.outcomes.append((asked_s, outcome))

    def served(self):
        ran = [
            outcome.verdict is verdicts.Verdict.RAN
            for _asked_s, outcome in self.outcomes
        ]
        return sum(ran) / len(ran)


def play(**named):
    async def scenario():
        fleet = Fleet(**named)
        await fleet.play()
        return fleet

    return virtual.run(scenario)


# name: the fleet and its load
FLEETS = {
    '7 entries': {},
    '7 entries, low limit': {'rate_rps': 0.3},
    '7 entries, zero': {'rate_rps': 0},
    '7 entries, one target': {'limited': 1, 'rate_rps': 1},
    '39 entries': {
        'entries': 39,
        'count': 64,
        'limited': 44,
        'load_rps': 150,
        'rate_rps': 1,
    },
    '98 entries': {
        'entries': 98,
        'count': 24,
        'limited': 12,
        'load_rps': 70,
        'rate_rps': 1.5,
    },
}


@pytest.mark.parametrize('name', FLEETS)
def test_target_gets_no_more_requests_than_it_has_named(name):
    fleet = play(**FLEETS[name])
    excess = {
        target: fleet.world.excess(target) for target in fleet.world.limited
    }
    assert max(excess.values()) <= 0, excess
    assert fleet.served() >= served_without_limited(**FLEETS[name])


def served_without_limited(*, count=16, limited=11, **named):
    """Returns the share that is served by the other targets alone."""
    return play(count=count - limited, limited=0, **named).served()


def test_requests_go_to_limited_targets_at_their_rate():
    fleet = play(limited=16, rate_rps=1.2, load_rps=37)
    arrived = [
        at_s
        for moments in fleet.world.arrivals.values()
        for at_s, _entry in moments
        if 10 <= at_s < 20
    ]
    assert len(arrived) >= 0.9 * 16 * 1.2 * 10


def test_restarted_entries_do_not_exceed_the_rate():
    async def scenario():
        fleet = Fleet(limited=3, rate_rps=1, load_rps=37)
        playing = asyncio.ensure_future(fleet.play())
        for number in range(7):
            await asyncio.sleep(8 if number == 0 else 1)
            fleet.entries[number] = fleet.new_entry(number)
            fleet.entries[number].entries = 7
        await playing
        return fleet

    fleet = virtual.run(scenario)
    assert max(map(fleet.world.excess, fleet.world.limited)) <= 0


def test_rate_that_changes_is_followed():
    async def scenario():
        fleet = Fleet(limited=3, rate_rps=4, load_rps=60)
        playing = asyncio.ensure_future(fleet.play())
        await asyncio.sleep(12)
        fleet.world.rate_rps = 1
        fleet.world.told_s.clear()
        await asyncio.sleep(CONTACT_S)
        for arrived in fleet.world.arrivals.values():
            arrived.clear()
        await playing
        return fleet

    fleet = virtual.run(scenario)
    assert max(map(fleet.world.excess, fleet.world.limited)) <= 0


def test_end_of_a_limit_is_followed_without_a_rush():
    fleet = play(limited=3, rate_rps=1, load_rps=60)
    for target in fleet.world.limited:
        arrived = [at_s for at_s, _entry in fleet.world.arrivals[target]]
        after = [at_s for at_s in arrived if at_s >= LIFTED_S]
        fair = fleet.load_rps / len(fleet.world.records)
        first = sum(at_s < LIFTED_S + 1 for at_s in after)
        assert first <= 6 + fair / SERVICE_S
        assert sum(at_s >= LIFTED_S + 4 for at_s in after) >= fair
