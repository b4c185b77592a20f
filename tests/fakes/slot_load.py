"""Demand for the slots of 64 targets in virtual time, and simple policies."""

import heapq
import itertools
import random

from carobslip import slotbroker

OBJECTIVES_MS = (400.0, 400.0, 800.0)
RATES = (55.0, 41.8, 24.2)
WAIT_MS, PATIENCE_MS, LATE_VALUE = 1200.0, 2000.0, 1 / 3
MEAN_EVENTS, SIGMA = 23, 0.7


class Clock:
    now = 0.0

    def now_ms(self):
        return self.now

    def wall_ms(self):
        return int(self.now)


class Load:
    """One play of a load against a policy with the interface of a broker."""

    def __init__(self, clock, *, seconds, seed=1, entries=38, teams=24):
        self.clock, self.random, self.end_ms = (
            clock,
            random.Random(seed),
            1000 * seconds,
        )
        self.callers_random = random.Random(seed + 1)
        self.entries, self.teams = entries, [1 / (1 + n) for n in range(teams)]
        self.rate = lambda priority, now_ms: RATES[priority]
        self.team_rate = lambda team, now_ms: 1.0
        self.stalls = ()
        self.retry = lambda caller: 'told'
        self.hint = lambda team, events: (
            events * self.random.lognormvariate(0, 0.5)
        )
        self.after = lambda: None
        self._heap, self._order = [], itertools.count()
        self.callers, self.leases, self._tickets = [], {}, {}

    def at(self, moment, act, *arguments):
        heapq.heappush(self._heap, (moment, next(self._order), act, arguments))

    def play(self, broker):
        self.broker = broker
        for priority in range(3):
            self.at(0.0, self._arrive, priority)
        self.at(0.0, self._tick)
        while self._heap and self.clock.now < self.end_ms + 6000:
            self.clock.now, _, act, arguments = heapq.heappop(self._heap)
            act(*arguments)
            self.after()
        return self

    def _tick(self):
        self._decided(self.broker.advance())
        self.at(self.clock.now + 25, self._tick)

    def _arrive(self, priority):
        now = self.clock.now
        if now > self.end_ms:
            return
        self.at(
            now
            + self.callers_random.expovariate(1)
            * 1000
            / self.rate(priority, now),
            self._arrive,
            priority,
        )
        weights = [
            one * self.team_rate(team, now)
            for team, one in enumerate(self.teams)
        ]
        team = self.callers_random.choices(range(len(weights)), weights)[0]
        events = max(
            1,
            round(
                MEAN_EVENTS
                * self.callers_random.lognormvariate(-(SIGMA**2) / 2, SIGMA)
            ),
        )
        caller = {
            'priority': priority,
            'team': team,
            'events': events,
            'arrived': now,
            'outcome': 'refused',
            'tries': 0,
            'first': self.callers_random.uniform(0, 100),
            'digest': len(self.callers) + 1,
            'entry': self.callers_random.randrange(self.entries),
        }
        self.callers.append(caller)
        self._ask(caller)

    def _ask(self, caller):
        now, passed = self.clock.now, self.clock.now - caller['arrived']
        caller['tries'] += 1
        caller['hint'] = caller.get('hint') or max(
            1, round(self.hint(caller['team'], caller['events']))
        )
        demand = slotbroker.SlotDemand(
            ticket=f'{caller["digest"]}-{caller["tries"]}',
            service='chat',
            entry=f'entry-{caller["entry"]}',
            data_centre=f'dc-{caller["entry"] % 2}',
            priority=caller['priority'],
            team=f'team-{caller["team"]}',
            on_time_left_ms=OBJECTIVES_MS[caller['priority']] - passed,
            wait_left_ms=WAIT_MS,
            patience_left_ms=PATIENCE_MS - passed,
            answer_tokens_hint=caller['hint'],
            content_digest=caller['digest'],
        )
        self._tickets[demand.ticket] = caller
        self._decided([self.broker.ask(demand)])
        if demand.ticket in self._tickets:
            self.at(now + demand.patience_left_ms, self._leave, demand.ticket)

    def _leave(self, ticket):
        if self._tickets.pop(ticket, None):
            self.broker.withdraw(ticket)

    def _decided(self, decisions):
        for decision in decisions:
            if isinstance(decision, slotbroker.SlotGranted):
                self._start(self._tickets.pop(decision.ticket), decision)
            elif isinstance(decision, slotbroker.SlotRefused):
                self._refused(self._tickets.pop(decision.ticket), decision)

    def _refused(self, caller, refused):
        caller['told'] = refused.retry_after_ms
        delay = {'told': refused.retry_after_ms, 'at once': 5.0}.get(
            self.retry(caller)
        )
        if (
            delay is not None
            and self.clock.now + delay - caller['arrived'] < PATIENCE_MS - 100
            and caller['tries'] < 4
        ):
            self.at(self.clock.now + delay, self._ask, caller)

    def _start(self, caller, granted):
        now, half = self.clock.now, int(granted.target[2:]) % 2
        first = 80 + caller['first']
        held = first + 2000 / MEAN_EVENTS * (caller['events'] - 1)
        for start, end in (one[1:] for one in self.stalls if one[0] == half):
            first += max(0, end - max(now, start)) if now + first > start else 0
            held += max(0, end - max(now, start)) if now + held > start else 0
        is_on_time = (
            now + first <= caller['arrived'] + OBJECTIVES_MS[caller['priority']]
        )
        caller['outcome'] = 'on time' if is_on_time else 'late'
        caller['waited'] = now - caller['arrived']
        self.leases[granted.lease] = granted
        self.at(now + held, self._end, granted, caller, first, held)

    def _end(self, granted, caller, first, held):
        self.leases.pop(granted.lease)
        self.broker.release(
            slotbroker.SlotOutcome(
                lease=granted.lease,
                target=granted.target,
                result=slotbroker.SlotResult.SERVED,
                took_ms=held,
                first_event_ms=first,
                events=caller['events'],
            )
        )
        self._decided(self.broker.advance())

    def share(self, outcomes=('on time', 'late'), **wanted):
        chosen = [
            c
            for c in self.callers
            if all(test(c[field]) for field, test in wanted.items())
        ]
        return sum(c['outcome'] in outcomes for c in chosen) / max(
            1, len(chosen)
        )

    def value(self):
        return self.share(('on time',)) + LATE_VALUE * self.share(('late',))
