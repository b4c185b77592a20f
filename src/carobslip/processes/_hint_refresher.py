"""Keeps hints of idle guards fresh, at a bounded rate."""

import asyncio
from typing import Final

from carobslip import control, directory, fleet, routing

_PERIOD_S: Final = 0.5
_POLLS_PER_PERIOD: Final = 8
_FRESH_MS: Final = 1000.0
_TIMEOUT_MS: Final = 300.0


class HintRefresher:
    """Polls guards whose hints are stale.

    The rate does not grow with the number of targets: with more targets, each
    is polled less often. Replies to attempts carry the hints of targets in
    use.

    Args:
        member: This process's fleet membership.
        chooser: Lists the guards that may be used.
        hints: Stores the hints.
    """

    def __init__(
        self,
        *,
        member: fleet.FleetMember,
        chooser: routing.Chooser,
        hints: routing.HintStore,
    ) -> None:
        self._member = member
        self._chooser = chooser
        self._hints = hints

    async def run(self) -> None:
        """Polls until cancelled; run as one task."""
        while True:
            await asyncio.sleep(_PERIOD_S)
            stalest = self._stalest_guards()[:_POLLS_PER_PERIOD]
            await asyncio.gather(*(self._refresh(guard) for guard in stalest))

    def _stalest_guards(self) -> list[directory.InstanceRecord]:
        held = self._member.holder.configuration
        aged = [
            (self._hints.age_ms(guard.target), guard)
            for service in held.services
            for guard in self._chooser.usable(service, held)
            if guard.target is not None
        ]
        stale = [pair for pair in aged if pair[0] > _FRESH_MS]
        stale.sort(key=lambda pair: -pair[0])
        return [guard for _age_ms, guard in stale]

    async def _refresh(self, guard: directory.InstanceRecord) -> None:
        try:
            hint = await self._member.node.ask(
                guard.control_address,
                control.Hello(),
                answer=control.GuardHint,
                timeout_ms=_TIMEOUT_MS,
            )
        except control.PeerUnreachable:
            return
        self._hints.note(hint)
