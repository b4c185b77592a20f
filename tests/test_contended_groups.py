"""Tests switches of groups whose service is contended."""

import asyncio
import random

import msgspec
import pytest

from carobslip import clocks, control, expertmap, observability
from tests import test_group_traffic as traffic
from tests.fakes import cluster, engine_group, virtual
from tests.fakes import host as hosts

SIZE = 12
EXPERTS = 24
PERIOD_S = 0.1
ROUTES = [
    {
        'name': f'priority-{priority}',
        'host': 'drafting.example',
        'prefix': f'/{priority}/',
        'kind': 'stream',
        'services': [{'service': 'drafting', 'weight': 1}],
        'timeout_ms': 9000,
        'objective_ms': 400,
        'priority': priority,
    }
    for priority in range(2)
]


class SlowOrders(engine_group.FakeRanks):
    """Orders to arm a rank take a while."""

    arm_s = 0.0

    async def order(self, rank, order, *, through=None):
        if order.kind is expertmap.OrderKind.ARM:
            await asyncio.sleep(self.arm_s)
        return await super().order(rank, order, through=through)


class Control(engine_group.FakeControl):
    """An engine that begins with two experts and tells those of its map."""

    async def experts(self):
        layout = self._engine.map[1]
        rank = self._engine.rank
        if layout is None:
            return ((rank, rank + SIZE),)
        return tuple(ranks[rank] for ranks in layout)


class SimulatedGroup:
    """A group, its guards and the coordinator at rank 0."""

    def __init__(self, *, is_contended, seed=1, arm_s=0.0):
        self.clock = clocks.LoopClock(epoch_ms=cluster.EPOCH_MS)
        self.group = engine_group.FakeGroup(SIZE, seed=seed)
        guards = [
            expertmap.RankGuard(
                engine=Control(self.group, rank, is_remote=False)
            )
            for rank in range(SIZE)
        ]
        self.ranks = SlowOrders(self.group, 0, guards, set())
        self.ranks.arm_s = arm_s
        self.log = cluster.RecordingLog()
        self.random = random.Random(seed)
        self.paces = [1.0] * SIZE
        self.coordinator = expertmap.GroupCoordinator(
            group=engine_group.GROUP,
            size=SIZE,
            own_rank=0,
            ranks=self.ranks,
            clock=self.clock,
            log=self.log,
        )
        planning = expertmap.plan_settings(
            size=SIZE, places_per_rank=4, expert_copy_ms=1, new_experts_max=2
        )
        self.bounds = expertmap.BalanceBounds(places_per_rank=4)
        self.coordinator.settings = expertmap.GroupCoordinatorSettings(
            sets=1,
            experts=EXPERTS,
            slots=5,
            bounds=self.bounds,
            planning=planning if is_contended else None,
        )
        self.sequence = 0
        self.popular = 0
        self.passes = asyncio.ensure_future(self.group.run())

    async def run(self, duration_s, *, shift_s=1.0):
        """Runs periods; the popularity of experts shifts every ``shift_s``."""
        for _period in range(round(duration_s / PERIOD_S)):
            self.sequence += 1
            now_s = self.sequence * PERIOD_S
            counts = [200] * EXPERTS
            for place in range(4):
                counts[(int(now_s / shift_s) * 5 + place) % EXPERTS] = 4000
            for rank, engine in enumerate(self.group.engines):
                report = msgspec.structs.replace(
                    engine.report_now(), pace=self.paces[rank], running=5
                )
                self.coordinator.record_update(
                    expertmap.RankUpdate(
                        report=report,
                        sequence=self.sequence,
                        counts=expertmap.CountsWriter().write(counts),
                        address=f'engine-{rank}',
                    )
                )
            self.coordinator.probe_and_rebalance()
            await asyncio.sleep(PERIOD_S)
            if self.passes.done():
                self.passes.result()

    async def close(self):
        await self.coordinator.close()
        self.passes.cancel()
        for late in self.group.late:
            late.cancel()

    def switches(self):
        return [
            fields
            for event, fields in self.log.events
            if event is observability.Event.MAP_SWITCHED
        ]


@pytest.mark.parametrize('arm_s', [0.0, 0.06, 0.15])
def test_no_pass_waits_for_a_hold_when_arming_takes_long(arm_s):
    async def scenario():
        held_s = []
        for is_contended in (False, True):
            simulation = SimulatedGroup(is_contended=is_contended, arm_s=arm_s)
            await simulation.run(5)
            held_before_s = simulation.group.held_s
            await simulation.run(10)
            held_s.append(simulation.group.held_s - held_before_s)
            assert len(simulation.switches()) > 5
            await simulation.close()
        assert held_s[1] == 0
        assert held_s[0] > 0 or arm_s < 0.06

    virtual.run(scenario)


