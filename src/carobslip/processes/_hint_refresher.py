"""Keeps hints of idle guards fresh, at a bounded rate."""

import asyncio
from typing import Final

from carobslip import control, directory, fleet, routing

_PERIOD_S: Final = 0.5
_ASKS_PER_PERIOD: Final = 8
_FRESH_MS: Final = 1000.0
_TIMEOUT_MS: Final = 300.0


class HintRefresher:
    """Asks guards that have not been heard of for a while.

    The rate does not grow with the number of targets: with more of them each
    is asked less often, and replies carry the hints of those in use.

    Args:
        member: This process's part in the fleet.
        chooser: Knows which guards are used.
        hints: Takes the answers.
    """

    def __init__(
        self,
        *,
        member: fleet.FleetMember,
        chooser: routing.Chooser,
        hints: routing.HintBook,
    ) -> None:
        self._member = member
        self._chooser = chooser
        self._hints = hints

    async def run(self) -> None:
        """Asks for ever; one task."""
        while True:
            await asyncio.sleep(_PERIOD_S)
            oldest = self._oldest()[:_ASKS_PER_PERIOD]
            await asyncio.gather(*(self._ask(guard) for guard in oldest))

    def _oldest(self) -> list[directory.InstanceRecord]:
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

    async def _ask(self, guard: directory.InstanceRecord) -> None:
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
