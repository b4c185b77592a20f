"""Tests how soon a coordinator detects that its group is stalled."""

import asyncio
import random

import pytest

from carobslip import clocks, expertmap, observability
from tests.fakes import cluster, engine_group, virtual

SIZE = 8
PERIOD_S = 0.1
ORDER_DELAY_S = 0.1


class Ranks:
    """Engines and guards, some of which do not answer."""

    def __init__(self, clock, *, lost_share=0.0):
        self.group = engine_group.FakeGroup(SIZE, seed=1)
        self.clock = clock
        self.random = random.Random(3)
        self.lost_share = lost_share
        self.silent_guards = set()
        self.silent_engines = set()

    async def order(self, rank, order, *, through=None):
        await asyncio.sleep(ORDER_DELAY_S)
        if rank in self.silent_engines or self.is_lost():
            return expertmap.RankAnswer(end=expertmap.OrderEnd.LOST)
        engine = self.group.engines[rank]
        return expertmap.RankAnswer(
            end=engine.apply(order)
            if order.kind is not expertmap.OrderKind.REPORT
            else expertmap.OrderEnd.DONE,
            report=engine.report_now(),
        )

    def address_of(self, rank):
        return f'engine-{rank}'

    def is_lost(self):
        return self.random.random() < self.lost_share


class SimulatedCoordinator:
    """A coordinator whose ranks send an update each period."""

    def __init__(self, **named):
        self.clock = clocks.LoopClock(epoch_ms=cluster.EPOCH_MS)
        self.ranks = Ranks(self.clock, **named)
        self.sequence = 0
        self.coordinator = self.new_coordinator()

    def new_coordinator(self):
        return expertmap.GroupCoordinator(
            group=engine_group.GROUP,
            size=SIZE,
            own_rank=0,
            ranks=self.ranks,
            clock=self.clock,
            log=cluster.RecordingLog(),
        )

    async def run(self, duration_s):
        """Returns the time until the group first counted as broken."""
        broken_s = None
        for period in range(round(duration_s / PERIOD_S)):
            self.sequence += 1
            for rank in range(SIZE):
                if rank in self.ranks.silent_guards or self.ranks.is_lost():
                    continue
                self.coordinator.record_update(
                    expertmap.RankUpdate(
                        report=self.ranks.group.engines[rank].report_now(),
                        sequence=self.sequence,
                        counts=b'',
                        address=f'engine-{rank}',
                    ),
                )
            self.coordinator.probe_and_rebalance()
            await asyncio.sleep(PERIOD_S)
            if self.coordinator.is_broken and broken_s is None:
                broken_s = (period + 1) * PERIOD_S
        return broken_s


# name: (silent guards, silent engines, a new coordinator, detected within s)
FAILURES = {
    'machine of a rank hangs': ({3}, {3}, False, 0.7),
    'machine of the previous coordinator hangs': ({3}, {3}, True, 0.5),
    'guard of a rank hangs': ({3}, set(), False, None),
    'guard hangs as a new lead starts': ({3}, set(), True, None),
    'no process hangs': (set(), set(), False, None),
}


@pytest.mark.parametrize('name', FAILURES)
def test_stalled_group_is_detected_in_time_without_false_alarms(name):
    guards, engines, starts_new_coordinator, within_s = FAILURES[name]

    async def scenario():
        simulation = SimulatedCoordinator()
        assert await simulation.run(2) is None
        simulation.ranks.silent_guards = guards
        simulation.ranks.silent_engines = engines
        if starts_new_coordinator:
            simulation.coordinator = simulation.new_coordinator()
        broken_s = await simulation.run(3)
        if within_s is None:
            assert broken_s is None
        else:
            assert broken_s <= within_s

    virtual.run(scenario)


def test_lost_messages_are_not_taken_for_a_stall():
    async def scenario():
        simulation = SimulatedCoordinator(lost_share=0.2)
        assert await simulation.run(60) is None

    virtual.run(scenario)


def test_loads_include_a_rank_that_never_reported_to_a_new_coordinator():
    async def scenario():
        simulation = SimulatedCoordinator()
        simulation.ranks.silent_guards = {3}
        simulation.ranks.silent_engines = {3}
        await simulation.run(1)
        named = {
            address
            for address, _running, _waiting in simulation.coordinator.loads()
        }
        assert named == {f'engine-{rank}' for rank in range(SIZE)}

    virtual.run(scenario)


class RecordedRanks(engine_group.FakeRanks):
    """Records the fencing numbers of a coordinator's orders."""

    def __init__(self, group, own_rank, guards):
        super().__init__(group, own_rank, guards, set())
        self.fences = []

    async def order(self, rank, order, *, through=None):
        self.fences.append(order.fence)
        return await super().order(rank, order, through=through)


class ContendingCoordinator:
    """A coordinator of a group whose other guards may act as one, too."""

    def __init__(self, group, guards, clock, own_rank):
        self.group = group
        self.ranks = RecordedRanks(group, own_rank, guards)
        self.log = cluster.RecordingLog()
        self.coordinator = expertmap.GroupCoordinator(
            group=engine_group.GROUP,
            size=SIZE,
            own_rank=own_rank,
            ranks=self.ranks,
            clock=clock,
            log=self.log,
        )
        self.coordinator.settings = expertmap.GroupCoordinatorSettings(
            sets=1,
            experts=SIZE,
            slots=4,
            bounds=expertmap.BalanceBounds(
                places_per_rank=2, copies_per_rank=1
            ),
        )
        self.sequence = 0

    async def run_period(self):
        self.sequence += 1
        for rank, engine in enumerate(self.group.engines):
            self.coordinator.record_update(
                expertmap.RankUpdate(
                    report=engine.report_now(),
                    sequence=self.sequence,
                    counts=b'',
                    address=f'engine-{rank}',
                ),
            )
        self.coordinator.probe_and_rebalance()
        await asyncio.sleep(PERIOD_S)


def _guards_of(group):
    return [
        expertmap.RankGuard(
            engine=engine_group.FakeControl(group, rank, is_remote=False)
        )
        for rank in range(SIZE)
    ]


def test_coordinator_below_the_fence_in_use_still_reads_the_layout():
    async def scenario():
        group = engine_group.FakeGroup(SIZE, seed=1)
        guards = _guards_of(group)
        for guard in guards:
            await guard.order(
                expertmap.RankOrder(
                    kind=expertmap.OrderKind.REPORT, epoch=1, fence=1 << 60
                )
            )
        clock = clocks.LoopClock(epoch_ms=cluster.EPOCH_MS)
        lead = ContendingCoordinator(group, guards, clock, own_rank=0)
        await lead.run_period()
        waited = [
            fields['why']
            for event, fields in lead.log.events
            if event is observability.Event.MAP_WAITING
        ]
        assert not waited
        assert max(lead.ranks.fences) > 1 << 60
        await lead.coordinator.close()

    virtual.run(scenario)


def test_contending_coordinators_never_share_a_fencing_number():
    async def scenario():
        group = engine_group.FakeGroup(SIZE, seed=1)
        guards = _guards_of(group)
        clock = clocks.LoopClock(epoch_ms=cluster.EPOCH_MS)
        leads = [
            ContendingCoordinator(group, guards, clock, own_rank=rank)
            for rank in range(3)
        ]
        group.engines[4].held = 1
        for _period in range(30):
            for lead in leads:
                await lead.run_period()
        used = [set(lead.ranks.fences) for lead in leads]
        assert max(map(len, used)) > 1
        assert sum(map(len, used)) == len(set().union(*used))
        for lead in leads:
            await lead.coordinator.close()

    virtual.run(scenario)
