"""The guard process beside an engine of a lock-step group.

Callers reach engines only through entries, so this guard forwards no
requests. It reports its engine's state to the group's coordinator, and is the
coordinator itself if its rank is the lowest one that answers.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final

import aiomisc
import msgspec

from carobslip import (
    clocks,
    configuration,
    control,
    directory,
    expertmap,
    fleet,
    identifiers,
    membership,
    observability,
    tasks,
)
from carobslip.adapters import control_nng
from carobslip.processes import _group_load, _group_peers

#: Period of the reports while the engine's group is unknown.
_PERIOD_S: Final = 0.1
_FAILURES_MAX: Final = 2
#: After more failed reports than this in a row, the engine counts as gone, and
#: another one may have taken over its rank.
_FAILURES_GONE: Final = 12
_PUSH_TIMEOUT_MS: Final = 100.0
#: A guard uses little of a configuration and has a low-bandwidth link.
_FETCH_PAUSE_MS: Final = 1000.0
#: Guards probe less often than entries: callers do not depend on them.
GROUP_GUARD_PROBER_SETTINGS: Final = membership.ProberSettings(
    period_ms=500,
    timeout_ms=150,
    suspicion_ms=1000,
)


class GroupGuardSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a group's guard.

    Attributes:
        instance: Name of the process, unique in the fleet.
        data_centre: Data centre where it runs.
        control_address: Address for control messages.
        engine_address: Address of the engine beside it.
        service: Service that the engine provides.
        seeds: Control addresses of entries.
        engines_fence: Whether engines refuse orders with a lower fencing number
            than one that they have seen.
    """

    instance: identifiers.InstanceId
    data_centre: identifiers.DataCentreId
    control_address: str
    engine_address: str
    service: identifiers.ServiceId
    seeds: tuple[str, ...] = ()
    engines_fence: bool = False


class _NoPlatform:
    """Refuses all reads: a guard gets its configuration from entries."""

    async def read_configuration(
        self,
        after_version: int,
        wait_ms: int,
    ) -> fleet.PublishedDocument | fleet.NoDocument:
        """Refuses; guards are no readers of the platform."""
        raise fleet.PlatformUnavailable('guards do not read the platform')

    async def read_instances(self) -> tuple[directory.InstanceRecord, ...]:
        """Refuses; guards are no readers of the platform."""
        raise fleet.PlatformUnavailable('guards do not read the platform')


