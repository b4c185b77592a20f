"""Probes one monitored peer per period, regardless of the fleet's size."""

import asyncio
import random
from collections.abc import Sequence
from typing import Final

import msgspec

from carobslip import clocks, control, directory, identifiers
from carobslip.membership import _overlay, _table

#: A member presumed dead is probed once in this many periods, so that a healed
#: network partition is detected.
_DEAD_PROBE_PERIODS: Final = 5
#: A seed is asked for unknown members once in this many periods, more often
#: during a process's first periods.
_SEED_PERIODS: Final = 8
_SEED_PERIODS_EARLY: Final = 2
_EARLY_PERIODS: Final = 24
#: Interval and number of the requests to seeds right after the start: processes
#: that all restart together discover each other within a second.
_STARTUP_PAUSE_S: Final = 0.15
_STARTUP_ROUNDS: Final = 5
#: Members added to the answer to a joining process; a message holds 64.
_JOIN_UPDATES_MAX: Final = 56
#: Peers contacted immediately about a new configuration.
_PUSH_PEERS: Final = 3


class ProberSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Timing and fan-out of the probes.

    Attributes:
        period_ms: Time between two probes.
        timeout_ms: How long to wait for an answer.
        indirect_probes: Number of peers asked to probe a silent member before
            it is suspected.
        suspicion_ms: Time a suspect has to refute the suspicion.
    """

    period_ms: int = 500
    timeout_ms: int = 200
    indirect_probes: int = 2
    suspicion_ms: int = 2000


class Prober:
    """Detects failed members.

    Each process probes the few members that it monitors in turn. A member that
    answers neither a direct nor an indirect probe is suspected, and is marked
    dead unless it refutes the suspicion in time.

    Args:
        node: Control traffic.
        table: Presumed states of the members.
        clock: Monotonic time.
        settings: Timing and fan-out of the probes.
        generator: Chooses peers.
        seeds: Control addresses that are asked for unknown members.
    """

    def __init__(
        self,
        *,
        node: control.Node,
        table: _table.MemberTable,
        clock: clocks.Clock,
        settings: ProberSettings,
        generator: random.Random,
        seeds: Sequence[str] = (),
    ) -> None:
        self._seeds = [
            seed for seed in seeds if seed != node.origin.control_address
        ]
        self._node = node
        self.table = table
        self._clock = clock
        self._settings = settings
        self._random = generator
        self._suspected_ms: dict[identifiers.InstanceId, float] = {}
        self._probe_order: list[directory.InstanceRecord] = []
        self._periods = 0
        node.register_handler(control.Probe, self._on_probe)
        node.register_handler(control.ProbeRequest, self._on_probe_request)

    async def run(self) -> None:
        """Probes forever.

        Probes run concurrently, so a silent peer delays no other probe: many
        peers that die together are detected as fast as one.
        """
        await self._find_members()
        async with asyncio.TaskGroup() as probes:
            while True:
                await asyncio.sleep(self._settings.period_ms / 1000)
                self._expire_suspects()
                peer = self._next_peer()
                if peer is not None:
                    probes.create_task(self._probe_member(peer))
                if self._is_seed_request_due():
                    seed = self._random.choice(self._seeds)
                    probes.create_task(self._join_at(seed))

    async def join(self) -> None:
        """Asks every seed for the members that it knows."""
        await asyncio.gather(*(self._join_at(seed) for seed in self._seeds))

    async def push(self) -> None:
        """Probes a few peers at once to announce our configuration version."""
        peers = self._monitored_peers()
        chosen = self._random.sample(peers, min(_PUSH_PEERS, len(peers)))
        await asyncio.gather(
            *(self._probe(peer.control_address) for peer in chosen),
        )

    async def announce_leaving(self) -> None:
        """Announces to a few peers that this process is about to stop."""
        self.table.announce_leaving()
        await self.push()

    async def _find_members(self) -> None:
        for _ in range(_STARTUP_ROUNDS if self._seeds else 0):
            await asyncio.sleep(_STARTUP_PAUSE_S)
            await self._join_at(self._random.choice(self._seeds))

    async def _join_at(self, address: str) -> None:
        await self._exchange(
            address,
            control.Probe(
                updates=(self.table.own, *self.table.take_updates()),
                joining=True,
                known=self.table.digests(),
            ),
            self._settings.timeout_ms,
        )

    def _is_seed_request_due(self) -> bool:
        early = self._periods <= _EARLY_PERIODS
        pause = _SEED_PERIODS_EARLY if early else _SEED_PERIODS
        return bool(self._seeds) and self._periods % pause == 0

    def _next_peer(self) -> directory.InstanceRecord | None:
        self._periods += 1
        if self._periods % _DEAD_PROBE_PERIODS == 0:
            dead_peers = self._peers_in(control.MemberState.DEAD)
            if dead_peers:
                return self._random.choice(dead_peers)
        if not self._probe_order:
            self._probe_order = self._monitored_peers()
            self._random.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    def _monitored_peers(self) -> list[directory.InstanceRecord]:
        alive = {peer.instance: peer for peer in self._alive_peers()}
        monitored = _overlay.monitored_members(
            self.table.own.record.instance,
            alive,
        )
        return [alive[name] for name in sorted(monitored)]

    def _alive_peers(self) -> list[directory.InstanceRecord]:
        return [
            *self._peers_in(control.MemberState.ALIVE),
            *self._peers_in(control.MemberState.SUSPECT),
        ]

    def _peers_in(
        self,
        state: control.MemberState,
    ) -> list[directory.InstanceRecord]:
        own = self.table.own.record.instance
        return [
            member.record
            for member in self.table
            if member.state is state and member.record.instance != own
        ]

    async def _probe_member(self, peer: directory.InstanceRecord) -> None:
        if await self._probe(peer.control_address):
            self._suspected_ms.pop(peer.instance, None)
            return
        if await self._probe_indirectly(peer):
            return
        self._suspect(peer)

    async def _probe(self, address: str) -> bool:
        return await self._exchange(
            address,
            control.Probe(updates=self.table.take_updates()),
            self._settings.timeout_ms,
        )

    async def _probe_indirectly(self, peer: directory.InstanceRecord) -> bool:
        others = [
            record
            for record in self._alive_peers()
            if record.instance != peer.instance
        ]
        helpers = self._random.sample(
            others,
            min(self._settings.indirect_probes, len(others)),
        )
        answers = await asyncio.gather(
            *(
                self._exchange(
                    helper.control_address,
                    control.ProbeRequest(
                        address=peer.control_address,
                        updates=self.table.take_updates(),
                    ),
                    2 * self._settings.timeout_ms,
                )
                for helper in helpers
            ),
        )
        return any(answers)

    async def _exchange(
        self,
        address: str,
        request: control.Probe | control.ProbeRequest,
        timeout_ms: float,
    ) -> bool:
        try:
            answer = await self._node.ask(
                address,
                request,
                answer=control.ProbeAcknowledged,
                timeout_ms=timeout_ms,
            )
        except control.PeerUnreachable:
            self.table.requeue(request.updates)
            return False
        self._merge_all(answer.updates)
        return True

    def _suspect(self, peer: directory.InstanceRecord) -> None:
        known = self.table.find(peer.instance)
        if known is None or known.state is not control.MemberState.ALIVE:
            return
        self._suspected_ms[peer.instance] = self._clock.now_ms()
        self.table.merge(
            msgspec.structs.replace(known, state=control.MemberState.SUSPECT),
        )

    def _expire_suspects(self) -> None:
        now_ms = self._clock.now_ms()
        for member in list(self.table):
            if member.state is not control.MemberState.SUSPECT:
                self._suspected_ms.pop(member.record.instance, None)
                continue
            since_ms = self._suspected_ms.setdefault(
                member.record.instance,
                now_ms,
            )
            if now_ms - since_ms >= self._settings.suspicion_ms:
                self.table.merge(
                    msgspec.structs.replace(
                        member,
                        state=control.MemberState.DEAD,
                    ),
                )

    def _merge_all(self, updates: tuple[control.MemberUpdate, ...]) -> None:
        for update in updates:
            self.table.merge(update)

    async def _on_probe(
        self,
        request: control.Probe,
        origin: control.Origin,
    ) -> control.ProbeAcknowledged:
        self._merge_all(request.updates)
        updates = self._answer_updates(origin)
        if request.joining:
            unknown = self.table.differing(request.known)
            count = min(_JOIN_UPDATES_MAX, len(unknown))
            updates = (*updates, *self._random.sample(unknown, count))
        return control.ProbeAcknowledged(updates=updates)

    async def _on_probe_request(
        self,
        request: control.ProbeRequest,
        origin: control.Origin,
    ) -> control.ProbeAcknowledged | control.ProbeFailed:
        self._merge_all(request.updates)
        reached = await self._probe(request.address)
        updates = self.table.take_updates()
        if reached:
            return control.ProbeAcknowledged(updates=updates)
        return control.ProbeFailed(updates=updates)

    def _answer_updates(
        self,
        origin: control.Origin,
    ) -> tuple[control.MemberUpdate, ...]:
        # A sender that is presumed dead, or known only by another start, gets
        # its stored state back, so that it can refute it.
        known = self.table.find(origin.instance)
        if known is None or _is_up_to_date(known, origin):
            return self.table.take_updates()
        return (known, *self.table.take_updates())


def _is_up_to_date(
    known: control.MemberUpdate,
    sender: control.Origin,
) -> bool:
    """Tells whether a member's stored state needs no refutation by it."""
    alive = (control.MemberState.ALIVE, control.MemberState.LEAVING)
    same_start = known.incarnation == sender.incarnation
    return same_start and known.state in alive