@pytest.mark.parametrize('seed', range(40))
def test_lost_orders_do_not_split_a_contended_group(seed):
    async def scenario():
        simulation = SimulatedGroup(
            is_contended=True, seed=seed, arm_s=seed % 4 * 0.04
        )
        await simulation.run(2)
        simulation.group.lost_share = 0.05
        await simulation.run(8)
        simulation.group.lost_share = 0.0
        await simulation.run(15)
        # A split raises in the passes of the group. A switch in progress may
        # hold the next pass; after its end the group goes on.
        await simulation.coordinator.close()
        step = simulation.group.engines[0].step
        await asyncio.sleep(1)
        assert simulation.group.engines[0].step > step + 10
        assert all(one.held is None for one in simulation.group.engines)
        assert simulation.switches()
        await simulation.close()

    virtual.run(scenario)


@pytest.mark.parametrize('phase', range(0, 20, 4))
def test_new_pace_does_not_wait_for_the_interval_between_switches(phase):
    async def scenario():
        simulation = SimulatedGroup(is_contended=True)
        settings = simulation.coordinator.settings
        simulation.coordinator.settings = msgspec.structs.replace(
            settings,
            planning=msgspec.structs.replace(
                settings.planning, interval_ms=2000
            ),
        )
        await simulation.run(6 + phase * PERIOD_S, shift_s=1000)
        before = len(simulation.switches())
        simulation.paces[3] = 3.45
        periods = 0
        while len(simulation.switches()) == before:
            await simulation.run(PERIOD_S, shift_s=1000)
            periods += 1
            assert periods < 20
        took_ms = simulation.switches()[before]['took_ms']
        switched = took_ms / (1000 * PERIOD_S)
        assert periods <= 2 + switched + 1
        assert simulation.switches()[before]['dropped'] > 0
        # Paces that vary all the time do not lead to a switch each time.
        before = len(simulation.switches())
        for _change in range(20):
            simulation.paces[4] = 3.45 / simulation.paces[4]
            await simulation.run(4 * PERIOD_S, shift_s=1000)
        assert len(simulation.switches()) - before <= 1.5 * 4 + 2
        await simulation.close()

    virtual.run(scenario)


def test_uncontended_group_is_not_planned_for_contention(monkeypatch):
    plans = []
    balance = expertmap.balance

    def recorded(*inputs):
        plans.append(balance(*inputs))
        return plans[-1]

    monkeypatch.setattr('carobslip.expertmap._balance.balance', recorded)
    monkeypatch.delattr('carobslip.expertmap._plan.MapPlanner.steps')

    async def scenario():
        simulation = SimulatedGroup(is_contended=False)
        simulation.paces[3] = 2.0
        await simulation.run(10)
        switches = simulation.switches()
        made = [plan for plan in plans if plan is not None]
        assert [one['copies'] for one in switches] == [
            plan.copies for plan in made[: len(switches)]
        ]
        assert {one['margin'] for one in switches} == {2}
        assert simulation.group.engines[0].map[1] in {
            plan.layout for plan in made
        }
        await simulation.close()

    virtual.run(scenario)


class ContendedSheet(traffic.Sheet, frozen=True, kw_only=True):
    """A deployment whose streams differ in priority."""

    expert_copy_ms: float

    @property
    def document(self):
        document = super().document
        table = document['forwarding']
        table['routes'] = ROUTES
        table['services'][0]['engine']['expert_copy_ms'] = self.expert_copy_ms
        return document


SHEETS = {
    32: ContendedSheet(
        ranks=32,
        entries=38,
        sets=12,
        experts=128,
        places=5,
        new_experts_max=2,
        link_bytes_per_s=500_000,
        expert_copy_ms=36.5,
    ),
    72: ContendedSheet(
        ranks=72,
        entries=17,
        sets=12,
        experts=144,
        places=3,
        new_experts_max=2,
        link_bytes_per_s=500_000,
        expert_copy_ms=5.8,
    ),
}


@pytest.mark.parametrize('ranks', SHEETS)
@hosts.virtual
async def test_switches_of_a_contended_group_do_not_fill_half_of_a_link(ranks):
    sheet = SHEETS[ranks]
    simulation = traffic.SimulatedFleet(sheet)
    await simulation.start()
    await asyncio.sleep(12)
    carried, version = simulation.carried_bytes(), simulation.map_version
    held_s = simulation.group.held_s
    await asyncio.sleep(8)
    bytes_per_s = (simulation.carried_bytes() - carried) / 8
    assert simulation.map_version - version >= 8
    assert bytes_per_s < 0.45 * sheet.link_bytes_per_s
    assert simulation.group.held_s == held_s


