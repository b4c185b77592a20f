"""The entry process where entries send requests straight to targets."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final

import aiomisc
import msgspec

from carobslip import (
    clocks,
    control,
    directory,
    fleet,
    forwarding,
    identifiers,
    membership,
    observability,
    targets,
)
from carobslip.adapters import control_nng
from carobslip.processes import _drain, _entry_news

#: Peers are probed this often, and given up this long after a suspicion, so
#: that an entry which died is out of the answers on addresses in 3 seconds.
PROBING: Final = membership.ProberSettings(
    period_ms=250,
    timeout_ms=150,
    suspicion_ms=1000,
)
#: A waiting read of the configuration returns after this time at the latest;
#: the age of the configuration is known as exactly as that.
_WATCH_MS: Final = 1000
#: The list is waited for at this interval; peers are asked for theirs when it
#: has not come after so many looks.
_LIST_LOOK_S: Final = 0.01
_LOOKS_PER_ASK: Final = 40
_PEER_TIMEOUT_MS: Final = 250.0
#: Targets of a group that does not work are avoided until the next news.
_GROUP_AVOID_MS: Final = 500.0


class ForwardingEntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a forwarding entry needs to know about itself.

    Attributes:
        instance: Name of the process, unique in the fleet.
        data_centre: Where it runs.
        http_address: Where it takes callers' requests.
        control_address: Where it takes control messages.
        seeds: Control addresses of peers to find the others through.
        rules: The operators' bounds on forwarding.
        repeats: The operators' bound on repeats.
        accept_ms: New requests are taken this long after a stop began.
        linger_ms: A stop takes at least this long, since callers keep
            addresses for a while.
        drain_ms: A stop ends after this time whatever is in progress.
    """

    instance: identifiers.InstanceId
    data_centre: identifiers.DataCentreId
    http_address: str
    control_address: str
    seeds: tuple[str, ...] = ()
    rules: forwarding.ForwardingRules = forwarding.ForwardingRules()
    repeats: forwarding.RepeatBounds = forwarding.RepeatBounds()
    accept_ms: float = 2500
    linger_ms: float = 6000
    drain_ms: float = 7200


