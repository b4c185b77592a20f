"""Guards against prompts that crash one engine after the other."""

import asyncio
import itertools
import random

import pytest

from carobslip import identifiers, verdicts
from tests.fakes import crash_news, crashing_engines, virtual
from tests.fakes import forwarding as fakes

#: Stated bounds: sends with a part that crashes engines, later than
#: ``CONTACT_S`` after the fifth crash.
CONTACT_S = 3.0
CRASHES_MAX = 5
LATE_SENDS_MAX = 3
RATE_RPS = 30
FIRST = identifiers.PromptPart('first')
DEADLY = identifiers.PromptPart('deadly')
OTHER_DEADLY = identifiers.PromptPart('other-deadly')
SESSIONS = [identifiers.PromptPart(f's{number}') for number in range(60)]
BEGIN_S = 4.0
END_S = 26.0
DAY_S = 34.0
#: Events of an answer after which its engine crashes.
EVENTS_BEFORE_CRASH = (0, 1, 2, 7, 15)


class Day:
    """Requests of a day at a fleet of entries, and what callers get."""

    def __init__(
        self, *, seed, deadly=(DEADLY,), share=0.03, entries=7, events=0
    ):
        self.random = random.Random(seed)
        self.deadly = deadly
        self.share = share
        self.world = crashing_engines.World(deadly, seed=seed, events=events)
        self.news = crash_news.News(seed)
        self.ids = itertools.count()
        self.outcomes = []
        self.kept = set()
        for _ in range(entries):
            self.add_entry()
        self.world.publish()

    def add_entry(self):
        entry = fakes.Entry(held=fakes.table(), port=self.world)
        self.news.add(f'entry-{len(self.world.entries)}', entry)
        self.world.entries.append(entry)

    def restart(self, number):
        """Replaces an entry by one that knows nothing."""
        entry = fakes.Entry(held=fakes.table(), port=self.world)
        self.news.add(f'entry-{number}', entry)
        self.world.entries[number] = entry
        self.world.publish()

    async def play(self):
        while self.world.now_s() < DAY_S:
            await asyncio.sleep(self.random.expovariate(RATE_RPS))
            task = asyncio.ensure_future(self.ask(self.draw_parts()))
            self.kept.add(task)
            task.add_done_callback(self.kept.discard)
        await asyncio.gather(*self.kept)
        await self.world.close()
        await self.news.close()

    def draw_parts(self):
        is_time = BEGIN_S <= self.world.now_s() < END_S
        if is_time and self.random.random() < self.share:
            return FIRST, self.random.choice(self.deadly)
        if self.random.random() < 0.2:
            return (FIRST,)
        return (self.random.choice(SESSIONS),)

    async def ask(self, parts):
        """Sends a request and, after a failure, once more as callers do."""
        begun_s = self.world.now_s()
        attempts = []
        for _ in range(2):
            request = identifiers.RequestId(f'r{next(self.ids)}')
            attempts.append(request)
            entry = self.random.choice(self.world.entries)
            entry.holder.confirm(entry.clock.now_ms())
            outcome, _caller = await entry.send(
                '/note/x',
                request_id=request,
                shared_parts=parts,
            )
            if outcome.verdict is verdicts.Verdict.RAN:
                break
            wait_ms = min(outcome.retry_after_ms or 100, 2000)
            await asyncio.sleep(wait_ms / 1000)
        self.outcomes.append((begun_s, parts, outcome, attempts))

    def late_sends(self):
        """Returns the sends that the stated bound limits to three."""
        crashes_s = self.world.crashes_s
        if len(crashes_s) < CRASHES_MAX:
            return []
        known_s = crashes_s[CRASHES_MAX - 1] + CONTACT_S
        return [
            sent_s for sent_s in self.world.deadly_sends_s if sent_s > known_s
        ]

    def begun_at_first_attempt(self, begin_s, end_s, parts=(FIRST,)):
        """Returns the share of sound requests that began at once."""
        sound = [
            attempts[0] in self.world.begun
            for begun_s, asked, _outcome, attempts in self.outcomes
            if begin_s <= begun_s < end_s and asked == parts
        ]
        return sum(sound) / len(sound) if sound else None


def play(**named):
    async def scenario():
        day = Day(**named)
        await day.play()
        return day

    return virtual.run(scenario)


@pytest.mark.parametrize('events', EVENTS_BEFORE_CRASH)
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_prompt_part_that_crashed_engines_is_not_sent_on(seed, events):
    day = play(seed=seed, events=events)
    assert len(day.late_sends()) <= LATE_SENDS_MAX


@pytest.mark.parametrize('events', EVENTS_BEFORE_CRASH)
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_sound_requests_are_served_while_crashing_ones_still_come(seed, events):
    day = play(seed=seed, events=events)
    known = day.world.crashes_s[:CRASHES_MAX]
    before = day.begun_at_first_attempt(0, BEGIN_S)
    beside = day.begun_at_first_attempt(known[-1] + 2 * CONTACT_S, END_S)
    assert beside is not None
    assert beside >= before / 2


# name: changes of the day
DAYS = {
    'two parts that crash': {'deadly': (DEADLY, OTHER_DEADLY), 'share': 0.06},
    'part in most requests': {'share': 0.7},
    'rare part': {'share': 0.01},
    'many entries': {'entries': 39},
}


@pytest.mark.parametrize('name', DAYS)
def test_crashes_end_whatever_the_share_of_the_part(name):
    day = play(seed=4, **DAYS[name])
    assert len(day.late_sends()) <= LATE_SENDS_MAX * len(day.world.deadly)
    assert day.begun_at_first_attempt(22, END_S) >= 0.5


def test_restarted_entries_remember_parts_that_crashed_engines():
    async def scenario():
        day = Day(seed=5)
        playing = asyncio.ensure_future(day.play())
        for number in range(len(day.world.entries)):
            await asyncio.sleep(12 if number == 0 else 1)
            day.restart(number)
        await playing
        return day

    assert len(virtual.run(scenario).late_sends()) <= LATE_SENDS_MAX


def test_entries_that_were_cut_off_during_the_crashes_learn_of_them():
    async def scenario():
        day = Day(seed=6)
        playing = asyncio.ensure_future(day.play())
        others = [f'entry-{number}' for number in range(6)]
        for other in others:
            day.news.network.cut('entry-6', other)
        await asyncio.sleep(15)
        day.news.network.heal()
        await asyncio.sleep(CONTACT_S)
        assert day.world.entries[6].ledger.causes
        await playing
        return day

    virtual.run(scenario)


def test_engines_that_fail_together_accuse_no_part():
    async def scenario():
        day = Day(seed=7, share=0.0)
        playing = asyncio.ensure_future(day.play())
        await asyncio.sleep(8)
        day.world.crash_share(0.7)
        await playing
        return day

    day = virtual.run(scenario)
    assert not any(entry.ledger.causes for entry in day.world.entries)
    assert day.begun_at_first_attempt(16, 30) >= 0.9


def test_engines_that_go_down_by_turns_accuse_no_part():
    async def scenario():
        day = Day(seed=8, share=0.0)
        playing = asyncio.ensure_future(day.play())
        for _ in range(10):
            await asyncio.sleep(2.5)
            day.world.crash_share(0.1)
        await playing
        return day

    day = virtual.run(scenario)
    convicted = {
        part
        for entry in day.world.entries
        for cause in entry.ledger.causes
        for part in cause.parts
    }
    assert FIRST not in convicted
    assert len(convicted) <= len(SESSIONS) / 20
