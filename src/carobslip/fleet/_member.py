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
from carobslip.fleet import (
    _configuration_follower,
    _configuration_reader,
    _pause_detector,
    _platform_port,
    _read_times,
    _watchers,
)

_START_PEERS: Final = 3
_START_PAUSE_S: Final = 0.2
_START_POLL_S: Final = 0.01
_STANDBY_PERIODS: Final = 20
#: Interval at which the bytes of control messages are logged.
_TRAFFIC_LOG_S: Final = 5.0


class FleetTimes(msgspec.Struct, frozen=True, kw_only=True):
    """Timing of platform reads and membership probes.

    Attributes:
        poll_ms: Time between two reads of the instance list by a watcher.
        watch_ms: How long the service may hold a watch request open.
        apply_ms: Time within which a published configuration must be in
            force; it bounds ``watch_ms``.
        reader_roles: Roles that read the platform.
        lists_instances: The platform lists the system's own instances;
            where it does not, members are found through the seeds.
        probing: Timing of the membership protocol.
        fetch_pause_ms: Minimum time between the starts of two configuration
            fetches from peers.
    """

    poll_ms: int = 1000
    watch_ms: int = 10_000
    apply_ms: float = 40_000
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
        self._is_started = False
        self._is_prepared = False
        self.on_configuration: Callable[[], None] = _do_nothing
        self.on_members: Callable[[], None] = _do_nothing
        self.on_pause: Callable[[], None] = _do_nothing
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
        self._reader = _configuration_reader.ConfigurationReader(
            platform=platform,
            holder=self.holder,
            clock=clock,
            log=log,
        )
        self._follower = _configuration_follower.ConfigurationFollower(
            own=record.instance,
            readers=self._readers_of_data_centre,
            reader=self._reader,
            node=self.node,
            times=_read_times.ReadTimes.derive(
                watch_ms=self._times.watch_ms, apply_ms=self._times.apply_ms
            ),
            generator=generator,
            log=log,
            metrics=metrics,
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
            self._reader.note_joined()
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
            *([self._reader.read(wait_ms=0)] if self._reads_platform else []),
            *(self.node.synchronize_with(address) for address in chosen),
        )

    async def _gather_start_state(self) -> bool:
        if self._times.lists_instances:
            await self._read_list()
        # Stops waiting once the platform answers. Requests to peers continue in
        # the background, and a higher version is adopted when it arrives.
        refresh = self._supervisor.run_once(self.refresh())
        while not refresh.done() and not self._reader.platform_answered:
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

    def _readers_of_data_centre(self) -> list[directory.InstanceRecord]:
        usable = [
            member
            for member in self.fleet.instances()
            if self.table.is_usable(member.instance)
            and member.role in self._times.reader_roles
        ]
        return _watchers.rank_readers(self.record, usable)

    def _is_watcher(self) -> bool:
        return _watchers.is_watcher(
            self.record.instance, self._readers_of_data_centre()
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
            self._reader.note_unavailable(
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

    async def _note_pause(self, pause_ms: float) -> None:
        self.log.write(
            observability.Event.PAUSE_NOTICED,
            pause_ms=round(pause_ms),
        )
        self.on_pause()
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
            run(self._follower.run)
        if self._times.lists_instances:
            run(self._poll_list)
        run(self.pause_detector.run)
        run(self._log_traffic)


def _do_nothing() -> None:
    """Default of the callbacks."""
