"""The entry process that forwards requests directly to targets."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final

import aiomisc
import msgspec

from carobslip import (
    clocks,
    control,
    crashes,
    directory,
    fleet,
    forwarding,
    identifiers,
    membership,
    observability,
    targets,
    tasks,
)
from carobslip.adapters import control_nng
from carobslip.processes import (
    _crash_exchange,
    _drain,
    _entry_slots,
    _load_reception,
    _permit_exchange,
)

#: Probe period, and time from suspicion to removal. They are chosen so that a
#: dead entry is no longer among the returned addresses after 3 seconds.
FORWARDING_ENTRY_PROBER_SETTINGS: Final = membership.ProberSettings(
    period_ms=250,
    timeout_ms=150,
    suspicion_ms=1000,
)
#: Timeout of a long poll for the configuration; it bounds the error of the
#: configuration's age.
_WATCH_MS: Final = 1000
#: Interval at which start-up checks for the target list, and the number of
#: checks between two requests to peers for their list.
_LIST_POLL_S: Final = 0.01
_POLLS_PER_PEER_QUERY: Final = 40
_PEER_TIMEOUT_MS: Final = 250.0


class ForwardingEntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a forwarding entry.

    Attributes:
        instance: Name of the process, unique in the fleet.
        data_centre: Data centre where it runs.
        http_address: Address for callers' requests.
        control_address: Address for control messages.
        seeds: Control addresses of peers used to discover the fleet.
        rules: The operators' limits on forwarding.
        repeats: The operators' limit on retries.
        apply_ms: Time within which a published configuration must be in
            force.
        accept_ms: New requests are accepted this long after a stop began.
        stop_min_ms: Shortest duration of a stop, since callers cache
            addresses for a while.
        drain_ms: A stop ends after this time even if requests are in
            progress.
    """

    instance: identifiers.InstanceId
    data_centre: identifiers.DataCentreId
    http_address: str
    control_address: str
    seeds: tuple[str, ...] = ()
    rules: forwarding.ForwardingRules = forwarding.ForwardingRules()
    repeats: forwarding.RepeatBounds = forwarding.RepeatBounds()
    apply_ms: float = 2000
    accept_ms: float = 2500
    stop_min_ms: float = 6000
    drain_ms: float = 7200


class ForwardingAdapters(msgspec.Struct, frozen=True, kw_only=True):
    """Adapters through which a forwarding entry reaches other systems.

    Attributes:
        platform: Source of the operators' configuration.
        targets: Source of the target list.
        target_port: Calls targets.
        serve: Starts the servers for callers, and returns a function that
            stops them.
    """

    platform: fleet.Platform
    targets: targets.TargetListSource
    target_port: forwarding.TargetPort
    serve: Callable[
        ['ForwardingEntry'],
        Awaitable[Callable[[], Awaitable[None]]],
    ]


