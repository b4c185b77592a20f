"""Drives the demand for the slots of 64 targets in virtual time."""

import heapq
import itertools
import random
import types

from carobslip import slotbroker

OBJECTIVES_MS = (400.0, 400.0, 800.0)
RATES = (55.0, 41.8, 24.2)
WAIT_MS, PATIENCE_MS, EVENT_MS, EVENTS, SIGMA = 1200.0, 2000.0, 87.0, 23, 0.7


class Load:
    """Callers of three classes, and their clock.

    The result of a caller is 0 if it was not served, 1 if late, 2 if on time.
    """

    def __init__(self, *, seconds, seed=1, entries=38):
        self.now, self.random = 0.0, random.Random(seed)
        self.end_ms, self.entries, self.stalls = 1000 * seconds, entries, ()
        self.rate = lambda priority, now_ms: RATES[priority]
        self.team_rate = lambda team, now_ms: 1.0
        self.hint = lambda caller: caller.events
        self.delay = lambda caller, refused: refused.retry_after_ms
        self.callers, self.tickets = [], {}
        self._heap, self._order = [], itertools.count()

    def now_ms(self):
        return self.now

    def at(self, moment, act, *arguments):
        heapq.heappush(self._heap, (moment, next(self._order), act, arguments))

    def play(self, broker):
        self.broker = broker
        for priority in range(3):
            self.at(0.0, self._arrive, priority)
        self.at(0.0, self._tick)
        while self.now < self.end_ms + 3000:
            self.now, _, act, arguments = heapq.heappop(self._heap)
            act(*arguments)
        return self

    def _tick(self):
        self._decide(self.broker.advance())
        self.at(self.now + 25, self._tick)

    def _arrive(self, priority):
        now, chance = self.now, self.random
        if now > self.end_ms:
            return
        pause = chance.expovariate(self.rate(priority, now) / 1000)
        self.at(now + pause, self._arrive, priority)
        weights = [self.team_rate(n, now) / (1 + n) for n in range(24)]
        size = chance.lognormvariate(-(SIGMA**2) / 2, SIGMA)
        caller = types.SimpleNamespace(
            number=len(self.callers) + 1,
            priority=priority,
            team=chance.choices(range(24), weights)[0],
            events=max(1, round(EVENTS * size)),
            entry=chance.randrange(self.entries),
            first_ms=chance.uniform(80, 180),
            arrived_ms=now,
            asked=0,
            result=0,
        )
        self.callers.append(caller)
        self.ask(caller)

    def ask(self, caller):
        caller.asked += 1
        passed = self.now - caller.arrived_ms
        demand = slotbroker.SlotDemand(
            ticket=f'{caller.number}-{caller.asked}',
            service='chat',
            entry=f'entry-{caller.entry}',
            data_centre=f'dc-{caller.entry % 2}',
            priority=caller.priority,
            team=f'team-{caller.team}',
            on_time_left_ms=OBJECTIVES_MS[caller.priority] - passed,
            wait_left_ms=min(WAIT_MS, PATIENCE_MS - passed),
            patience_left_ms=PATIENCE_MS - passed,
            answer_tokens_hint=self.hint(caller),
            content_digest=caller.number,
        )
        self.tickets[demand.ticket] = caller
        self._decide([self.broker.ask(demand)])

    def _decide(self, decisions):
        for decision in decisions:
            if isinstance(decision, slotbroker.SlotGranted):
                self._start(self.tickets.pop(decision.ticket), decision)
            elif isinstance(decision, slotbroker.SlotRefused):
                caller = self.tickets.pop(decision.ticket)
                back_ms = self.now + self.delay(caller, decision)
                if back_ms < caller.arrived_ms + PATIENCE_MS - 100:
                    self.at(back_ms, self.ask, caller)

    def _start(self, caller, granted):
        now, half = self.now, int(granted.target[2:]) % 2
        first_ms = caller.first_ms
        held_ms = first_ms + EVENT_MS * (caller.events - 1)
        for start, end in (one[1:] for one in self.stalls if one[0] == half):
            first_ms += max(0, end - max(now, start)) * (now + first_ms > start)
            held_ms += max(0, end - max(now, start)) * (now + held_ms > start)
        passed = now + first_ms - caller.arrived_ms
        caller.result = 1 + (passed <= OBJECTIVES_MS[caller.priority])
        self.at(now + held_ms, self._end, granted, caller, first_ms, held_ms)

    def _end(self, granted, caller, first_ms, held_ms):
        outcome = slotbroker.SlotOutcome(
            lease=granted.lease,
            target=granted.target,
            result=slotbroker.SlotResult.SERVED,
            took_ms=held_ms,
            first_event_ms=first_ms,
            events=caller.events,
        )
        self.broker.release(outcome)
        self._decide(self.broker.advance())
