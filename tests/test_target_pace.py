"""Requests of cold, started and recovered targets, in virtual time."""

import collections
import random

import pytest

from carobslip import observability, slotbroker
from tests.fakes import forwarding as fakes

SERVICE = fakes.SERVICE
COLD_RPS = 26.0
STEP_MS = 5
OTHERS_EVENT_MS = 150.0


class Clock:
    ms = 0.0

    def now_ms(self):
        return self.ms

    def wall_ms(self):
        return int(self.ms)


class Log:
    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))


def new_pace(clock, *, cold_rps=COLD_RPS, log=None):
    return slotbroker.TargetPace(
        cold_rps=lambda _service: cold_rps,
        clock=clock,
        log=log or Log(),
        metrics=observability.NoMetrics(),
    )


class OneRate:
    """The behaviour without `TargetPace`: one rate, then all slots."""

    def __init__(self, clock):
        self.clock = clock
        self.starts = collections.defaultdict(list)

    def allows(self, record):
        oldest_ms = self.clock.ms - 1000
        starts = [at for at in self.starts[record.target] if at >= oldest_ms]
        return len(starts) < int(0.8 * COLD_RPS)

    def note_start(self, record):
        self.starts[record.target].append(self.clock.ms)

    def note_outcome(self, outcome):
        """Has no feedback."""


class Engine:
    """A target that bears few requests at once until it is warm.

    Beyond what it bears, its answers get slower; at ``crash_at`` requests it
    ends, and starts again a second later under the same identifier.
    """

    def __init__(self, name, *, warm_ms=0.0, bears=5, crash_at=99):
        self.name, self.bears, self.crash_at = name, bears, crash_at
        self.cold_ms = self.warm_ms = warm_ms
        self.down_until_ms = 0.0
        self.wall_ms = 1
        self.running = []
        self.starts = []

    @property
    def record(self):
        return fakes.record(
            self.name, SERVICE, slots=5, started_wall_ms=self.wall_ms
        )

    def restart(self, now_ms, down_ms):
        self.down_until_ms = now_ms + down_ms
        self.warm_ms = self.down_until_ms + self.cold_ms
        self.wall_ms += 1
        self.running = []


class Play:
    """Sends requests to engines through a pace, as a broker does."""

    def __init__(self, engines, *, is_paced=True, seed=1, took_ms=2000.0):
        self.clock = Clock()
        self.log = Log()
        self.engines = engines
        self.pace = OneRate(self.clock)
        if is_paced:
            self.pace = new_pace(self.clock, log=self.log)
        self.random = random.Random(seed)
        self.took_ms = took_ms
        self.queue = collections.deque()
        self.refused = self.crashes = self.failed = 0
        self.served = collections.Counter()
        self.late = collections.Counter()

    def run(self, *, rps, until_ms):
        while self.clock.ms < until_ms:
            self.clock.ms += STEP_MS
            arrivals = rps * STEP_MS / 1000
            while self.random.random() < arrivals:
                self.queue.append(self.clock.ms)
                arrivals -= 1
            for engine in self.engines:
                self._end(engine)
            while self.queue and self._start():
                self.queue.popleft()
            while self.queue and self.queue[0] < self.clock.ms - 1200:
                self.queue.popleft()
                self.refused += 1
        return self

    def report(self, engine, result, first_ms, took_ms):
        self.pace.note_outcome(
            slotbroker.SlotOutcome(
                lease='l',
                target=engine.name,
                result=result,
                took_ms=took_ms,
                first_event_ms=first_ms,
            )
        )

    def _start(self):
        usable = [
            engine
            for engine in self.engines
            if self.clock.ms >= engine.down_until_ms
            and len(engine.running) < 5
            and self.pace.allows(engine.record)
        ]
        if not usable:
            return False
        engine = min(usable, key=lambda one: len(one.running))
        self.pace.note_start(engine.record)
        now_ms = self.clock.ms
        engine.starts.append(now_ms)
        excess = 0
        if now_ms < engine.warm_ms:
            excess = max(0, len(engine.running) + 1 - engine.bears)
        first_ms = OTHERS_EVENT_MS * self.random.uniform(0.7, 1.3)
        first_ms *= 1 + 2 * excess
        took_ms = first_ms + self.took_ms * self.random.uniform(0.5, 1.5)
        engine.running.append((now_ms + took_ms, now_ms, first_ms))
        if len(engine.running) >= engine.crash_at and now_ms < engine.warm_ms:
            self._crash(engine)
        return True

    def _end(self, engine):
        ended = [one for one in engine.running if one[0] <= self.clock.ms]
        for one in ended:
            engine.running.remove(one)
            self.served[engine.name] += 1
            self.late[engine.name] += one[2] > 400
            self.report(
                engine,
                slotbroker.SlotResult.SERVED,
                one[2],
                self.clock.ms - one[1],
            )

    def _crash(self, engine):
        self.crashes += 1
        for one in engine.running:
            self.failed += 1
            took_ms = self.clock.ms - one[1]
            self.report(engine, slotbroker.SlotResult.FAILED, None, took_ms)
        engine.restart(self.clock.ms, down_ms=1000)