class ForwardingEntry(aiomisc.Service):
    """Forwards callers' requests until a planned stop.

    Args:
        own: Settings of this process.
        connect: Builds the adapters, inside the running loop.
        metrics: Receives counts and times.
    """

    def __init__(
        self,
        *,
        own: ForwardingEntrySettings,
        connect: Callable[['ForwardingEntry'], ForwardingAdapters],
        metrics: observability.Metrics,
    ) -> None:
        super().__init__()
        self.own = own
        self.metrics = metrics
        self._connect = connect
        self._stop_began_ms: float | None = None

    async def start(self) -> None:
        """Refuses requests at first; serves them once the fleet is known."""
        own = self.own
        self.clock = clocks.SystemClock()
        self.log = observability.EventLog(instance=own.instance)
        self._supervisor = tasks.Supervisor(log=self.log, metrics=self.metrics)
        adapters = self._connect(self)
        self._target_source = adapters.targets
        self.member = self._new_member(adapters.platform)
        self.book = targets.TargetRegistry(
            clock=self.clock,
            log=self.log,
            on_changed=self._on_targets_changed,
        )
        generator = random.Random()
        self.loads = forwarding.LoadTracker(
            clock=self.clock,
            generator=generator,
            data_centre=own.data_centre,
        )
        self._budget = forwarding.RepeatBudget(
            bounds=own.repeats,
            entries=self._known_entries,
            clock=self.clock,
            started_ms=self.clock.now_ms(),
        )
        self._crash_watch = self._watch_crashes(adapters.target_port)
        context = forwarding.ProcessContext(
            clock=self.clock,
            generator=generator,
            log=self.log,
            metrics=self.metrics,
        )
        self._slots = _entry_slots.EntrySlots(
            member=self.member,
            candidates=lambda service: self.forwarder.candidates(service),
            cold_rps=lambda service: self.forwarder.cold_rps(service),
            pass_figures=lambda service: self.forwarder.pass_figures(service),
            contended=lambda: self.forwarder.contended_services,
            context=context,
        )
        self.forwarder = forwarding.Forwarder(
            holder=self.member.holder,
            registry=self.book,
            loads=self.loads,
            port=adapters.target_port,
            fleet=forwarding.FleetView(
                entries=self._count_entries,
                is_current=self.member.pause_detector.is_current,
                position=self._position_among_entries,
                cold_share=self._slots.shares.own_share,
            ),
            rules=own.rules,
            shared=forwarding.SharedLimits(
                budget=self._budget,
                permits=self._share_rates(),
                slots=self._slots.port,
            ),
            crash_watch=self._crash_watch,
            context=context,
        )
        _load_reception.GroupLoadReceiver(
            node=self.member.node,
            registry=self.book,
            loads=self.loads,
            forwarder=self.forwarder,
            server=self._slots.server,
            entries=self._count_entries,
            log=self.log,
        )
        self.member.on_configuration = self._apply_configuration
        self.member.node.register_handler(
            control.FetchTargets, self._answer_targets
        )
        self._stop_serving = await adapters.serve(self)
        self._supervisor.keep_running(self._follow_target_list)
        self._supervisor.run_to_end(self._join)

    async def stop(self, exception: Exception | None = None) -> None:
        """Drains requests in progress, then stops."""
        own = self.own
        began_ms = self.clock.now_ms()
        self._stop_began_ms = began_ms
        self.log.write(
            observability.Event.DRAIN_STARTED,
            in_progress=self.forwarder.in_progress,
        )
        asyncio.get_running_loop().call_later(
            self._accept_ms / 1000, self.forwarder.stop_accepting
        )
        await self.member.announce_leaving()
        await _drain.wait_until_idle(
            lambda: (
                self.clock.now_ms() - began_ms >= own.stop_min_ms
                and self.forwarder.in_progress == 0
            ),
            drain_ms=int(own.drain_ms),
            clock=self.clock,
            log=self.log,
        )
        await self._stop_serving()
        await self._supervisor.close()
        await self._crash_exchange.close()
        await self._slots.close()
        await self.member.close()

    def apply_bounds(
        self,
        rules: forwarding.ForwardingRules,
        repeats: forwarding.RepeatBounds,
    ) -> None:
        """Replaces the operators' limits with immediate effect."""
        self.forwarder.rules = rules
        self._budget.bounds = repeats

    def keep_running(self, work: Callable[[], Awaitable[None]]) -> None:
        """Runs an adapter's work until the process stops."""
        self._supervisor.keep_running(work)

    def run_to_end(self, work: Callable[[], Awaitable[None]]) -> None:
        """Runs an adapter's work that ends by itself."""
        self._supervisor.run_to_end(work)

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._stop_began_ms is not None

    @property
    def is_accepting(self) -> bool:
        """Whether a new request can still complete before the stop ends."""
        if self._stop_began_ms is None:
            return True
        stopping_ms = self.clock.now_ms() - self._stop_began_ms
        return stopping_ms < self._accept_ms

    @property
    def _accept_ms(self) -> float:
        own = self.own
        return min(own.accept_ms, _drain.accept_ms(own.drain_ms))

    @property
    def is_ready(self) -> bool:
        """Whether callers should use this entry."""
        current = self.member.pause_detector.is_current()
        informed = self._crash_watch.is_informed
        is_able = self.forwarder.is_ready and informed and current
        is_healthy = self._supervisor.is_healthy and self.member.is_healthy
        return is_able and is_healthy and not self.is_stopping

    def update_gauges(self) -> None:
        """Updates the gauge metrics."""
        forwarder = self.forwarder
        holder = self.member.holder
        self.metrics.level('in_progress', forwarder.in_progress)
        self.metrics.level('configuration_version', holder.version)
        self.metrics.level('configuration_age_ms', holder.age_ms())
        self.metrics.level('targets', len(self.book))
        self.metrics.level('entries', self._count_entries())
        dropped = self._transport.dropped_total
        self.metrics.level('control_answers_dropped', dropped)

    def addresses_for(
        self,
        data_centre: identifiers.DataCentreId,
        limit: int,
    ) -> list[str]:
        """Returns entry addresses for the callers of a data centre.

        Args:
            data_centre: Data centre of the callers.
            limit: Largest number of addresses to return.
        """
        alive = self._alive_entries() or self.member.fleet.entries()
        near = [record for record in alive if record.data_centre == data_centre]
        far = [record for record in alive if record not in near]
        random.shuffle(near)
        random.shuffle(far)
        # A single near entry would get all callers of its data centre.
        chosen = near if len(near) > 1 else [*near, *far]
        return [record.http_address for record in chosen[:limit]]

    def _apply_configuration(self) -> None:
        self.forwarder.apply_configuration()
        self._slots.shares.note_changed()

    def _known_entries(self) -> list[identifiers.InstanceId]:
        return [record.instance for record in self.member.fleet.entries()]

    def _position_among_entries(self) -> int:
        own = self.own.instance
        return sum(name < own for name in self._known_entries())

    def _count_entries(self) -> int:
        return len(self.member.fleet.entries())

    def _is_alive(self, record: directory.InstanceRecord) -> bool:
        if record.instance == self.own.instance:
            return self.is_ready
        known = self.member.table.find(record.instance)
        return known is None or known.state is control.MemberState.ALIVE

    def _new_member(self, platform: fleet.Platform) -> fleet.FleetMember:
        own = self.own
        control_nng.limit_threads()
        self._transport = control_nng.NngTransport()
        return fleet.FleetMember(
            record=directory.InstanceRecord(
                instance=own.instance,
                role=directory.Role.ENTRY,
                data_centre=own.data_centre,
                http_address=own.http_address,
                control_address=own.control_address,
            ),
            transport=self._transport,
            platform=platform,
            clock=self.clock,
            seeds=own.seeds,
            generator=random.Random(),
            log=self.log,
            metrics=self.metrics,
            times=fleet.FleetTimes(
                watch_ms=_WATCH_MS,
                apply_ms=own.apply_ms,
                reader_roles=frozenset((directory.Role.ENTRY,)),
                lists_instances=False,
                probing=FORWARDING_ENTRY_PROBER_SETTINGS,
            ),
        )

    async def _join(self) -> None:
        await asyncio.gather(
            self.member.prepare(),
            self._wait_for_targets(),
            self._learn_crashes(),
        )
        await self.member.join()
        self.log.write(
            observability.Event.PROCESS_STARTED,
            version=self.member.holder.version,
            targets=len(self.book),
        )

    def _watch_crashes(
        self, port: forwarding.TargetPort
    ) -> forwarding.CrashWatch:
        ledger = crashes.CrashLedger(clock=self.clock, log=self.log)
        self._crash_exchange = _crash_exchange.CrashExchange(
            node=self.member.node,
            ledger=ledger,
            peers=self._peer_addresses,
            clock=self.clock,
            log=self.log,
        )
        return forwarding.CrashWatch(
            ledger=ledger,
            gate=crashes.PromptGate(
                ledger=ledger,
                clock=self.clock,
                position=lambda parts: _crash_exchange.position_among(
                    self.own.instance, self._known_entries(), parts
                ),
            ),
            registry=self.book,
            port=port,
            consult=self._crash_exchange.consult,
        )

    def _share_rates(self) -> forwarding.PermitGate:
        return forwarding.PermitGate(
            limits=forwarding.RateLimits(clock=self.clock, log=self.log),
            port=_permit_exchange.PermitExchange(
                node=self.member.node,
                issuer=forwarding.PermitIssuer(clock=self.clock),
                entries=self._alive_entries,
                clock=self.clock,
                log=self.log,
            ),
            clock=self.clock,
        )

    def _alive_entries(self) -> list[directory.InstanceRecord]:
        return [
            record
            for record in self.member.fleet.entries()
            if self._is_alive(record)
        ]

    def _peer_addresses(self) -> list[str]:
        return [
            record.control_address
            for record in self.member.fleet.entries()
            if record.instance != self.own.instance
        ]

    async def _learn_crashes(self) -> None:
        seeds = set(self.own.seeds) - {self.own.control_address}
        await self._crash_exchange.learn(seeds)
        self._crash_watch.note_informed()

    async def _wait_for_targets(self) -> None:
        """Waits until the target list or a peer has supplied targets."""
        seeds = sorted(set(self.own.seeds) - {self.own.control_address})
        polls = 0
        while len(self.book) == 0:
            await asyncio.sleep(_LIST_POLL_S)
            polls += 1
            if seeds and polls % _POLLS_PER_PEER_QUERY == 0:
                # Querying all seeds would transfer the whole list several times.
                await self._fetch_peer_targets(random.choice(seeds))

    async def _fetch_peer_targets(self, address: str) -> None:
        try:
            answer = await self.member.node.ask(
                address,
                control.FetchTargets(),
                answer=control.TargetList,
                timeout_ms=_PEER_TIMEOUT_MS,
            )
        except control.PeerUnreachable as fault:
            self.log.write(
                observability.Event.PEER_SILENT,
                address=address,
                fault=str(fault),
            )
            return
        self.book.adopt(answer.snapshot)

    async def _follow_target_list(self) -> None:
        async for update in self._target_source.follow():
            self.book.apply(update)

    def _on_targets_changed(self) -> None:
        listed = [record.target for record in self.book.records]
        self.loads.drop_unlisted(listed)
        self._slots.server.drop_unlisted(listed)
        self.forwarder.stalls.drop_unlisted(listed)
        self.forwarder.admission.permits.drop_unlisted(listed)
        self.forwarder.admission.recheck_queues()

    async def _answer_targets(
        self,
        request: control.FetchTargets,
        origin: control.Origin,
    ) -> control.TargetList:
        return control.TargetList(
            snapshot=targets.TargetSnapshot(
                records=self.book.records,
                revision=self.book.revision,
            ),
        )
