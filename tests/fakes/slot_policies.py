"""Brokers for tests: the real one with simple ports, and naive policies."""

import random

from carobslip import observability, slotbroker, targets


class NoPacing:
    def allows(self, record):
        return True

    def note_start(self, record):
        """Does nothing."""

    def note_outcome(self, outcome):
        """Does nothing."""

    def note_recovered(self, target):
        """Does nothing."""

    def drop_unlisted(self, listed):
        """Does nothing."""


class SilentLog:
    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))


def records(count=64, slots=5):
    return [
        targets.TargetRecord(
            target=f't-{number}',
            service='chat',
            address='127.0.0.1:1',
            data_centre=f'dc-{number % 2}',
            slots=slots,
            state=targets.TargetState.READY,
        )
        for number in range(count)
    ]


def make_broker(clock, *, listed=None, seed=7, log=None, pacing=None):
    listed = records() if listed is None else listed
    return slotbroker.SlotBroker(
        candidates=lambda service: listed,
        pacing=pacing or NoPacing(),
        clock=clock,
        generator=random.Random(seed),
        log=log or SilentLog(),
        metrics=observability.NoMetrics(),
    )


class FixedShares:
    """Each group of entries owns an equal part of the slots.

    With one group, requests start first come, first served. With one group for
    each entry, slots that an entry does not use are not available to others.
    """

    def __init__(self, clock, groups):
        self._clock, self._groups = clock, groups
        self._random = random.Random(3)
        names = [record.target for record in records() for _ in range(5)]
        self._free = [names[number::groups] for number in range(groups)]
        self._queues = [[] for _ in range(groups)]
        self._owners = {}
        self._limit = max(1, round(192 / groups))

    def ask(self, demand):
        group = int(demand.entry.split('-')[1]) % self._groups
        queue = self._queues[group]
        if self._free[group] and not queue:
            return self._grant(group, demand)
        if len(queue) >= self._limit:
            return self._refuse(demand)
        queue.append((self._clock.now + demand.wait_left_ms, demand))
        return slotbroker.SlotQueued(ticket=demand.ticket)

    def advance(self):
        decisions = []
        for group, queue in enumerate(self._queues):
            while queue and (
                self._free[group] or queue[0][0] <= self._clock.now
            ):
                until_ms, demand = queue.pop(0)
                is_over = until_ms <= self._clock.now
                decisions.append(
                    self._refuse(demand)
                    if is_over
                    else self._grant(group, demand)
                )
        return decisions

    def withdraw(self, ticket):
        for queue in self._queues:
            queue[:] = [one for one in queue if one[1].ticket != ticket]

    def release(self, outcome):
        self._free[self._owners.pop(outcome.lease)].append(outcome.target)

    def _grant(self, group, demand):
        self._owners[demand.ticket] = group
        target = self._free[group].pop(
            self._random.randrange(len(self._free[group]))
        )
        return slotbroker.SlotGranted(
            ticket=demand.ticket, lease=demand.ticket, target=target
        )

    def _refuse(self, demand):
        return slotbroker.SlotRefused(
            ticket=demand.ticket,
            reason='full',
            retry_after_ms=self._random.uniform(400, 1400),
        )