def warm(count):
    return [Engine(f'warm-{number}') for number in range(count)]


def start_all(pace, record):
    """Starts as many requests as are allowed now, and returns how many."""
    started = 0
    while pace.allows(record):
        pace.note_start(record)
        started += 1
    return started


def most_in_a_second(starts):
    return max(
        sum(first <= at < first + 1000 for at in starts) for first in starts
    )


def with_new_target(new, *, is_paced, rps=60, until_ms=9000, seed=1):
    play = Play(warm(15), is_paced=is_paced, seed=seed)
    play.run(rps=34, until_ms=3000)
    play.engines.append(new)
    return play.run(rps=rps, until_ms=until_ms)


# Without a limit, a target that bears two requests gets five at once.
def test_new_target_that_bears_little_does_not_answer_late():
    late = collections.Counter()
    served = collections.Counter()
    for seed in range(5):
        for is_paced in (False, True):
            new = Engine('new', warm_ms=99_000, bears=2)
            play = with_new_target(
                new, is_paced=is_paced, until_ms=12_000, seed=seed
            )
            late[is_paced] += play.late['new']
            served[is_paced] += play.served['new']
    assert late[False] > 0.75 * served[False]
    assert late[True] < 0.5 * late[False]
    assert served[True] > 0.6 * served[False]


def test_new_target_is_not_crashed_by_a_flood_again_and_again():
    crashes = collections.Counter()
    for seed in range(5):
        for is_paced in (False, True):
            new = Engine('new', warm_ms=8000, bears=2, crash_at=4)
            play = with_new_target(
                new, is_paced=is_paced, until_ms=15_000, seed=seed
            )
            crashes[is_paced] += play.crashes
    assert crashes[False] >= 40
    assert crashes[True] <= crashes[False] / 4


# Growth by one slot for each answer would take several requests of 2 s.
@pytest.mark.parametrize(('took_ms', 'rps'), [(500.0, 200), (2000.0, 60)])
def test_new_target_is_not_left_idle_while_its_answers_are_usual(took_ms, rps):
    waits_ms = []
    for seed in range(8):
        play = Play(warm(15), seed=seed, took_ms=took_ms)
        play.run(rps=34, until_ms=3000)
        new = Engine('new')
        play.engines.append(new)
        while len(new.running) < 5:
            play.run(rps=rps, until_ms=play.clock.ms + STEP_MS)
            if not play.served['new']:
                answered_ms = play.clock.ms
        waits_ms.append(play.clock.ms - answered_ms)
    assert max(waits_ms) < 2600
    assert sum(waits_ms) / len(waits_ms) < 2000


@pytest.mark.parametrize('is_new_process', [False, True])
def test_target_that_restarts_or_recovers_does_not_keep_its_limit(
    is_new_process,
):
    play = with_new_target(Engine('other'), is_paced=True)
    engine = play.engines[0]
    running = len(engine.running)
    started = 0
    if is_new_process:
        engine.restart(play.clock.ms, down_ms=0)
        started = start_all(play.pace, engine.record)
        assert started == 2
    else:
        play.pace.note_recovered(engine.name)
        assert start_all(play.pace, engine.record) == max(0, 2 - running)
    # Outcomes from before do not count: they show nothing of the new start.
    for _request in range(running):
        play.report(engine, slotbroker.SlotResult.SERVED, 100.0, 4000.0)
    play.clock.ms += 400
    assert start_all(play.pace, engine.record) == 2 - started


