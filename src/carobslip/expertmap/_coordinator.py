"""Leads a switch of the expert map; any rank's guard may do so."""

import asyncio
import enum
from collections.abc import Awaitable, Callable, Sequence
from typing import Final, Protocol, TypeVar

from carobslip.expertmap import _map, _rank

#: Steps between the furthest rank and the step of the switch.
_STEP_MARGIN: Final = 8

_AnswerT = TypeVar('_AnswerT')


class RankUnreachable(Exception):
    """A rank did not answer; it may have acted all the same."""


class SwitchEnd(enum.Enum):
    """How a switch ended, as far as this coordinator knows."""

    SWITCHED = 'switched'
    KEPT = 'kept'
    SUPERSEDED = 'superseded'


class Ranks(Protocol):
    """Asks the guards of all ranks; every request may be repeated."""

    def __len__(self) -> int:
        """Returns the number of ranks."""

    async def inquire(self, rank: int, ballot: int) -> _rank.RankState | None:
        """Asks for a rank's state and binds it; raises RankUnreachable."""

    async def prepare(self, rank: int, proposed: _map.ExpertMap) -> int:
        """Lets a rank load its weights; raises RankUnreachable.

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
        """Tells a rank the decision; raises RankUnreachable."""


class Coordinator:
    """Switches a group to a new map in one step, or leaves the old one.

    Unanimity costs no availability here, since a lock-step group cannot step
    without all of its ranks. Nothing is decided before every rank has
    promised; nothing is aborted before every rank is bound to this
    coordinator's number and none has seen a commit.

    Args:
        ranks: Reaches the ranks.
        ballot: Number of this coordinator, higher than all that it knows and
            used for one inquiry only.
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
            RankUnreachable: A rank could not be asked; whoever coordinates
                next finishes or aborts the switch.
        """
        states = await self._inquire_all()
        if states is None:
            return SwitchEnd.SUPERSEDED
        await self._finish_open(states)
        begun = await self._each(
            lambda rank: self._ranks.prepare(rank, proposed),
        )
        return await self._propose(proposed.version, max(begun) + _STEP_MARGIN)

    async def recover(self) -> SwitchEnd:
        """Ends a switch that another coordinator has left open.

        Raises:
            RankUnreachable: A rank could not be asked.
        """
        states = await self._inquire_all()
        if states is None:
            return SwitchEnd.SUPERSEDED
        return await self._finish_open(states)

    async def _propose(
        self,
        version: _map.MapVersion,
        step: int,
    ) -> SwitchEnd:
        promises = await self._each(
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
            obeyed = await self._decide_all(version, _rank.Decision.COMMIT)
            return SwitchEnd.SWITCHED if obeyed else SwitchEnd.SUPERSEDED
        await self._decide_all(version, _rank.Decision.ABORT)
        return SwitchEnd.KEPT

    async def _inquire_all(self) -> list[_rank.RankState] | None:
        answers = await self._each(
            lambda rank: self._ranks.inquire(rank, self._ballot),
        )
        states = [state for state in answers if state is not None]
        self._orders = [
            _rank.Order(ballot=self._ballot, incarnation=state.incarnation)
            for state in states
        ]
        return states if len(states) == len(answers) else None

    async def _finish_open(
        self,
        states: Sequence[_rank.RankState],
    ) -> SwitchEnd:
        """Commits what any rank has switched to, aborts what none has."""
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
        """Tells every rank; returns whether all of them obeyed.

        An abort is told only after every rank has confirmed that it is still
        bound, by the same start of its guard: then all were bound at one
        moment, and no other coordinator can have gathered all promises since.
        """
        if decision is _rank.Decision.ABORT:
            bound = await self._each(
                lambda rank: self._ranks.confirm(rank, self._orders[rank]),
            )
            if not all(bound):
                return False
        obeyed = await self._each(
            lambda rank: self._ranks.decide(
                rank,
                version,
                decision,
                self._orders[rank],
            ),
        )
        return all(obeyed)

    async def _each(
        self,
        ask: Callable[[int], Awaitable[_AnswerT]],
    ) -> list[_AnswerT]:
        ranks = range(len(self._ranks))
        return await asyncio.gather(*(ask(rank) for rank in ranks))


def _open_versions(
    states: Sequence[_rank.RankState],
    newest: _map.MapVersion,
) -> set[_map.MapVersion]:
    """Returns the versions that some rank waits for a decision on.

    A recovering rank does not know for which version it was halted: it was
    the newest one if any rank runs that already.
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
