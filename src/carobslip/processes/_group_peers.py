"""Finds the other guards of a lock-step group and sends them orders."""

import asyncio
from collections.abc import Callable
from typing import Final

import msgspec

from carobslip import (
    clocks,
    control,
    directory,
    expertmap,
    fleet,
    identifiers,
    observability,
)

#: A peer that did not answer is skipped for this time.
_SKIP_MS: Final = 2000.0
_ORDER_TIMEOUT_MS: Final = 250.0
#: Orders in flight at the same time; the answers of all ranks together would
#: wait in front of a low-bandwidth link for longer than the timeout.
_ORDERS_IN_FLIGHT_MAX: Final = 24
#: Timeout of a copy of experts, as a multiple of its expected duration.
_COPY_TIMEOUT_FACTOR: Final = 4


class GroupPeers:
    """Finds the guards of a group and sends orders to engines through them.

    Args:
        instance: Name of this process.
        member: This process's fleet membership.
        engine_at: Returns a client for the engine at an address.
        rank_guard: Sends orders to the engine beside this process.
        clock: Monotonic time.
        log: Receives events on peers that do not answer.
    """

    def __init__(
        self,
        *,
        instance: identifiers.InstanceId,
        member: fleet.FleetMember,
        engine_at: Callable[[str], expertmap.EngineControl],
        rank_guard: expertmap.RankGuard,
        clock: clocks.Clock,
        log: observability.EventLog,
    ) -> None:
        self._instance = instance
        self._member = member
        self._engine_at = engine_at
        self._rank_guard = rank_guard
        self._clock = clock
        self._log = log
        self._skipped_until_ms: dict[identifiers.InstanceId, float] = {}
        self._layouts = expertmap.LayoutWriter()
        #: Whether guards that read compact deltas of layouts are sent them.
        self.sends_compact = False
        self._compact_readers: set[identifiers.InstanceId] = set()
        self._in_flight = asyncio.Semaphore(_ORDERS_IN_FLIGHT_MAX)

    def usable(
        self,
        group: identifiers.GroupId,
    ) -> dict[int, directory.InstanceRecord]:
        """Returns the other usable guards of a group, by rank."""
        return {
            record.rank: record
            for record in self._member.fleet.instances()
            if record.group == group
            and record.rank is not None
            and record.instance != self._instance
            and self._member.table.is_usable(record.instance)
        }

    def is_skipped(self, peer: directory.InstanceRecord) -> bool:
        """Tells whether a guard is skipped because it did not answer."""
        until_ms = self._skipped_until_ms.get(peer.instance, 0)
        return self._clock.now_ms() < until_ms

    def skip(
        self,
        peer: directory.InstanceRecord,
        fault: str,
    ) -> None:
        """Skips a guard that did not answer, for a limited time."""
        until_ms = self._clock.now_ms() + _SKIP_MS
        self._skipped_until_ms[peer.instance] = until_ms
        self._log.write(
            observability.Event.PEER_SILENT,
            address=peer.control_address,
            fault=fault,
        )

    async def order_own(
        self,
        order: expertmap.RankOrder,
    ) -> expertmap.RankAnswer:
        """Sends an order to the engine beside this process."""
        return await self._rank_guard.order(order)

    async def order_rank(
        self,
        group: identifiers.GroupId,
        rank: int,
        order: expertmap.RankOrder,
        *,
        directly: bool,
    ) -> expertmap.RankAnswer:
        """Sends an order to another rank, through its guard if it answers.

        Args:
            group: The group.
            rank: The rank that gets the order.
            order: The order for its engine.
            directly: Whether to bypass the rank's guard.
        """
        peer = self.find_rank(group, rank)
        if peer is None:
            return expertmap.RankAnswer(end=expertmap.OrderEnd.LOST)
        if directly or self.is_skipped(peer):
            return await self._order_directly(peer, order)
        timeout_ms = _ORDER_TIMEOUT_MS
        if order.kind is expertmap.OrderKind.PREPARE:
            timeout_ms += _COPY_TIMEOUT_FACTOR * self._rank_guard.expert_copy_ms
        try:
            answer = await self._order_guard(peer, order, timeout_ms)
            if answer.lacks_layout:
                answer = await self._order_guard(
                    peer,
                    order,
                    timeout_ms,
                    is_whole=True,
                )
        except control.PeerUnreachable as fault:
            self.skip(peer, str(fault))
            return await self._order_directly(peer, order)
        return answer.answer

    async def arm_coordinator(
        self,
        group: identifiers.GroupId,
        arming_rank: int,
        order: expertmap.RankOrder,
    ) -> expertmap.RankAnswer:
        """Sends an order to the own engine through another rank's guard."""
        peer = self.find_rank(group, arming_rank)
        if peer is None:
            return expertmap.RankAnswer(end=expertmap.OrderEnd.LOST)
        try:
            answer = await self._member.node.ask(
                peer.control_address,
                control.OrderRank(
                    order=order,
                    group=group,
                    rank=order.coordinator_rank,
                ),
                answer=control.RankOrdered,
                timeout_ms=_ORDER_TIMEOUT_MS,
            )
        except control.PeerUnreachable as fault:
            self.skip(peer, str(fault))
            return expertmap.RankAnswer(end=expertmap.OrderEnd.LOST)
        return answer.answer

    def address_of(
        self,
        group: identifiers.GroupId,
        rank: int,
    ) -> str | None:
        """Returns where the engine of a rank takes calls, if known."""
        peer = self.find_rank(group, rank)
        return None if peer is None else peer.http_address

    def find_rank(
        self,
        group: identifiers.GroupId,
        rank: int,
    ) -> directory.InstanceRecord | None:
        """Returns a rank's guard, even one that is marked dead."""
        usable = self.usable(group).get(rank)
        if usable is not None:
            return usable
        for record in self._member.fleet.instances():
            if (record.group, record.rank) == (group, rank):
                return record
        return None

    async def _order_guard(
        self,
        peer: directory.InstanceRecord,
        order: expertmap.RankOrder,
        timeout_ms: float,
        *,
        is_whole: bool = False,
    ) -> control.RankOrdered:
        layout = None
        reads_compact = peer.instance in self._compact_readers
        if order.layout:
            layout = self._layouts.write(
                order.layout,
                is_whole=is_whole,
                is_compact=self.sends_compact and reads_compact,
            )
        async with self._in_flight:
            answer = await self._member.node.ask(
                peer.control_address,
                control.OrderRank(
                    order=msgspec.structs.replace(order, layout=()),
                    layout=layout,
                ),
                answer=control.RankOrdered,
                timeout_ms=timeout_ms,
            )
        if answer.reads_compact:
            self._compact_readers.add(peer.instance)
        else:
            self._compact_readers.discard(peer.instance)
        return answer

    async def _order_directly(
        self,
        peer: directory.InstanceRecord,
        order: expertmap.RankOrder,
    ) -> expertmap.RankAnswer:
        # A hold must end even while a guard is unreachable, and engines accept
        # orders from any sender.
        engine = self._engine_at(peer.http_address)
        answer = await expertmap.send_order(
            engine,
            order,
            expert_copy_ms=self._rank_guard.expert_copy_ms,
            is_remote=True,
        )
        if answer.end is expertmap.OrderEnd.LOST:
            self._log.write(
                observability.Event.ENGINE_SILENT,
                address=peer.http_address,
                order=order.kind.value,
                is_direct=True,
            )
        return answer


class RanksByControl:
    """Sends orders to the ranks of a group through their guards.

    Args:
        peers: The other guards of the group.
        group: The group.
        own_rank: Rank of the engine beside this process.
    """

    def __init__(
        self,
        *,
        peers: GroupPeers,
        group: identifiers.GroupId,
        own_rank: int,
    ) -> None:
        self._peers = peers
        self._group = group
        self._own_rank = own_rank

    async def order(
        self,
        rank: int,
        order: expertmap.RankOrder,
        *,
        through: int | None = None,
    ) -> expertmap.RankAnswer:
        """Sends an order to a rank, optionally through another one's guard."""
        peers = self._peers
        if rank == self._own_rank:
            if through is None or through == rank:
                return await peers.order_own(order)
            return await peers.arm_coordinator(self._group, through, order)
        return await peers.order_rank(
            self._group,
            rank,
            order,
            directly=through == self._own_rank,
        )

    def address_of(self, rank: int) -> str | None:
        """Returns where the engine of a rank takes calls, if known."""
        return self._peers.address_of(self._group, rank)
