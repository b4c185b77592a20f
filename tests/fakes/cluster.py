"""A simulated fleet in one process, from real classes and fakes."""

import asyncio
import itertools
import json
import random
from typing import Any

import msgspec

from carobslip import (
    clocks,
    directory,
    entry,
    fleet,
    guard,
    identifiers,
    observability,
    routing,
    verdicts,
)
from tests.fakes import host as hosts
from tests.fakes import network as networks
from tests.fakes import target as targets

EPOCH_MS = 1_800_000_000_000
DATA_CENTRES = ('leeds', 'york', 'bradford')


class RecordingLog(observability.EventLog):
    def __init__(self) -> None:
        self.events: list[tuple[observability.Event, dict[str, Any]]] = []

    def write(self, event: observability.Event, **fields: Any) -> None:
        self.events.append((event, fields))


class FakePlatform:
    """Publishes a configuration and an instance list; can be down or stale."""

    def __init__(self) -> None:
        self.text = ''
        self.version = 0
        self.records: dict[str, directory.InstanceRecord] = {}
        self.down = False
        self.stale_text: str | None = None
        self.reads = 0
        self.changed = asyncio.Event()

    def publish(self, document: dict[str, Any]) -> None:
        self.text = json.dumps(document)
        self.version = document['version']
        self.changed.set()
        self.changed = asyncio.Event()

    async def read_configuration(
        self, after_version: int, wait_ms: int
    ) -> fleet.PublishedDocument | fleet.NoDocument:
        self.reads += 1
        await asyncio.sleep(0.002)
        if self.down:
            raise fleet.PlatformUnavailable('down')
        if self.stale_text is not None:
            return fleet.PublishedDocument(text=self.stale_text)
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while self.version <= after_version and wait_ms:
                    await self.changed.wait()
        except TimeoutError:
            return fleet.NoDocument.UNCHANGED
        if self.down:
            raise fleet.PlatformUnavailable('down')
        if self.version <= after_version:
            return fleet.NoDocument.UNCHANGED
        return fleet.PublishedDocument(text=self.text)

    async def read_instances(self) -> tuple[directory.InstanceRecord, ...]:
        self.reads += 1
        await asyncio.sleep(0.002)
        if self.down:
            raise fleet.PlatformUnavailable('down')
        return tuple(self.records.values())


class Reply(msgspec.Struct, kw_only=True):
    """The reply and outcome that a caller received."""

    request_id: str = ''
    key: str | None = None
    body: bytes = b''
    status: int | None = None
    content: bytes = b''
    outcome: verdicts.Outcome | None = None

    async def begin(self, status: int, content_type: str) -> None:
        self.status = status

    async def write(self, content: bytes) -> None:
        self.content += content

    @property
    def verdict(self) -> verdicts.Verdict | None:
        return self.outcome.verdict if self.outcome else None


class Member:
    """One simulated process of the system."""

    def __init__(self, cluster: 'Cluster', record: directory.InstanceRecord):
        self.host = hosts.Host(record.instance)
        self.record = record
        self.log = RecordingLog()
        self.clock = clocks.LoopClock(epoch_ms=EPOCH_MS)
        self.fleet = fleet.FleetMember(
            record=record,
            transport=networks.FakeTransport(cluster.network, self.host),
            platform=cluster.platform,
            clock=self.clock,
            seeds=(),
            generator=random.Random(cluster.random.random()),
            log=self.log,
            times=fleet.FleetTimes(poll_ms=500, watch_ms=5000),
        )
        self.guard: guard.GuardService | None = None
        self.runner: entry.Runner | None = None
        self.hints: routing.HintStore | None = None
        self.traces = entry.TraceStore()


