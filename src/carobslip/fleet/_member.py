"""One process as a member of the fleet."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from carobslip import (
    clocks,
    configuration,
    control,
    directory,
    identifiers,
    membership,
    observability,
    tasks,
)
from carobslip.fleet import _pause_detector, _platform_port, _watchers

_START_PEERS: Final = 3
_START_PAUSE_S: Final = 0.2
_START_POLL_S: Final = 0.01
_RETRY_S: Final = 0.5
_STANDBY_PERIODS: Final = 20
#: Interval at which the bytes of control messages are logged.
_TRAFFIC_LOG_S: Final = 5.0
_NEWEST: Final = (
    configuration.Adoption.ADOPTED,
    configuration.Adoption.SAME,
)


class FleetTimes(msgspec.Struct, frozen=True, kw_only=True):
    """Timing of platform reads and membership probes.

    Attributes:
        poll_ms: Time between two reads of the instance list by a watcher.
        watch_ms: How long the service may hold a watch request open.
        reader_roles: Roles that read the platform.
        lists_instances: The platform lists the system's own instances;
            where it does not, members are found through the seeds.
        probing: Timing of the membership protocol.
        fetch_pause_ms: Minimum time between the starts of two configuration
            fetches from peers.
    """

    poll_ms: int = 1000
    watch_ms: int = 10_000
    reader_roles: frozenset[directory.Role] = frozenset(directory.Role)
    lists_instances: bool = True
    probing: membership.ProberSettings = membership.ProberSettings()
    fetch_pause_ms: float = 0


class FleetMember:
    """Maintains the configuration, the instance list and the membership.

    The owning process registers handlers at :attr:`node`, then calls
    :meth:`join`, and :meth:`leave` before it stops.

    Args:
        record: This instance.
        transport: Carries control messages.
        platform: Reads the configuration and the instance list.
        clock: Monotonic and wall time.
        seeds: Control addresses of peers to ask when the list is missing.
        generator: Chooses peers.
        log: Receives events.
        metrics: Counts control traffic.
        times: Timing of platform reads and membership probes.
    """

    def __init__(
        self,
        *,
        record: directory.InstanceRecord,
        transport: control.Transport,
        platform: _platform_port.Platform,
        clock: clocks.Clock,
        seeds: Sequence[str],
        generator: random.Random,
        log: observability.EventLog,
        metrics: observability.Metrics | None = None,
        times: FleetTimes | None = None,
    ) -> None:
        self.record = record
        self.clock = clock
        self.log = log
        self._platform = platform
        self._seeds = seeds
        self._random = generator
        self._times = times or FleetTimes()
        self._supervisor = tasks.Supervisor(log=log, metrics=metrics)
        self._has_joined = False
        self._platform_answered = False
        self._not_adopted: tuple[int, int] | None = None
        self._is_started = False
        self._is_prepared = False
        self.on_configuration: Callable[[], None] = _do_nothing
        self.on_members: Callable[[], None] = _do_nothing
        incarnation = identifiers.Incarnation(clock.wall_ms() * 1000)
        self.holder = configuration.Holder(
            clock=clock,
            on_adopted=self._note_adopted,
        )
        self.node = control.Node(
            origin=control.Origin(
                instance=record.instance,
                incarnation=incarnation,
                control_address=record.control_address,
            ),
            holder=self.holder,
            transport=transport,
            metrics=metrics or observability.NoMetrics(),
            log=log,
            fetch_pause_ms=self._times.fetch_pause_ms,
        )
        self.table = membership.MemberTable(
            own=control.MemberUpdate(
                record=record,
                incarnation=incarnation,
                counter=0,
                state=control.MemberState.ALIVE,
            ),
            on_changed=self._note_member,
            owns_name=not self._times.lists_instances,
        )
        self.fleet = directory.Directory(is_usable=self.table.is_usable)
        self.fleet.add(record)
        self._prober = membership.Prober(
            node=self.node,
            table=self.table,
            clock=clock,
            settings=self._times.probing,
            generator=generator,
            seeds=() if self._times.lists_instances else seeds,
        )
        self.pause_detector = _pause_detector.PauseDetector(
            clock=clock,
            on_pause=self._note_pause,
        )

    @property
    def is_leaving(self) -> bool:
        """Tells whether this process or the platform announced its stop."""
        return self.table.own.state is control.MemberState.LEAVING

    @property
    def is_healthy(self) -> bool:
        """Whether no background task has failed recently."""
        return self._supervisor.is_healthy

    async def join(self) -> None:
        """Adopts the highest reachable configuration, then starts probing.

        Waits until a configuration has been found.
        """
        await self.prepare()
        if not self._has_joined:
            self._has_joined = True
            self._start_tasks()
        await self._prober.join()
        await self._prober.push()

    async def prepare(self) -> None:
        """Starts answering peers and waits for a configuration."""
        if not self._is_started:
            self._is_started = True
            await self.node.start()
        while not self._is_prepared:
            self._is_prepared = await self._gather_start_state()
            if not self._is_prepared:
                await asyncio.sleep(_START_PAUSE_S)

    def renew_record(self, record: directory.InstanceRecord) -> None:
        """Gossips a changed record of this process."""
        self.record = record
        self.fleet.add(record)
        self.table.renew_record(record)

    async def announce_leaving(self) -> None:
        """Announces to the fleet that this process is about to stop."""
        await self._prober.announce_leaving()

    async def close(self) -> None:
        """Stops all tasks and the control traffic."""
        await self._supervisor.close()
        await self.node.close()

    async def refresh(self) -> None:
        """Asks a few peers and the service for a higher configuration."""
        peers = self._peer_addresses()
        chosen = self._random.sample(peers, min(_START_PEERS, len(peers)))
        await asyncio.gather(
            *([self._read_service(wait_ms=0)] if self._reads_platform else []),
            *(self.node.synchronize_with(address) for address in chosen),
        )

    async def _gather_start_state(self) -> bool:
        if self._times.lists_instances:
            await self._read_list()
        # Stops waiting once the platform answers. Requests to peers continue in
        # the background, and a higher version is adopted when it arrives.
        refresh = self._supervisor.run_once(self.refresh())
        while not refresh.done() and not self._platform_answered:
            await asyncio.wait([refresh], timeout=_START_POLL_S)
        return self.holder.version > 0

    @property
    def _reads_platform(self) -> bool:
        return self.record.role in self._times.reader_roles

    def _peer_addresses(self) -> list[str]:
        listed = {
            record.control_address
            for record in self.fleet.instances()
            if self.table.is_usable(record.instance)
        }
        listed.update(self._seeds)
        listed.discard(self.record.control_address)
        return sorted(listed)

    async def _watch_configuration(self) -> None:
        while True:
            wait_ms = self._times.watch_ms
            if self._is_watcher():
                if not await self._read_service(wait_ms=wait_ms):
                    await asyncio.sleep(_RETRY_S)
                continue
            standby_s = wait_ms * self._random.uniform(1, 3) / 1000
            await self._wait_as_standby(standby_s)

    async def _wait_as_standby(self, duration_s: float) -> None:
        # The watchers may have died; their successors must take over soon.
        while duration_s > 0 and not self._is_watcher():
            await asyncio.sleep(_RETRY_S)
            duration_s -= _RETRY_S
        if duration_s <= 0:
            await self._read_service(wait_ms=0)

    def _is_watcher(self) -> bool:
        usable = [
            record
            for record in self.fleet.instances()
            if self.table.is_usable(record.instance)
            and record.role in self._times.reader_roles
        ]
        return _watchers.is_watcher(self.record, usable)

    async def _read_service(self, *, wait_ms: int) -> bool:
        """Reads the configuration; tells whether to ask again at once."""
        asked_ms = self.clock.now_ms()
        try:
            published = await self._platform.read_configuration(
                self.holder.version,
                wait_ms,
            )
        except _platform_port.PlatformUnavailable as fault:
            self._note_platform_unavailable(
                observability.Event.CONFIGURATION_UNAVAILABLE,
                str(fault),
            )
            return False
        self._note_platform_reached()
        if published is _platform_port.NoDocument.UNUSABLE:
            return False
        if published is _platform_port.NoDocument.UNCHANGED:
            self.holder.confirm(asked_ms)
        elif self._offer(published, asked_ms):
            return True
        # A service that answers without waiting has nothing new to tell;
        # asking it again without a pause would flood it.
        return self.clock.now_ms() - asked_ms >= _RETRY_S * 1000

    def _offer(
        self, published: _platform_port.PublishedDocument, asked_ms: float
    ) -> bool:
        """Offers what the service holds; tells whether it was adopted."""
        adoption = self.holder.offer(
            published.text,
            source='configuration service',
            era=published.era,
            revision=published.revision,
        )
        if adoption in _NEWEST:
            if published.is_settled:
                self.holder.confirm(asked_ms)
        else:
            self._note_not_adopted(published, adoption)
        return adoption is configuration.Adoption.ADOPTED

    def _note_not_adopted(
        self,
        published: _platform_port.PublishedDocument,
        adoption: configuration.Adoption,
    ) -> None:
        offered = published.era, published.revision
        if offered == self._not_adopted:
            return
        self._not_adopted = offered
        is_invalid = adoption is configuration.Adoption.INVALID
        self.log.write(
            observability.Event.CONFIGURATION_REFUSED
            if is_invalid
            else observability.Event.CONFIGURATION_NOT_ADOPTED,
            fault=self.holder.last_fault,
            era=published.era,
            revision=published.revision,
            unconfirmed_ms=round(self.holder.age_ms()),
        )

    async def _poll_list(self) -> None:
        periods = 0
        while True:
            await asyncio.sleep(self._times.poll_ms / 1000)
            periods += 1
            if self._is_watcher() or periods % _STANDBY_PERIODS == 0:
                await self._read_list()

    async def _read_list(self) -> None:
        try:
            records = await self._platform.read_instances()
        except _platform_port.PlatformUnavailable as fault:
            self._note_platform_unavailable(
                observability.Event.LIST_UNAVAILABLE,
                str(fault),
            )
            return
        self._merge_list(records)

    def _merge_list(
        self,
        records: Sequence[directory.InstanceRecord],
    ) -> None:
        listed = {record.instance for record in records}
        spread = [
            member.record
            for member in self.table
            if member.record.instance not in listed
            and member.state is not control.MemberState.DEAD
        ]
        self.fleet.replace_published([*spread, *records])
        for record in records:
            self.table.add_listed(record)
            self._merge_published_state(record)
        for member in list(self.table):
            gone = member.state is control.MemberState.DEAD
            if gone and member.record.instance not in listed:
                self.table.forget(member.record.instance)
        self.on_members()

    def _merge_published_state(
        self,
        record: directory.InstanceRecord,
    ) -> None:
        known = self.table.find(record.instance)
        leaving = record.state is directory.PublishedState.LEAVING
        if known is not None and leaving:
            self.table.merge(
                msgspec.structs.replace(
                    known,
                    state=control.MemberState.LEAVING,
                ),
            )

    def _note_adopted(self, adopted: configuration.Configuration) -> None:
        self.log.write(
            observability.Event.CONFIGURATION_ADOPTED,
            version=adopted.version,
            era=self.holder.order.era,
            revision=self.holder.order.revision,
            out=sorted(self.holder.withdrawn_data_centres()),
        )
        self.on_configuration()
        if self._has_joined:
            self._supervisor.run_once(self._prober.push())

    def _note_member(self, update: control.MemberUpdate) -> None:
        self.log.write(
            observability.Event.MEMBER_CHANGED,
            member=update.record.instance,
            state=update.state.value,
        )
        self.fleet.add(update.record)
        self.on_members()

    def _note_platform_unavailable(
        self, event: observability.Event, fault: str
    ) -> None:
        if self._platform_answered or not self._has_joined:
            self.log.write(event, fault=fault)
        self._platform_answered = False

    def _note_platform_reached(self) -> None:
        if not self._platform_answered:
            self.log.write(
                observability.Event.PLATFORM_REACHED,
                version=self.holder.version,
            )
        self._platform_answered = True

    async def _note_pause(self, pause_ms: float) -> None:
        self.log.write(
            observability.Event.PAUSE_NOTICED,
            pause_ms=round(pause_ms),
        )
        await self.refresh()

    async def _log_traffic(self) -> None:
        while True:
            await asyncio.sleep(_TRAFFIC_LOG_S)
            self.log.write(
                observability.Event.CONTROL_TRAFFIC,
                period_s=_TRAFFIC_LOG_S,
                bytes_by_type=self.node.traffic.take_bytes(),
            )

    def _start_tasks(self) -> None:
        run = self._supervisor.keep_running
        run(self._prober.run)
        if self._reads_platform:
            run(self._watch_configuration)
        if self._times.lists_instances:
            run(self._poll_list)
        run(self.pause_detector.run)
        run(self._log_traffic)


def _do_nothing() -> None:
    """Default of the callbacks."""