@pytest.mark.parametrize('is_contended', [False, True])
@hosts.virtual
async def test_only_contended_services_get_the_planner_for_contention(
    is_contended,
):
    sheet = SHEETS[32] if is_contended else traffic.GROWN
    simulation = traffic.SimulatedFleet(sheet)
    await simulation.start()
    await asyncio.sleep(2)
    guard = simulation.guards[0]
    settings = guard._group_coordinator_settings(sheet.ranks)
    assert (settings.planning is not None) is is_contended
    assert guard._peers.sends_compact is is_contended
    usual_ms = sheet.expert_copy_ms if is_contended else 20
    assert (guard.rank_guard.expert_copy_ms > usual_ms) is is_contended


class SlowCopies(engine_group.FakeControl):
    """An engine that copies for a while before a map is prepared."""

    copying_s = 0.0

    async def order(self, order):
        self.ready_s = asyncio.get_running_loop().time() + self.copying_s
        return await super().order(order)

    async def report(self):
        report = await super().report()
        if asyncio.get_running_loop().time() < self.ready_s:
            return msgspec.structs.replace(report, prepared=None)
        return report


@pytest.mark.parametrize('ranks', SHEETS)
def test_guard_waits_for_all_copies_of_a_switch(ranks):
    async def scenario():
        sheet = SHEETS[ranks]
        planning = expertmap.plan_settings(
            size=ranks,
            places_per_rank=sheet.places,
            expert_copy_ms=sheet.expert_copy_ms,
            new_experts_max=sheet.new_experts_max,
        )
        group = engine_group.FakeGroup(SIZE, seed=1)
        engine = SlowCopies(group, 2, is_remote=False)
        copies = planning.bounds.copies_per_rank
        assert copies > 2
        engine.copying_s = 1.5 * copies * sheet.expert_copy_ms / 1000
        guard = expertmap.RankGuard(engine=engine)
        guard.expert_copy_ms = planning.guard_copy_ms
        answer = await guard.order(
            expertmap.RankOrder(
                kind=expertmap.OrderKind.PREPARE, epoch=1, fence=1, version=1024
            )
        )
        assert answer.report.prepared == 1024

    virtual.run(scenario)


class FormerReader:
    """Reads layouts like the version before compact deltas."""

    def __init__(self):
        self._reader = expertmap.LayoutReader()

    def read(self, packed):
        if packed.content[:1] == b'\x01':
            return None
        return self._reader.read(packed)


@pytest.mark.parametrize('seed', range(10))
def test_readers_of_both_versions_get_the_same_layouts(seed):
    generator = random.Random(seed)
    writer = expertmap.LayoutWriter()
    readers = [
        (expertmap.LayoutReader(), True),
        (expertmap.LayoutReader(), False),
        (FormerReader(), False),
        # Answers of an instance that was replaced by a former version.
        (FormerReader(), True),
    ]
    experts = list(range(40))
    layout = (tuple(tuple(experts[rank::8]) for rank in range(8)),) * 3
    compact = 0
    for _switch in range(20):
        sets = [[set(one) for one in ranks] for ranks in layout]
        for _change in range(generator.randrange(6)):
            chosen = generator.choice(generator.choice(sets))
            chosen ^= {generator.choice(experts), generator.choice(experts)}
        layout = tuple(
            tuple(tuple(sorted(one)) for one in ranks) for ranks in sets
        )
        for reader, is_compact in readers:
            packed = writer.write(layout, is_compact=is_compact)
            compact += packed.content[:1] == b'\x01'
            read = reader.read(packed)
            if read is None:
                read = reader.read(writer.write(layout, is_whole=True))
            assert read == layout
    assert compact


@pytest.mark.parametrize('content', [b'\x01', b'\x01none', b'\x01' + bytes(50)])
def test_malformed_compact_delta_is_rejected(content):
    writer, reader = expertmap.LayoutWriter(), expertmap.LayoutReader()
    whole = writer.write((((0, 1), (2,)),))
    assert reader.read(whole) is not None
    packed = expertmap.PackedLayout(
        digest=1, base=whole.digest, content=content
    )
    assert reader.read(packed) is None


def test_answer_of_a_former_guard_is_not_taken_for_one_that_reads_compact():
    answer = control.RankOrdered(
        answer=expertmap.RankAnswer(end=expertmap.OrderEnd.DONE),
        reads_compact=True,
    )
    former = msgspec.defstruct(
        'RankOrdered',
        [('answer', expertmap.RankAnswer), ('lacks_layout', bool, False)],
        tag=True,
        array_like=control.RankOrdered.__struct_config__.array_like,
    )
    sent = msgspec.msgpack.encode(former(answer=answer.answer))
    read = msgspec.msgpack.decode(sent, type=control.RankOrdered)
    assert not read.reads_compact
    # A coordinator of the former version ignores the field.
    sent = msgspec.msgpack.encode(answer)
    assert msgspec.msgpack.decode(sent, type=former).answer == answer.answer
