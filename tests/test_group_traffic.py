"""Tests the control traffic of the coordinator of a large group."""

import asyncio
import functools
import itertools
import random

import msgspec
import pytest

from carobslip import (
    clocks,
    control,
    directory,
    expertmap,
    fleet,
    identifiers,
    observability,
    processes,
)
from carobslip.processes import _group_load
from tests.fakes import cluster as clusters
from tests.fakes import engine_group
from tests.fakes import host as hosts
from tests.fakes import network as networks

#: Largest share of a link for control traffic; requests need the rest.
LINK_SHARE_MAX = 0.25
#: Processes start this long before the first request.
FIRST_LAYOUT_S = 16
#: Interval at which the popularity of experts shifts.
SHIFT_S = 3.5
#: Mean selections of an expert at one rank per second.
SELECTIONS_PER_S = 500


class Sheet(msgspec.Struct, frozen=True, kw_only=True):
    """Size of a deployment; the link is that of a machine with an engine."""

    ranks: int
    entries: int
    sets: int
    experts: int
    places: int
    new_experts_max: int
    link_bytes_per_s: int

    @property
    def document(self):
        engine = {
            'slots': 5,
            'expert_sets': self.sets,
            'experts_per_set': self.experts,
            'places_per_rank': self.places,
            'new_experts_max': self.new_experts_max,
            'expert_copy_ms': 20,
        }
        return {
            'kind': 'configuration',
            'version': 1,
            'forwarding': {
                'operators_version': 1,
                'routes': [],
                'services': [{'service': 'drafting', 'engine': engine}],
            },
        }


GROWN = Sheet(
    ranks=32,
    entries=39,
    sets=12,
    experts=128,
    places=5,
    new_experts_max=2,
    link_bytes_per_s=500_000,
)
LARGE = Sheet(
    ranks=96,
    entries=98,
    sets=16,
    experts=192,
    places=3,
    new_experts_max=2,
    link_bytes_per_s=375_000,
)


class Engine(engine_group.FakeControl):
    """A rank whose requests select some experts far more often."""

    def __init__(self, group, rank, sheet):
        super().__init__(group, rank, is_remote=False)
        self.sheet = sheet
        self.rank = rank
        self.random = random.Random(rank)
        self.selected = [0] * (sheet.sets * sheet.experts)
        self.counted_until_s = asyncio.get_running_loop().time()

    async def counts(self):
        now_s = asyncio.get_running_loop().time()
        spent_s, self.counted_until_s = now_s - self.counted_until_s, now_s
        popular = popularity(int(now_s / SHIFT_S), len(self.selected))
        self.selected = [
            before + round(share * spent_s * self.random.uniform(0.8, 1.2))
            for before, share in zip(self.selected, popular, strict=True)
        ]
        return expertmap.ExpertCounts(epoch=1, counts=tuple(self.selected))

    async def experts(self):
        layout = self._engine.map[1]
        if layout is None:
            sheet = self.sheet
            held = tuple(range(self.rank, sheet.experts, sheet.ranks))
            return (held,) * sheet.sets
        return tuple(ranks[self.rank] for ranks in layout)


@functools.cache
def popularity(interval, experts):
    """Returns selections per second by set and expert."""
    generator = random.Random(interval)
    weights = [generator.random() ** -0.6 for _ in range(experts)]
    mean = sum(weights) / len(weights)
    return [SELECTIONS_PER_S * weight / mean for weight in weights]


