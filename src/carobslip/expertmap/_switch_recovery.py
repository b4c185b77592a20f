"""Finishes or undoes a switch that another coordinator left open."""

from collections.abc import Sequence, Set
from typing import Final

from carobslip.expertmap import (
    _group_map,
    _order_sender,
    _orders,
    _switch_undo,
)

#: Attempts to take over a hold or an armed map; orders get lost individually.
_ATTEMPTS: Final = 3


class SwitchRecovery:
    """Ends a switch of another coordinator, or an earlier one of this rank.

    Orders of that coordinator may still be carried out. What ranks report is
    relied on only once they have answered an order of this coordinator, so
    that they refuse those of the one before.

    Args:
        sender: Sends the orders.
    """

    def __init__(self, *, sender: _order_sender.OrderSender) -> None:
        self._sender = sender
        self._undo = _switch_undo.SwitchUndo(sender=sender)
        self.why = ''
        #: Whether all ranks were armed, and the group goes on.
        self.is_armed = False

    async def run(self, present: _group_map.Layout | None) -> None:
        """Ends the switch if that is possible now.

        Args:
            present: Experts that the ranks hold now, if known.

        Raises:
            Superseded: Another coordinator is active.
        """
        taken_over = await self._take_over_holds()
        answers = await self._sender.fetch_reports()
        if not _holds_in(answers).items() <= taken_over.items():
            self.why = 'holds are not taken over'
            return
        reports = _order_sender.reports_in(answers)
        armed = [one.armed for one in reports if one.armed is not None]
        if not armed and not _steps_held(reports):
            return
        absent = self._sender.all_ranks - set(answers)
        known_absent = self._armed_map_of_absent(absent, answers)
        if absent and known_absent is None:
            self.why = f'{sorted(absent)} cannot be asked'
            return
        armed += known_absent or []
        if len(armed) == self._sender.size and len(set(armed)) == 1:
            await self._finish(armed[0], _steps_held(reports), absent)
        elif known_absent:
            self.why = f'{sorted(absent)} cannot be disarmed'
        else:
            await self._undo_all(reports, present, absent)

    async def _take_over_holds(self) -> dict[int, int]:
        """Prevents other coordinators from ending a hold.

        A coordinator that is still alive, or an order of it that is still to
        be carried out, might release the group while this one disarms ranks.
        Repeating its hold with a higher fencing number prevents that.

        Returns:
            Pass by rank of the holds that are taken over.
        """
        held = _holds_in(await self._sender.fetch_reports())
        return {
            rank: step
            for rank, step in held.items()
            if await self._take_over_hold(rank, step)
        }

    async def _take_over_hold(self, rank: int, step: int) -> bool:
        order = self._sender.order(_orders.OrderKind.HOLD, step=step)
        for _ in range(_ATTEMPTS):
            answer = await self._sender.send(rank, order)
            if answer.end is _orders.OrderEnd.DONE:
                return True
        return False

    async def _finish(
        self,
        armed: _group_map.ArmedMap,
        steps: Set[int],
        absent: Set[int],
    ) -> None:
        """Releases a group whose ranks are all armed for the same map."""
        present_ranks = self._sender.all_ranks - absent
        if steps and not await self._confirm_armed(armed, present_ranks):
            self.why = 'not all ranks confirm the armed map'
            return
        self.is_armed = True
        await self._release_all(steps, present_ranks)

    async def _confirm_armed(
        self, armed: _group_map.ArmedMap, ranks: Set[int]
    ) -> bool:
        """Arms ranks again as they are; tells whether all have answered.

        Orders to disarm them, from a coordinator that was undoing the switch,
        are refused then.
        """
        order = self._sender.order(
            _orders.OrderKind.ARM,
            version=armed.version,
            step=armed.step,
            is_undo=True,
        )
        missing = set(ranks)
        for _ in range(_ATTEMPTS):
            answers = await self._sender.send_all(order, missing)
            missing -= {
                rank
                for rank, answer in answers.items()
                if answer.end is _orders.OrderEnd.DONE
                and answer.report is not None
                and answer.report.armed == armed
            }
            if not missing:
                return True
        return False

    async def _undo_all(
        self,
        reports: Sequence[_group_map.RankReport],
        present: _group_map.Layout | None,
        absent: Set[int],
    ) -> None:
        """Disarms all ranks and releases their holds.

        Args:
            reports: Reports of the ranks that answer.
            present: Experts that the ranks hold now, if known.
            absent: Ranks that do not answer, and are not armed.
        """
        if present is None and not self._sender.engines_fence:
            self.why = 'the layout in use is unknown'
            return
        versions = {one.armed.version for one in reports if one.armed}
        if present is None:
            versions = versions or {max(one.prepared or 0 for one in reports)}
        await self._undo.disarm_permanently(versions, present, absent)
        if absent and not any(one.running for one in reports):
            # The absent rank could be armed until the pass begins, and an
            # idle group begins no pass.
            self.why = f'idle, and {sorted(absent)} cannot be asked'
            return
        steps = _steps_held(reports)
        await self._release_all(steps, self._sender.all_ranks - absent)
        self.why = f'undone, held before {sorted(steps)}'

    async def _release_all(self, steps: Set[int], ranks: Set[int]) -> None:
        # An order that took over a hold may have had no answer.
        self._sender.raise_fence()
        for step in steps:
            await self._undo.release(step, ranks)

    def _armed_map_of_absent(
        self,
        absent: Set[int],
        answers: dict[int, _orders.RankAnswer],
    ) -> list[_group_map.ArmedMap] | None:
        """Returns the armed map of the absent rank; None if unknown.

        It is known only for the rank of the last coordinator, and only if the
        guard responsible for arming that rank answers.
        """
        coordinator_ranks = {
            answer.coordinator_rank
            for answer in answers.values()
            if answer.coordinator_rank is not None
        }
        if len(absent) != 1 or coordinator_ranks != absent:
            return None
        answer = answers.get((min(absent) + 2) % self._sender.size)
        if answer is None or answer.coordinator_rank not in absent:
            # It does not answer, or has started since and knows nothing.
            return None
        if answer.coordinator_in_doubt:
            return None
        armed = answer.coordinator_armed_map
        return [] if armed is None else [armed]


def _holds_in(answers: dict[int, _orders.RankAnswer]) -> dict[int, int]:
    """Returns the pass that each rank holds, by rank."""
    return {
        rank: answer.report.held
        for rank, answer in answers.items()
        if answer.report is not None and answer.report.held is not None
    }


def _steps_held(reports: Sequence[_group_map.RankReport]) -> set[int]:
    return {one.held for one in reports if one.held is not None}