class Cluster:
    """Entries, guards and targets that share one platform.

    Args:
        seed: Seeds all random generators.
        document: The initial configuration.
    """

    def __init__(self, seed: int, document: dict[str, Any]) -> None:
        self.random = random.Random(seed)
        self.network = networks.Network(random.Random(seed + 1))
        self.platform = FakePlatform()
        self.document = document
        self.platform.publish(document)
        self.members: dict[str, Member] = {}
        self.targets: dict[str, targets.FakeTarget] = {}
        self.replies: list[Reply] = []
        self.replies_tasks: list[asyncio.Task[Any]] = []
        self._ports = itertools.count(1)

    def publish(self, **changes: Any) -> None:
        self.document = {
            **self.document,
            'version': self.document['version'] + 1,
            **changes,
        }
        self.platform.publish(self.document)

    def out(self, *names: str) -> None:
        self.publish(
            out=[
                {'data_centre': name, 'reason': 'taken out by a test'}
                for name in names
            ]
        )

    async def add_entry(self, name: str, data_centre: str = 'leeds') -> Member:
        number = next(self._ports)
        record = directory.InstanceRecord(
            instance=identifiers.InstanceId(name),
            role=directory.Role.ENTRY,
            data_centre=identifiers.DataCentreId(data_centre),
            http_address=f'10.0.0.{number}:80',
            control_address=f'10.0.0.{number}:70',
        )
        return await self._start_entry(record)

    async def add_guard(
        self, target: str, service: str, data_centre: str = 'leeds'
    ) -> Member:
        number = next(self._ports)
        self.targets.setdefault(target, targets.FakeTarget(target))
        record = directory.InstanceRecord(
            instance=identifiers.InstanceId(f'guard-{target}'),
            role=directory.Role.GUARD,
            data_centre=identifiers.DataCentreId(data_centre),
            http_address=f'10.0.0.{number}:80',
            control_address=f'10.0.0.{number}:70',
            service=identifiers.ServiceId(service),
            target=identifiers.TargetId(target),
        )
        return await self._start_guard(record)

    async def restart(self, name: str) -> Member:
        """Replaces a killed process by a new one with empty memory."""
        record = self.members[name].record
        if record.role is directory.Role.ENTRY:
            return await self._start_entry(record)
        return await self._start_guard(record)

    def kill(self, name: str) -> None:
        self.members[name].host.kill()

    async def _start_entry(self, record: directory.InstanceRecord) -> Member:
        member = self._new_member(record)
        await member.host.spawn(member.fleet.join())
        member.hints = routing.HintStore(clock=member.clock)
        member.runner = entry.Runner(
            entry=record.instance,
            node=member.fleet.node,
            guards=networks.FakeGuardPort(self.network, member.host),
            chooser=routing.Chooser(
                entry=record.instance,
                fleet=member.fleet.fleet,
                hints=member.hints,
                generator=random.Random(self.random.random()),
            ),
            hints=member.hints,
            clock=member.clock,
            traces=member.traces,
        )
        return member

    async def _start_guard(self, record: directory.InstanceRecord) -> Member:
        member = self._new_member(record)
        await member.host.spawn(member.fleet.join())
        service = guard.GuardService(
            target_id=record.target,
            service_id=record.service,
            data_centre=record.data_centre,
            target=self.targets[record.target],
            node=member.fleet.node,
            clock=member.clock,
            address_of=member.fleet.fleet.control_address_of,
            is_current=member.fleet.pause_detector.is_current,
        )
        member.guard = service
        member.fleet.on_configuration = service.apply_configuration
        service.apply_configuration()
        self.network.guards[record.http_address] = (member.host, service)
        return member

    def _new_member(self, record: directory.InstanceRecord) -> Member:
        member = Member(self, record)
        self.members[record.instance] = member
        self.platform.records[record.instance] = record
        return member

    async def request(
        self,
        entry_name: str,
        *,
        service: str = 'booking',
        key: str | None = None,
        body: bytes = b'{}',
        timeout_ms: float = 5000,
        repeatable: bool = False,
        team: str = 'drivers',
    ) -> Reply:
        """Sends one request through an entry and waits for its outcome."""
        member = self.members[entry_name]
        new_id = identifiers.new_request_id(member.clock.wall_ms())
        reply = Reply(request_id=new_id, key=key, body=body)
        self.replies.append(reply)
        request = entry.CallerRequest(
            request_id=new_id,
            service=identifiers.ServiceId(service),
            team=identifiers.TeamId(team),
            model=None,
            method='POST',
            path='/bookings',
            content_type='application/json',
            body=body,
            key=None if key is None else identifiers.IdempotencyKey(key),
            repeatable=repeatable,
            deadline_ms=member.clock.now_ms() + timeout_ms,
        )
        if member.runner is None or member.host.dead:
            return reply
        died = asyncio.get_running_loop().create_future()
        member.host.on_death.append(
            lambda: died.done() or died.set_result(None)
        )
        work = member.host.spawn(member.runner.run(request, reply))
        await asyncio.wait({work, died}, return_when='FIRST_COMPLETED')
        if work.done():
            reply.outcome = work.result()
        return reply

    def new_key(self) -> str:
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        return identifiers.new_key(EPOCH_MS + now_ms)

    def runs_by_key(self) -> dict[str, int]:
        """Counts the runs of each key in all ledgers."""
        counts: dict[str, int] = {}
        for target in self.targets.values():
            for call in target.ran:
                if call.key is not None:
                    counts[call.key] = counts.get(call.key, 0) + 1
        return counts


def document(**changes: Any) -> dict[str, Any]:
    """Returns a configuration with one plain and one engine service."""
    content: dict[str, Any] = {
        'kind': 'configuration',
        'version': 1,
        'services': {
            'drafting': {
                'kind': 'engine',
                'models': ['slip'],
                'repeatable': [{'method': 'POST', 'path': '/*'}],
            },
            'booking': {
                'kind': 'plain',
                'targets': ['desk-1', 'desk-2', 'desk-3'],
                'policy': {'clock_error_ms': 100},
            },
        },
    }
    content.update(changes)
    return content


async def small_cluster(seed: int = 0, **changes: Any) -> Cluster:
    """Starts two entries, three desks and two engines."""
    cluster = Cluster(seed, document(**changes))
    for name, data_centre in zip(
        ('desk-1', 'desk-2', 'desk-3'), DATA_CENTRES, strict=True
    ):
        await cluster.add_guard(name, 'booking', data_centre)
    await cluster.add_guard('engine-1', 'drafting', 'leeds')
    await cluster.add_guard('engine-2', 'drafting', 'york')
    await cluster.add_entry('entry-1', 'leeds')
    await cluster.add_entry('entry-2', 'york')
    # Members discover each other, and later keys are newer than all guards.
    await asyncio.sleep(2)
    return cluster