class SimulatedFleet:
    """A simulated group with its guards and all entries."""

    def __init__(self, sheet=GROWN):
        self.sheet = sheet
        self.network = networks.Network(random.Random(1))
        self.platform = clusters.FakePlatform()
        self.platform.publish(sheet.document)
        self.group = engine_group.FakeGroup(sheet.ranks, seed=1)
        self.engines = {
            f'side-{rank}:80': Engine(self.group, rank, sheet)
            for rank in range(sheet.ranks)
        }
        self.hosts = {}
        self.guards = []
        self.metrics = []
        self.received_loads = {}

    async def start(self):
        self.group_run = asyncio.ensure_future(self.group.run())
        for number in range(self.sheet.entries):
            await self.add_entry(f'entry-{number}')
        for rank in range(self.sheet.ranks):
            await self.add_guard(rank)

    async def add_entry(self, name):
        host = self.hosts[name] = hosts.Host(name)
        member = fleet.FleetMember(
            record=directory.InstanceRecord(
                instance=identifiers.InstanceId(name),
                role=directory.Role.ENTRY,
                data_centre=identifiers.DataCentreId('leeds'),
                http_address=f'{name}:80',
                control_address=f'{name}:70',
            ),
            transport=networks.FakeTransport(self.network, host),
            platform=self.platform,
            clock=clocks.LoopClock(epoch_ms=clusters.EPOCH_MS),
            seeds=[f'entry-{number}:70' for number in range(3)],
            generator=random.Random(name),
            log=clusters.RecordingLog(),
            times=fleet.FleetTimes(
                reader_roles=frozenset((directory.Role.ENTRY,)),
                lists_instances=False,
                probing=processes.FORWARDING_ENTRY_PROBER_SETTINGS,
            ),
        )
        known = processes.RankAddressCache()

        async def store_load(load, origin):
            members = known.take(load)
            if members is None:
                return control.Noted(is_missing_data=True)
            loads = dict(zip(members, load.requests, strict=True))
            self.received_loads.setdefault(name, []).append(
                (self.now_s(), loads)
            )
            return control.Noted()

        member.node.register_handler(control.GroupLoad, store_load)
        host.spawn(member.join())

    async def add_guard(self, rank):
        name = f'side-{rank}'
        host = self.hosts[name] = hosts.Host(name)
        self.network.links[name] = networks.Link(self.sheet.link_bytes_per_s)
        guard = processes.GroupGuard(
            own=processes.GroupGuardSettings(
                instance=identifiers.InstanceId(name),
                data_centre=identifiers.DataCentreId('leeds'),
                control_address=f'{name}:70',
                engine_address=f'{name}:80',
                service=identifiers.ServiceId('drafting'),
                seeds=tuple(f'entry-{number}:70' for number in range(3)),
            ),
            engine_at=self.engines.__getitem__,
            metrics=observability.NoMetrics(),
            transport=networks.FakeTransport(self.network, host),
            clock=clocks.LoopClock(epoch_ms=clusters.EPOCH_MS),
            generator=random.Random(name),
        )
        self.guards.append(guard)
        await host.spawn(guard.start())

    def now_s(self):
        return asyncio.get_running_loop().time()

    def carried_bytes(self):
        return self.network.links['side-0'].carried_bytes

    @property
    def map_version(self):
        return self.group.engines[0].map[0]


@pytest.mark.parametrize(
    ('sheet', 'settle_s', 'measure_s'),
    [(GROWN, 15, 20), (LARGE, 16, 8)],
    ids=['grown', 'large'],
)
@hosts.virtual
async def test_control_traffic_of_a_coordinator_does_not_saturate_its_link(
    sheet, settle_s, measure_s
):
    simulation = SimulatedFleet(sheet)
    await simulation.start()
    await asyncio.sleep(settle_s)
    before, version = simulation.carried_bytes(), simulation.map_version
    await asyncio.sleep(measure_s)
    bytes_per_s = (simulation.carried_bytes() - before) / measure_s
    assert simulation.map_version > version
    assert bytes_per_s <= LINK_SHARE_MAX * sheet.link_bytes_per_s
    ranks = {f'side-{rank}:80' for rank in range(sheet.ranks)}
    assert set(simulation.received_loads['entry-5'][-1][1]) == ranks


@hosts.virtual
async def test_large_group_gets_its_first_layout_within_seconds():
    simulation = SimulatedFleet(LARGE)
    await simulation.start()
    for _second in range(FIRST_LAYOUT_S):
        await asyncio.sleep(1)
        if simulation.map_version:
            return
    pytest.fail('no layout was switched')


@pytest.mark.parametrize('entry', ['entry-5', 'entry-38'])
@hosts.virtual
async def test_restarted_entry_does_not_miss_loads(entry):
    simulation = SimulatedFleet()
    await simulation.start()
    await asyncio.sleep(8)
    simulation.hosts[entry].kill()
    await asyncio.sleep(0.3)
    simulation.received_loads.pop(entry)
    await simulation.add_entry(entry)
    await asyncio.sleep(3)
    engines = {f'side-{rank}:80' for rank in range(GROWN.ranks)}
    assert set(simulation.received_loads[entry][-1][1]) == engines


