"""Coordinates a switch of the expert map; any rank's guard may do so."""

import asyncio
import enum
from collections.abc import Awaitable, Callable, Sequence
from typing import Final, Protocol, TypeVar

from carobslip.expertmap import _map, _rank

#: Steps between the most advanced rank's last step and that of the switch.
_STEP_MARGIN: Final = 8

_AnswerT = TypeVar('_AnswerT')


class RankUnreachable(Exception):
    """A rank did not answer; it may still have carried out the request."""


class SwitchEnd(enum.Enum):
    """How a switch ended, as far as this coordinator knows."""

    SWITCHED = 'switched'
    KEPT = 'kept'
    SUPERSEDED = 'superseded'


class Ranks(Protocol):
    """Sends requests to the guards of all ranks; each may be retried."""

    def __len__(self) -> int:
        """Returns the number of ranks."""

    async def inquire(self, rank: int, ballot: int) -> _rank.RankState | None:
        """Asks for a rank's state and binds it; raises RankUnreachable."""

    async def prepare(self, rank: int, proposed: _map.ExpertMap) -> int:
        """Makes a rank load its weights; raises RankUnreachable.

        Returns:
            The last step that the rank may have begun when it was ready.
        """

    async def promise(
        self,
        rank: int,
        version: _map.MapVersion,
        step: int,
        order: _rank.Order,
    ) -> _rank.Promise:
        """Asks for a rank's promise; raises RankUnreachable."""

    async def confirm(self, rank: int, order: _rank.Order) -> bool:
        """Asks whether the rank is still bound; raises RankUnreachable."""

    async def decide(
        self,
        rank: int,
        version: _map.MapVersion,
        decision: _rank.Decision,
        order: _rank.Order,
    ) -> bool:
        """Sends a rank the decision; raises RankUnreachable."""


class Coordinator:
    """Switches a group to a new map in one step, or keeps the old one.

    A :class:`GroupCoordinator` in contrast runs for as long as its guard
    coordinates the group, and plans the layouts that it switches to.

    Unanimity costs no availability here, since a lock-step group cannot step
    without all of its ranks. A switch is committed only after every rank has
    promised. It is aborted only after every rank is bound to this
    coordinator's ballot and none has seen a commit.

    Args:
        ranks: Reaches the ranks.
        ballot: Number of this coordinator, higher than all that it knows of
            and used for one inquiry only.
    """

    def __init__(self, *, ranks: Ranks, ballot: int) -> None:
        self._ranks = ranks
        self._ballot = ballot
        self._orders: list[_rank.Order] = []

    async def switch(self, proposed: _map.ExpertMap) -> SwitchEnd:
        """Brings ``proposed`` into force.

        Returns:
            SWITCHED when every rank runs it, KEPT when the old map stays,
            SUPERSEDED when another coordinator leads.

        Raises:
            RankUnreachable: A rank could not be asked; the next coordinator
                finishes or aborts the switch.
        """
        states = await self._inquire_all()
        if states is None:
            return SwitchEnd.SUPERSEDED
        await self._resolve_open(states)
        begun = await self._ask_each(
            lambda rank: self._ranks.prepare(rank, proposed),
        )
        return await self._propose(proposed.version, max(begun) + _STEP_MARGIN)

    async def recover(self) -> SwitchEnd:
        """Commits or aborts a switch that another coordinator left open.

        Raises:
            RankUnreachable: A rank could not be asked.
        """
        states = await self._inquire_all()
        if states is None:
            return SwitchEnd.SUPERSEDED
        return await self._resolve_open(states)

    async def _propose(
        self,
        version: _map.MapVersion,
        step: int,
    ) -> SwitchEnd:
        promises = await self._ask_each(
            lambda rank: self._ranks.promise(
                rank,
                version,
                step,
                self._orders[rank],
            ),
        )
        if any(promise.ballot > self._ballot for promise in promises):
            return SwitchEnd.SUPERSEDED
        if all(promise.granted for promise in promises):
            accepted = await self._decide_all(version, _rank.Decision.COMMIT)
            return SwitchEnd.SWITCHED if accepted else SwitchEnd.SUPERSEDED
        await self._decide_all(version, _rank.Decision.ABORT)
        return SwitchEnd.KEPT

    async def _inquire_all(self) -> list[_rank.RankState] | None:
        answers = await self._ask_each(
            lambda rank: self._ranks.inquire(rank, self._ballot),
        )
        states = [state for state in answers if state is not None]
        self._orders = [
            _rank.Order(ballot=self._ballot, incarnation=state.incarnation)
            for state in states
        ]
        return states if len(states) == len(answers) else None

    async def _resolve_open(
        self,
        states: Sequence[_rank.RankState],
    ) -> SwitchEnd:
        """Commits a version that any rank runs, aborts all other open ones."""
        newest = max(state.running for state in states)
        switched = False
        for version in sorted(_open_versions(states, newest)):
            committed = version == newest
            decision = (
                _rank.Decision.COMMIT if committed else _rank.Decision.ABORT
            )
            await self._decide_all(version, decision)
            switched = switched or committed
        return SwitchEnd.SWITCHED if switched else SwitchEnd.KEPT

    async def _decide_all(
        self,
        version: _map.MapVersion,
        decision: _rank.Decision,
    ) -> bool:
        """Sends the decision to all ranks; returns whether all accepted it.

        An abort is sent only after every rank has confirmed that it is still
        bound, under the same incarnation of its guard. All ranks were then
        bound at the same time, so no other coordinator can have collected all
        promises since.
        """
        if decision is _rank.Decision.ABORT:
            bound = await self._ask_each(
                lambda rank: self._ranks.confirm(rank, self._orders[rank]),
            )
            if not all(bound):
                return False
        accepted = await self._ask_each(
            lambda rank: self._ranks.decide(
                rank,
                version,
                decision,
                self._orders[rank],
            ),
        )
        return all(accepted)

    async def _ask_each(
        self,
        ask: Callable[[int], Awaitable[_AnswerT]],
    ) -> list[_AnswerT]:
        ranks = range(len(self._ranks))
        return await asyncio.gather(*(ask(rank) for rank in ranks))


def _open_versions(
    states: Sequence[_rank.RankState],
    newest: _map.MapVersion,
) -> set[_map.MapVersion]:
    """Returns the versions for which some rank awaits a decision.

    A recovering rank does not know for which version it was halted. If it
    runs an older version than another rank, it was halted for the newest one.
    """
    promised = {
        state.version for state in states if state.phase is _rank.Phase.PROMISED
    }
    recovering = [
        state for state in states if state.phase is _rank.Phase.RECOVERING
    ]
    if recovering and not promised:
        behind = any(state.running < newest for state in recovering)
        promised.add(newest if behind else _map.MapVersion(newest + 1))
    return promised