# Requests of 20 ms free their slots so fast that only the rate bounds them.
def test_target_that_is_cold_again_gets_no_more_than_its_rate():
    play = Play(warm(2), took_ms=20.0).run(rps=200, until_ms=8000)
    for engine in play.engines:
        assert most_in_a_second(engine.starts) <= 0.8 * COLD_RPS
        assert len(engine.starts) >= 0.6 * COLD_RPS * 8


@pytest.mark.parametrize('cold_rps', [2.0, 5.0, 26.0])
def test_new_broker_and_the_last_one_together_keep_to_the_cold_rate(cold_rps):
    clock = Clock()
    starts = []
    record = fakes.record('fast', SERVICE, slots=1)
    for _broker in range(2):
        pace = new_pace(clock, cold_rps=cold_rps)
        until_ms = clock.ms + 3000
        while clock.ms < until_ms:
            clock.ms += STEP_MS
            starts += start_all(pace, record) * [clock.ms]
    assert most_in_a_second(starts) <= cold_rps
    assert len(starts) >= 0.6 * cold_rps * 6 - 2


# 64 targets bear 160 requests a second of 2 s; all are new at once.
@pytest.mark.parametrize('took_ms', [500.0, 2000.0])
def test_start_of_a_fleet_refuses_no_ordinary_load(took_ms):
    play = Play(warm(64), took_ms=took_ms).run(rps=121, until_ms=5000)
    assert play.refused == 0
    assert max(len(engine.running) for engine in play.engines) <= 5


def test_target_that_fails_every_request_still_gets_one_at_a_time():
    new = Engine('new', warm_ms=99_000, bears=0, crash_at=1)
    play = with_new_target(new, is_paced=True, until_ms=15_000)
    assert play.crashes >= 8
    assert play.failed == play.crashes


# Hardware that is always slower would otherwise be watched for ever.
def test_slow_target_without_failures_is_not_watched_for_ever():
    new = Engine('new', warm_ms=99_000, bears=0)
    play = with_new_target(new, is_paced=True, until_ms=14_000)
    assert len(new.running) <= 2
    play.run(rps=60, until_ms=25_000)
    assert len(new.running) >= 4


# Callers leave a target that hangs; it has no answer that could be slow.
def test_target_whose_callers_leave_does_not_grow():
    play = with_new_target(Engine('other'), is_paced=True)
    engine = Engine('hangs')
    for _round in range(4):
        requests = start_all(play.pace, engine.record)
        play.run(rps=30, until_ms=play.clock.ms + 2000)
        for _request in range(requests):
            play.report(engine, slotbroker.SlotResult.CANCELLED, None, 1990.0)
    play.pace.note_start(engine.record)
    assert not play.pace.allows(engine.record)


@pytest.mark.parametrize('cold_rps', [0.5, 1.2, 7.0])
def test_small_cold_rates_are_not_rounded_up(cold_rps):
    clock = Clock()
    pace = new_pace(clock, cold_rps=cold_rps)
    record = fakes.record('new', SERVICE, slots=1)
    starts = []
    while clock.ms < 20_000:
        clock.ms += STEP_MS
        starts += start_all(pace, record) * [clock.ms]
    assert most_in_a_second(starts) <= max(1, cold_rps)
    assert 0.5 * cold_rps * 20 <= len(starts) <= cold_rps * 20


# Identifiers change with each start of a target.
def test_targets_that_come_and_go_do_not_fill_the_memory():
    clock = Clock()
    pace = new_pace(clock, cold_rps=0)
    for number in range(6000):
        clock.ms += 1
        record = fakes.record(f't{number}', SERVICE, slots=5)
        pace.note_start(record)
    assert len(pace._targets) <= 4096
    for _request in range(3000):
        pace.note_start(record)
    assert len(pace._targets[record.target].in_flight) <= 1024
    clock.ms += 2000
    pace.drop_unlisted([])
    assert not pace._targets
    assert not pace._services