class GroupGuard(aiomisc.Service):
    """Takes part in the expert map switches of its engine's group.

    Args:
        own: Settings of this process.
        engine_at: Returns a client for the engine at an address.
        metrics: Receives counts and times.
        on_started: Called inside the running loop.
        transport: Sends and receives control messages.
        clock: Monotonic and wall time.
        generator: Random choice of peers.
    """

    def __init__(
        self,
        *,
        own: GroupGuardSettings,
        engine_at: Callable[[str], expertmap.EngineControl],
        metrics: observability.Metrics,
        on_started: Callable[['GroupGuard'], None] | None = None,
        transport: control.Transport | None = None,
        clock: clocks.Clock | None = None,
        generator: random.Random | None = None,
    ) -> None:
        super().__init__()
        self._transport = transport
        self._clock = clock or clocks.SystemClock()
        self._random = generator or random.Random()
        self._on_started = on_started
        self._own = own
        self._engine_at = engine_at
        self._metrics = metrics
        self._sequence = 0
        self._counts: expertmap.ExpertCounts | None = None
        self._counts_writer = expertmap.CountsWriter()
        self._layouts = expertmap.LayoutReader()
        self._group_coordinator: expertmap.GroupCoordinator | None = None
        self._push_failures: dict[identifiers.InstanceId, int] = {}
        self._coordinator_name = ''
        self._report: expertmap.RankReport | None = None
        self._report_failures = 0
        self._periods = 0
        self._load_due_ms = 0.0
        self._published_open = True
        self._contention: tuple[configuration.Forwarding, bool] | None = None

    async def start(self) -> None:
        """Starts the task that joins the fleet and polls the engine."""
        own = self._own
        control_nng.limit_threads()
        self.log = observability.EventLog(instance=own.instance)
        self._supervisor = tasks.Supervisor(log=self.log, metrics=self._metrics)
        self._engine = self._engine_at(own.engine_address)
        self.rank_guard = expertmap.RankGuard(engine=self._engine)
        self._member = fleet.FleetMember(
            record=directory.InstanceRecord(
                instance=own.instance,
                role=directory.Role.GUARD,
                data_centre=own.data_centre,
                http_address=own.engine_address,
                control_address=own.control_address,
                service=own.service,
                target=identifiers.TargetId(own.engine_address),
            ),
            transport=self._transport or control_nng.NngTransport(),
            platform=_NoPlatform(),
            clock=self._clock,
            seeds=own.seeds,
            generator=self._random,
            log=self.log,
            metrics=self._metrics,
            times=fleet.FleetTimes(
                reader_roles=frozenset((directory.Role.ENTRY,)),
                lists_instances=False,
                probing=GROUP_GUARD_PROBER_SETTINGS,
                fetch_pause_ms=_FETCH_PAUSE_MS,
            ),
        )
        self._peers = _group_peers.GroupPeers(
            instance=own.instance,
            member=self._member,
            engine_at=self._engine_at,
            rank_guard=self.rank_guard,
            clock=self._clock,
            log=self.log,
        )
        self._load_publisher = _group_load.GroupLoadPublisher(
            node=self._member.node,
            metrics=self._metrics,
            supervisor=self._supervisor,
        )
        self._member.node.register_handler(
            control.RankNewsPush, self._on_rank_update
        )
        self._member.node.register_handler(control.OrderRank, self._on_order)
        self._supervisor.run_to_end(self._join)
        if self._on_started is not None:
            self._on_started(self)

    def keep_running(self, work: Callable[[], Awaitable[None]]) -> None:
        """Runs an adapter's work until the process stops."""
        self._supervisor.keep_running(work)

    def run_to_end(self, work: Callable[[], Awaitable[None]]) -> None:
        """Runs an adapter's work that ends by itself."""
        self._supervisor.run_to_end(work)

    async def stop(self, exception: Exception | None = None) -> None:
        """Ends a switch in progress, then stops."""
        self.log.write(observability.Event.DRAIN_STARTED)
        await self._supervisor.close()
        if self._group_coordinator is not None:
            await self._group_coordinator.close()
        await self._member.announce_leaving()
        await self._member.close()

    async def _join(self) -> None:
        await self._read_first_report()
        await self._member.join()
        self.log.write(
            observability.Event.PROCESS_STARTED,
            version=self._member.holder.version,
        )
        self._supervisor.keep_running(self._follow_engine)

    async def _follow_engine(self) -> None:
        while True:
            try:
                self._report = await self._engine.report()
                if self._report is not None:
                    await self._handle_report(self._report)
                self._report_failures = 0
            except expertmap.EngineUnavailable as fault:
                await self._on_engine_unavailable(str(fault))
            await asyncio.sleep(self._period_s())

    def _period_s(self) -> float:
        if self._report is None or self._report_failures:
            return _PERIOD_S
        times = expertmap.group_times(self._report.size)
        return times.report_period_ms / 1000

    async def _read_first_report(self) -> None:
        """Reads group and rank before the first message to peers needs them."""
        try:
            self._report = await self._engine.report()
        except expertmap.EngineUnavailable as fault:
            self.log.write(observability.Event.ENGINE_SILENT, fault=str(fault))
        if self._report is not None:
            self._renew_record(self._report.group, self._report.rank)

    async def _on_engine_unavailable(self, fault: str) -> None:
        self._metrics.count('engine_silent')
        self._report_failures += 1
        if self._counts is not None:
            self.log.write(observability.Event.ENGINE_SILENT, fault=fault)
        self._counts = None
        report = self._report
        if report is None or self._report_failures < _FAILURES_MAX:
            return
        if self._report_failures > _FAILURES_GONE:
            self._report = None
            self._renew_record(None, None)
            return
        # The group stalls without this rank, and no other guard sees it yet.
        await self._handle_report(
            msgspec.structs.replace(report, is_open=False)
        )

    async def _handle_report(self, report: expertmap.RankReport) -> None:
        """Sends a report to the coordinator, or acts as coordinator."""
        self._periods += 1
        figures = self._engine_figures()
        if figures is not None:
            planning = self._plan_settings(figures, report.size)
            self.rank_guard.expert_copy_ms = (
                figures.expert_copy_ms
                if planning is None
                else planning.guard_copy_ms
            )
        self._renew_record(report.group, report.rank)
        update = expertmap.RankUpdate(
            report=report,
            sequence=self._next_sequence(),
            counts=await self._counts_if_counting(report),
            address=self._own.engine_address,
        )
        coordinator = self._choose_coordinator(report)
        if coordinator is None:
            await self._coordinate(report, update)
        else:
            await self._push(coordinator, update)

    def _renew_record(
        self,
        group: identifiers.GroupId | None,
        rank: int | None,
    ) -> None:
        record = self._member.record
        if (record.group, record.rank) != (group, rank):
            self._member.renew_record(
                msgspec.structs.replace(record, group=group, rank=rank),
            )

    async def _counts_if_counting(self, report: expertmap.RankReport) -> bytes:
        """Returns the encoded expert counts of a counting rank, else b''."""
        interval = expertmap.group_times(report.size).counting_interval
        is_counting = report.rank % interval == 0
        return (
            await self._new_counts() if report.is_open and is_counting else b''
        )

    async def _new_counts(self) -> bytes:
        """Returns the encoded expert counts since the last call."""
        before = self._counts
        now = await self._engine.counts()
        self._counts = now
        if before is None or len(before.counts) != len(now.counts):
            return b''
        grown = [
            new - old
            for old, new in zip(before.counts, now.counts, strict=True)
        ]
        # The counts of a restarted engine begin at zero.
        if min(grown, default=0) < 0:
            return b''
        return self._counts_writer.write(grown)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _choose_coordinator(
        self,
        report: expertmap.RankReport,
    ) -> directory.InstanceRecord | None:
        """Returns the answering guard of lowest rank; None for this one."""
        chosen: directory.InstanceRecord | None = None
        for rank, record in sorted(self._peers.usable(report.group).items()):
            if rank < report.rank and not self._peers.is_skipped(record):
                chosen = record
                break
        name = self._own.instance if chosen is None else chosen.instance
        if name != self._coordinator_name:
            self._coordinator_name = name
            self.log.write(
                observability.Event.GROUP_CHANGED,
                group=report.group,
                epoch=report.epoch,
                coordinator=name,
                is_open=report.is_open,
            )
        return chosen

    async def _push(
        self,
        coordinator: directory.InstanceRecord,
        update: expertmap.RankUpdate,
    ) -> None:
        self._group_coordinator = None
        name = coordinator.instance
        try:
            await self._member.node.ask(
                coordinator.control_address,
                control.RankNewsPush(update=update),
                answer=control.Noted,
                timeout_ms=_PUSH_TIMEOUT_MS,
            )
        except control.PeerUnreachable as fault:
            failures = self._push_failures.get(name, 0) + 1
            self._push_failures[name] = failures
            if failures >= _FAILURES_MAX:
                self._peers.skip(coordinator, str(fault))
            return
        self._push_failures[name] = 0

    async def _coordinate(
        self,
        report: expertmap.RankReport,
        update: expertmap.RankUpdate,
    ) -> None:
        group_coordinator = self._get_or_create_group_coordinator(report)
        settings = self._group_coordinator_settings(report.size)
        group_coordinator.settings = settings
        self._peers.sends_compact = (
            settings is not None and settings.planning is not None
        )
        group_coordinator.record_update(update)
        group_coordinator.probe_and_rebalance()
        self._publish_load_if_due(group_coordinator, report.size)

    def _get_or_create_group_coordinator(
        self, report: expertmap.RankReport
    ) -> expertmap.GroupCoordinator:
        group_coordinator = self._group_coordinator
        if group_coordinator is None or group_coordinator.group != report.group:
            group_coordinator = expertmap.GroupCoordinator(
                group=report.group,
                size=report.size,
                own_rank=report.rank,
                ranks=_group_peers.RanksByControl(
                    peers=self._peers,
                    group=report.group,
                    own_rank=report.rank,
                ),
                clock=self._clock,
                log=self.log,
                engines_fence=self._own.engines_fence,
            )
            self._group_coordinator = group_coordinator
        return group_coordinator

    def _group_coordinator_settings(
        self,
        size: int,
    ) -> expertmap.GroupCoordinatorSettings | None:
        engine = self._engine_figures()
        if engine is None or not engine.expert_sets:
            return None
        return expertmap.GroupCoordinatorSettings(
            sets=engine.expert_sets,
            experts=engine.experts_per_set,
            slots=engine.slots,
            bounds=expertmap.BalanceBounds(
                places_per_rank=engine.places_per_rank,
                copies_per_rank=expertmap.copies_per_switch(
                    size=size,
                    expert_copy_ms=engine.expert_copy_ms,
                    new_experts_max=engine.new_experts_max,
                ),
            ),
            planning=self._plan_settings(engine, size),
        )

    def _plan_settings(
        self,
        engine: configuration.EngineFigures,
        size: int,
    ) -> expertmap.PlanSettings | None:
        """Returns how maps are planned; None if the service lacks contention."""
        if not self._is_contended():
            return None
        return expertmap.plan_settings(
            size=size,
            places_per_rank=engine.places_per_rank,
            expert_copy_ms=engine.expert_copy_ms,
            new_experts_max=engine.new_experts_max,
        )

    def _is_contended(self) -> bool:
        """Tells whether the service is contended.

        The answer is kept for each configuration, which may have thousands of
        routes; reports are several a second.
        """
        table = self._member.holder.configuration.forwarding
        if self._contention is None or self._contention[0] is not table:
            is_contended = self._own.service in table.contended_services
            self._contention = table, is_contended
        return self._contention[1]

    def _engine_figures(self) -> configuration.EngineFigures | None:
        table = self._member.holder.configuration.forwarding
        for service in table.services:
            if service.service == self._own.service:
                return service.engine
        return None

    def _publish_load_if_due(
        self,
        group_coordinator: expertmap.GroupCoordinator,
        size: int,
    ) -> None:
        """Publishes the load once a load period, and a stall at once."""
        now_ms = self._clock.now_ms()
        is_open = not group_coordinator.is_broken
        if now_ms < self._load_due_ms and is_open is self._published_open:
            return
        times = expertmap.group_times(size)
        # Half a report period of tolerance, as this runs once a period.
        self._load_due_ms = (
            now_ms + times.load_period_ms - times.report_period_ms / 2
        )
        self._published_open = is_open
        self._load_publisher.publish(
            self._member.fleet.entries(),
            _group_load.load_message(
                group_coordinator.group,
                group_coordinator.loads(),
                is_open=is_open,
                times=times,
                pass_ms=group_coordinator.pass_ms,
                slowest_pace=group_coordinator.slowest_pace,
            ),
        )

    async def _on_rank_update(
        self,
        push: control.RankNewsPush,
        origin: control.Origin,
    ) -> control.Noted:
        group_coordinator = self._group_coordinator
        if (
            group_coordinator is not None
            and group_coordinator.group == push.update.report.group
        ):
            group_coordinator.record_update(push.update)
        return control.Noted()

    async def _on_order(
        self,
        request: control.OrderRank,
        origin: control.Origin,
    ) -> control.RankOrdered:
        order = request.order
        if request.layout is not None:
            layout = self._layouts.read(request.layout)
            if layout is None:
                return control.RankOrdered(
                    answer=expertmap.RankAnswer(end=expertmap.OrderEnd.LOST),
                    lacks_layout=True,
                    reads_compact=True,
                )
            order = msgspec.structs.replace(order, layout=layout)
        if request.group is None or request.rank is None:
            answer = await self.rank_guard.order(order)
        else:
            answer = await self._arm_coordinator(request.group, order)
        return control.RankOrdered(answer=answer, reads_compact=True)

    async def _arm_coordinator(
        self,
        group: identifiers.GroupId,
        order: expertmap.RankOrder,
    ) -> expertmap.RankAnswer:
        peer = self._peers.find_rank(group, order.coordinator_rank)
        if peer is None:
            return expertmap.RankAnswer(end=expertmap.OrderEnd.LOST)
        engine = self._engine_at(peer.http_address)
        return await self.rank_guard.arm_coordinator(order, engine)