class ForwardingAdapters(msgspec.Struct, frozen=True, kw_only=True):
    """What connects a forwarding entry to its surroundings.

    Attributes:
        platform: The operators' configuration.
        targets: The published list of targets.
        target_port: Calls targets.
        serve: Starts the servers that callers use, and returns how to stop
            them.
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
        metrics: Takes counts and times.
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
        self._groups: dict[identifiers.GroupId, bool] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Serves refusals at once, and requests once the fleet is known."""
        own = self.own
        self.clock = clocks.SystemClock()
        self.log = observability.EventLog(instance=own.instance)
        adapters = self._connect(self)
        self.member = self._new_member(adapters.platform)
        self.book = targets.TargetBook(
            clock=self.clock,
            log=self.log,
            on_changed=self._note_targets,
        )
        generator = random.Random()
        self.loads = forwarding.LoadBook(
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
        self.forwarder = forwarding.Forwarder(
            holder=self.member.holder,
            book=self.book,
            loads=self.loads,
            port=adapters.target_port,
            fleet=forwarding.FleetView(
                entries=self._count_entries,
                is_current=self.member.pause_detector.is_current,
            ),
            rules=own.rules,
            budget=self._budget,
            tools=forwarding.Tools(
                clock=self.clock,
                generator=generator,
                log=self.log,
                metrics=self.metrics,
            ),
        )
        self._group_members = _entry_news.GroupMembers()
        self.member.on_configuration = self.forwarder.apply_configuration
        self.member.node.on(control.FetchTargets, self._answer_targets)
        self.member.node.on(control.GroupLoad, self._note_group)
        self._stop_serving = await adapters.serve(self)
        self._tasks.append(
            asyncio.ensure_future(self._follow(adapters.targets)),
        )
        self._tasks.append(asyncio.ensure_future(self._join()))

    async def stop(self, exception: Exception | None = None) -> None:
        """Lets what is in progress end, then stops."""
        own = self.own
        began_ms = self.clock.now_ms()
        self._stop_began_ms = began_ms
        self.log.write(
            observability.Event.DRAIN_STARTED,
            in_progress=self.forwarder.in_progress,
        )
        await self.member.announce_leaving()
        await _drain.wait_until_idle(
            lambda: (
                self.clock.now_ms() - began_ms >= own.linger_ms
                and self.forwarder.in_progress == 0
            ),
            drain_ms=int(own.drain_ms),
            clock=self.clock,
            log=self.log,
        )
        await self._stop_serving()
        for task in self._tasks:
            task.cancel()
        await self.member.close()

    def apply_bounds(
        self,
        rules: forwarding.ForwardingRules,
        repeats: forwarding.RepeatBounds,
    ) -> None:
        """Uses changed bounds of the operators from now on."""
        self.forwarder.rules = rules
        self._budget.bounds = repeats

    def run_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs work of an adapter until the process stops."""
        self._tasks.append(asyncio.ensure_future(work))

    @property
    def is_stopping(self) -> bool:
        """Tells whether a planned stop has begun."""
        return self._stop_began_ms is not None

    @property
    def is_accepting(self) -> bool:
        """Tells whether new requests can still end before the stop does."""
        if self._stop_began_ms is None:
            return True
        stopping_ms = self.clock.now_ms() - self._stop_began_ms
        return stopping_ms < self.own.accept_ms

    @property
    def is_ready(self) -> bool:
        """Tells whether callers should use this entry."""
        current = self.member.pause_detector.is_current()
        return self.forwarder.is_ready and current and not self.is_stopping

    def note_levels(self) -> None:
        """Sets the levels among the metrics."""
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
        """Returns where callers of a data centre should connect.

        Args:
            data_centre: Where the callers are.
            limit: Most addresses that are returned.
        """
        alive = [
            record
            for record in self.member.fleet.entries()
            if self._is_alive(record)
        ] or self.member.fleet.entries()
        near = [record for record in alive if record.data_centre == data_centre]
        far = [record for record in alive if record not in near]
        random.shuffle(near)
        random.shuffle(far)
        # One near entry alone would carry all of its data centre's callers.
        chosen = near if len(near) > 1 else [*near, *far]
        return [record.http_address for record in chosen[:limit]]

    def _known_entries(self) -> list[identifiers.InstanceId]:
        return [record.instance for record in self.member.fleet.entries()]

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
                reader_roles=frozenset((directory.Role.ENTRY,)),
                lists_instances=False,
                probing=PROBING,
            ),
        )

    async def _join(self) -> None:
        await asyncio.gather(
            self.member.prepare(),
            self._wait_for_targets(),
        )
        await self.member.join()
        self.log.write(
            observability.Event.PROCESS_STARTED,
            version=self.member.holder.version,
            targets=len(self.book),
        )

    async def _wait_for_targets(self) -> None:
        """Waits until the list or a peer has named targets."""
        seeds = sorted(set(self.own.seeds) - {self.own.control_address})
        looks = 0
        while len(self.book) == 0:
            await asyncio.sleep(_LIST_LOOK_S)
            looks += 1
            if seeds and looks % _LOOKS_PER_ASK == 0:
                # All seeds at once would send the whole list several times.
                await self._ask_for_targets(random.choice(seeds))

    async def _ask_for_targets(self, address: str) -> None:
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

    async def _follow(self, source: targets.TargetListSource) -> None:
        async for update in source.follow():
            self.book.apply(update)

    def _note_targets(self) -> None:
        listed = [record.target for record in self.book.records]
        self.loads.forget_missing(listed)
        self.forwarder.stalls.forget_missing(listed)
        self.forwarder.admission.wake_all()

    def _note_stall(
        self,
        news: control.GroupLoad,
        members: list[identifiers.TargetId],
    ) -> None:
        self.forwarder.stalls.note(members, is_stalled=not news.is_open)
        if self._groups.get(news.group) is not news.is_open:
            self._groups[news.group] = news.is_open
            for target in members if news.is_open else ():
                # What failed because the group did works again.
                self.loads.forgive(target)
            self.log.write(
                observability.Event.GROUP_CHANGED,
                group=news.group,
                is_open=news.is_open,
                targets=len(members),
            )

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

    async def _note_group(
        self,
        news: control.GroupLoad,
        origin: control.Origin,
    ) -> control.Noted:
        by_address = {
            record.address: record.target for record in self.book.records
        }
        addresses = self._group_members.take(news)
        if addresses is None:
            return control.Noted(is_lacking=True)
        members = []
        for address, requests in zip(addresses, news.requests, strict=True):
            target = by_address.get(address)
            if target is None:
                continue
            members.append(target)
            self.loads.note_total(
                target,
                requests,
                sharers=self._count_entries(),
            )
            if not news.is_open:
                self.loads.avoid(target, _GROUP_AVOID_MS)
        self._note_stall(news, members)
        self.forwarder.admission.wake_all()
        return control.Noted()