@hosts.virtual
async def test_unreachable_entry_delays_neither_the_group_nor_other_entries():
    simulation = SimulatedFleet()
    await simulation.start()
    await asyncio.sleep(8)
    coordinator = simulation.guards[0]
    periods = coordinator._periods
    await asyncio.sleep(5)
    undisturbed = coordinator._periods - periods
    simulation.network.cut('side-0', 'entry-7')
    periods = coordinator._periods
    await asyncio.sleep(5)
    assert coordinator._periods - periods >= undisturbed - 1
    times_s = [
        received_s
        for received_s, _loads in simulation.received_loads['entry-8'][-4:]
    ]
    pauses_s = [after - then for then, after in itertools.pairwise(times_s)]
    assert max(pauses_s) < 0.6


def test_rounding_of_reports_loses_no_selection():
    generator = random.Random(1)
    writer = expertmap.CountsWriter()
    selected, decoded = [0] * 200, [0] * 200
    for _report in range(50):
        counts = [int(generator.random() ** -2) for _one in selected]
        packed = expertmap.read_counts(writer.write(counts))
        selected = [
            old + new for old, new in zip(selected, counts, strict=True)
        ]
        decoded = [old + new for old, new in zip(decoded, packed, strict=True)]
    for _rest in range(50):
        rest = expertmap.read_counts(writer.write([0] * 200)) or [0] * 200
        decoded = [old + new for old, new in zip(decoded, rest, strict=True)]
    assert decoded == selected


@pytest.mark.parametrize(
    'packed',
    [b'', b'short', bytes(9), bytes(8) + b'\xff' * 40],
)
def test_malformed_counts_are_rejected(packed):
    assert expertmap.read_counts(packed) == []


def layout_of(number):
    """Returns a layout whose first rank differs by number."""
    sets = [
        [[rank, rank + GROWN.ranks] for rank in range(GROWN.ranks)]
        for _one in range(GROWN.sets)
    ]
    sets[0][0] = [0, GROWN.ranks, number + 2 * GROWN.ranks]
    return tuple(tuple(tuple(experts) for experts in ranks) for ranks in sets)


def test_lost_deltas_do_not_corrupt_layouts():
    generator = random.Random(1)
    writer = expertmap.LayoutWriter()
    readers = [expertmap.LayoutReader() for _rank in range(4)]
    for number in range(40):
        layout = layout_of(generator.randrange(30))
        for reader in readers:
            if generator.random() < 0.3:
                continue
            read = reader.read(writer.write(layout))
            if read is None:
                read = reader.read(writer.write(layout, is_whole=True))
            assert read == layout
        if number == 20:
            readers[0] = expertmap.LayoutReader()


def test_small_layout_change_is_not_sent_as_a_whole():
    writer = expertmap.LayoutWriter()
    writer.write(layout_of(1))
    changed = writer.write(layout_of(2))
    assert changed.base is not None
    assert len(changed.content) < 100


@pytest.mark.parametrize('content', [b'', b'none', bytes(50)])
@pytest.mark.parametrize('base', [None, 7])
def test_malformed_layout_is_rejected(content, base):
    packed = expertmap.PackedLayout(digest=1, base=base, content=content)
    assert expertmap.LayoutReader().read(packed) is None


def test_addresses_from_two_coordinators_of_a_group_do_not_displace_each_other():
    known = processes.RankAddressCache()
    group = identifiers.GroupId('g')
    times = expertmap.group_times(2)
    first = _group_load.load_message(
        group, [('a:1', 1, 0)], is_open=True, times=times
    )
    second = _group_load.load_message(
        group,
        [('a:1', 2, 0), ('b:1', 3, 0)],
        is_open=True,
        times=times,
    )
    for load in (first, second):
        assert known.take(load) == load.members
    for load in (first, second, first, second):
        without = msgspec.structs.replace(load, members=())
        assert known.take(without) == load.members
