"""Finds out whether a request may have crashed the target that lost it."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Final

from carobslip import crashes, targets
from carobslip.forwarding import _ports, _request

#: Longest wait for what peers know of a crash, before a request that was at it
#: is sent again or ended.
_PEERS_S: Final = 0.15
#: A process that has just started hears from its peers within this time.
_START_WAIT_S: Final = 0.3


class CrashWatch:
    """Records crashes of targets and the requests that were at them.

    Args:
        ledger: The crashes that are known.
        gate: Holds requests back.
        registry: The published targets.
        port: Tells whether a target has ended.
        consult: Exchanges crashes with the other entries.
    """

    def __init__(
        self,
        *,
        ledger: crashes.CrashLedger,
        gate: crashes.PromptGate,
        registry: targets.TargetRegistry,
        port: _ports.TargetPort,
        consult: Callable[[], Awaitable[None]],
    ) -> None:
        self.gate = gate
        self._ledger = ledger
        self._registry = registry
        self._port = port
        self._consult = consult
        self._is_informed = asyncio.Event()
        self._checks: dict[crashes.TargetStart, asyncio.Future[bool]] = {}

    def note_informed(self) -> None:
        """Records that peers were asked for the crashes that they know."""
        self._is_informed.set()

    @property
    def is_informed(self) -> bool:
        """Whether peers were asked for the crashes that they know."""
        return self._is_informed.is_set()

    async def wait_until_informed(
        self, request: _request.ForwardRequest
    ) -> None:
        """Holds a request of a starting process until peers were asked."""
        if request.crash_parts and not self.is_informed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_START_WAIT_S):
                    await self._is_informed.wait()

    def note_answered(self, request: _request.ForwardRequest) -> None:
        """Records that a request was answered whole."""
        if request.crash_parts:
            self._ledger.note_answered(request.crash_parts)

    async def is_suspect(
        self,
        request: _request.ForwardRequest,
        place: targets.TargetRecord,
        *,
        has_events: bool,
    ) -> bool:
        """Tells whether a request may have crashed its target.

        Args:
            request: A request whose connection was lost.
            place: The target that lost it.
            has_events: The target had sent events of the answer.
        """
        if not request.crash_parts or not await self._has_crashed(place):
            return False
        start = crashes.start_of(place)
        parts = request.crash_parts
        self._ledger.note_crash(start, parts, has_events=has_events)
        await self._wait_for_peers()
        return self._ledger.is_suspect(start, parts, has_events=has_events)

    def resend_pause_ms(self, place: targets.TargetRecord) -> float:
        """Returns how long a request that a target lost is not sent again.

        A second crash by the same request must count as one of its own.
        """
        age_ms = self._ledger.age_ms(crashes.start_of(place))
        return 0.0 if age_ms is None else max(0.0, crashes.EPISODE_MS - age_ms)

    async def _has_crashed(self, place: targets.TargetRecord) -> bool:
        """Tells whether a target has ended without having announced it."""
        listed = self._registry.find(place.target)
        if listed is None or listed.state is targets.TargetState.DRAINING:
            return False
        if self._registry.is_leaving(place):
            return False
        start = crashes.start_of(place)
        check = self._checks.get(start)
        if check is None:
            check = asyncio.ensure_future(self._port.is_gone(place))
            self._checks[start] = check
            check.add_done_callback(lambda _done: self._checks.pop(start))
        return await asyncio.shield(check)

    async def _wait_for_peers(self) -> None:
        consulting = asyncio.ensure_future(self._consult())
        await asyncio.wait([consulting], timeout=_PEERS_S)
