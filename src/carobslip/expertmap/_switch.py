"""Switches a whole group to a new layout in one pass.

While one rank holds the group before a pass, every rank is armed for it. The
hold ends only when all ranks are armed, or when none is and none can be armed
any more. Engines carry out some orders late. An engine refuses to be armed
after the pass has begun, or for a map that is no longer prepared. Orders to
hold and to release the group are made impossible by a higher fencing number.
"""

import asyncio
import enum
from collections.abc import Sequence
from typing import Final

from carobslip import clocks
from carobslip.expertmap import (
    _group_map,
    _order_sender,
    _orders,
    _switch_recovery,
    _switch_undo,
)

#: Bounds of the number of passes between the last one begun and that of the
#: switch. Arming takes a few milliseconds and a pass tens of them. Where orders
#: get lost, arming takes some passes more, and a hold would stall those.
STEP_MARGIN_MIN: Final = 2
STEP_MARGIN_MAX: Final = 6
#: Attempts to hold a pass, which may begin before the order arrives.
_HOLD_ATTEMPTS: Final = 3
#: Attempts to prepare ranks that did not answer; orders get lost individually.
_PREPARE_ATTEMPTS: Final = 3
#: Arming of ranks that did not answer is retried for this long; a longer hold
#: costs more than the switch gains.
_ARM_TIMEOUT_MS: Final = 600.0
#: Other ranks that were armed longer ago may have been disarmed since.
_ARM_FRESH_MS: Final = 800.0
_ARM_RETRY_S: Final = 0.01
#: Interval of polling for the pass of a switch; a busy group begins one within
#: a tenth of a second.
_PASS_POLL_S: Final = 0.015
_PASS_POLLS_MAX: Final = 40


class SwitchResult(enum.Enum):
    """How a switch ended."""

    SWITCHED = 'switched'
    #: All ranks are armed, but the group is idle and begins no pass.
    ARMED = 'armed'
    KEPT = 'kept'
    #: Another coordinator is active, or the group has a new epoch.
    SUPERSEDED = 'superseded'


class GroupSwitch:
    """Runs switches in one epoch of a group.

    A coordinator whose machine hangs must not stall its group. Therefore the
    group is held at another rank, and the coordinator's own rank is armed last,
    by the guard of a third rank. That guard knows whether the coordinator's
    rank is armed, even while its engine does not answer.

    Args:
        ranks: Reaches the ranks.
        size: Ranks in the group.
        own_rank: The coordinator's rank.
        epoch: The group's epoch.
        fence: Fencing number of this coordinator.
        clock: Monotonic time.
        engines_fence: Whether engines refuse orders with a lower fencing number
            than one that they have seen.
        step_margin: Passes between the last one begun and that of a switch.
        version_min: Highest version that this coordinator has used; engines
            may hold a map of that version although no report shows it yet.
    """

    def __init__(
        self,
        *,
        ranks: _orders.GroupRanks,
        size: int,
        own_rank: int,
        epoch: int,
        fence: int,
        clock: clocks.Clock,
        engines_fence: bool = False,
        step_margin: int = STEP_MARGIN_MIN,
        version_min: int = 0,
    ) -> None:
        self._step_margin = step_margin
        #: Time from the report that the step was chosen from until the rank
        #: that was held could go on; None until then.
        self.arming_ms: float | None = None
        self._chosen_ms = 0.0
        self._size = size
        self._own_rank = own_rank
        self._hold_rank = (own_rank + 1) % size
        self._arming_rank = (own_rank + 2) % size
        self._clock = clock
        self._sender = _order_sender.OrderSender(
            ranks=ranks,
            size=size,
            own_rank=own_rank,
            epoch=epoch,
            fence=fence,
            engines_fence=engines_fence,
            version_min=version_min,
            on_answer=self._note_answer,
        )
        self._undo = _switch_undo.SwitchUndo(sender=self._sender)
        self.why = ''

    @property
    def version(self) -> int:
        """Highest version that this coordinator has used."""
        return self._sender.version

    @property
    def fence(self) -> int:
        """Highest fencing number that this coordinator has used."""
        return self._sender.fence

    @property
    def highest_fence(self) -> int:
        """Highest fencing number that is known."""
        return self._sender.highest_fence

    @property
    def lost_orders(self) -> int:
        """Orders without an answer."""
        return self._sender.lost_orders

    async def switch(
        self,
        layout: _group_map.Layout,
        present: _group_map.Layout,
        *,
        known: Sequence[_group_map.RankReport] = (),
    ) -> SwitchResult:
        """Brings a layout into force in all ranks, or in none.

        Args:
            layout: Experts that the ranks will hold.
            present: Experts that they hold now.
            known: Recent reports of all ranks. They save a round of messages;
                a rank that is held or armed meanwhile refuses its orders.
        """
        self._sender.raise_fence()
        try:
            return await self._switch(layout, present, known)
        except _order_sender.Superseded:
            return SwitchResult.SUPERSEDED

    async def recover(
        self,
        present: _group_map.Layout | None,
    ) -> SwitchResult:
        """Finishes or undoes a switch that another coordinator left open.

        Args:
            present: Experts that the ranks hold now, if known.
        """
        self._sender.raise_fence()
        recovery = _switch_recovery.SwitchRecovery(sender=self._sender)
        try:
            await recovery.run(present)
        except _order_sender.Superseded:
            return SwitchResult.SUPERSEDED
        self.why = recovery.why
        return SwitchResult.ARMED if recovery.is_armed else SwitchResult.KEPT

    async def _switch(
        self,
        layout: _group_map.Layout,
        present: _group_map.Layout,
        known: Sequence[_group_map.RankReport],
    ) -> SwitchResult:
        reports = list(known)
        if len(reports) < self._size:
            answers = await self._sender.fetch_reports()
            reports = _order_sender.reports_in(answers)
        if len(reports) < self._size:
            self.why = 'not all ranks report'
            return SwitchResult.KEPT
        if any(one.held or one.armed for one in reports):
            self.why = 'another switch stands'
            return SwitchResult.KEPT
        version = self._sender.next_version(reports)
        if not await self._prepare(version, layout):
            self.why = 'not all ranks prepared'
            return SwitchResult.KEPT
        step = await self._hold()
        if step is None:
            self.why = 'not held'
            return SwitchResult.KEPT
        if await self._arm(version, step):
            await self._undo.release(step, self._sender.all_ranks)
            return await self._wait_for_pass(version)
        self.why = 'not all ranks armed'
        await self._undo.disarm_permanently({version}, present, frozenset())
        await self._undo.release(step, self._sender.all_ranks)
        return SwitchResult.KEPT

    async def _prepare(
        self,
        version: int,
        layout: _group_map.Layout,
    ) -> bool:
        """Prepares all ranks, which then refuse orders of earlier runs."""
        order = self._sender.order(
            _orders.OrderKind.PREPARE,
            version=version,
            layout=layout,
        )
        missing = set(self._sender.all_ranks)
        for _ in range(_PREPARE_ATTEMPTS):
            answers = await self._sender.send_all(order, missing)
            missing -= {
                rank
                for rank, answer in answers.items()
                if _has_prepared(answer, version)
            }
            if not missing:
                return True
            ends = {answer.end for answer in answers.values()}
            if _orders.OrderEnd.REFUSED in ends:
                return False
        return False

    async def _hold(self) -> int | None:
        """Holds one of the next passes; returns its number."""
        lost_step: int | None = None
        for _ in range(_HOLD_ATTEMPTS):
            self._chosen_ms = self._clock.now_ms()
            report = await self._sender.report_of(self._own_rank)
            if report is None:
                break
            step = report.step + self._step_margin
            answer = await self._sender.send(
                self._hold_rank,
                self._sender.order(_orders.OrderKind.HOLD, step=step),
                through=self._own_rank,
            )
            if answer.end is _orders.OrderEnd.DONE:
                return step
            if answer.end is _orders.OrderEnd.LOST:
                lost_step = step
                await self._take_back_hold(step)
            elif not self._sender.engines_fence:
                await self._end_late_hold()
        if lost_step is not None:
            await self._take_back_hold(lost_step, until_answered=True)
        return None

    async def _take_back_hold(
        self, step: int, *, until_answered: bool = False
    ) -> None:
        """Releases a hold that got no answer.

        The order to release the group must be refused after the next hold, and
        the lost one after that order.
        """
        self._sender.raise_fence()
        await self._undo.release(
            step, {self._hold_rank}, until_answered=until_answered
        )
        self._sender.raise_fence()

    async def _end_late_hold(self) -> None:
        """Releases a lost hold that an engine has accepted after all."""
        report = await self._sender.report_of(self._hold_rank)
        if report is not None and report.held is not None:
            await self._undo.release(report.held, {self._hold_rank})

    async def _arm(self, version: int, step: int) -> bool:
        """Arms every rank, its own one last; returns whether all are armed."""
        began_ms = self._clock.now_ms()
        others = set(range(self._size)) - {self._own_rank}
        if not await self._arm_ranks(others, version, step):
            return False
        if self._clock.now_ms() - began_ms > _ARM_FRESH_MS:
            # After a pause the other ranks may have been disarmed since.
            return False
        return await self._arm_own_rank(version, step)

    async def _arm_own_rank(self, version: int, step: int) -> bool:
        order = self._sender.order(
            _orders.OrderKind.ARM, version=version, step=step
        )
        wanted = _group_map.ArmedMap(version=version, step=step)
        until_ms = self._clock.now_ms() + _ARM_TIMEOUT_MS
        while self._clock.now_ms() < until_ms:
            answer = await self._sender.send(
                self._own_rank,
                order,
                through=self._arming_rank,
            )
            report = await self._sender.report_of(self._own_rank)
            if report is not None and report.armed == wanted:
                return True
            if answer.end is _orders.OrderEnd.REFUSED:
                return False
        return False

    async def _arm_ranks(
        self,
        ranks: set[int],
        version: int,
        step: int,
    ) -> bool:
        order = self._sender.order(
            _orders.OrderKind.ARM, version=version, step=step
        )
        wanted = _group_map.ArmedMap(version=version, step=step)
        missing = set(ranks)
        until_ms = self._clock.now_ms() + _ARM_TIMEOUT_MS
        while missing and self._clock.now_ms() < until_ms:
            asked = sorted(missing)
            answers = await asyncio.gather(
                *(self._sender.send(rank, order) for rank in asked),
            )
            missing -= {
                rank
                for rank, answer in zip(asked, answers, strict=True)
                if answer.report is not None and answer.report.armed == wanted
            }
            if any(_is_refused(one, wanted) for one in answers):
                return False
            if missing:
                await asyncio.sleep(_ARM_RETRY_S)
        return not missing

    async def _wait_for_pass(self, version: int) -> SwitchResult:
        """Waits until the pass of the switch has begun."""
        for _ in range(_PASS_POLLS_MAX):
            report = await self._sender.report_of(self._own_rank)
            if report is not None and report.map_version == version:
                return SwitchResult.SWITCHED
            await asyncio.sleep(_PASS_POLL_S)
        return SwitchResult.ARMED

    def _note_answer(
        self,
        rank: int,
        order: _orders.RankOrder,
        answer: _orders.RankAnswer,
    ) -> None:
        is_go = order.kind is _orders.OrderKind.GO and rank == self._hold_rank
        is_done = answer.end is _orders.OrderEnd.DONE
        if is_go and is_done and self.arming_ms is None:
            self.arming_ms = self._clock.now_ms() - self._chosen_ms


def _has_prepared(answer: _orders.RankAnswer, version: int) -> bool:
    return answer.report is not None and answer.report.prepared == version


def _is_refused(
    answer: _orders.RankAnswer,
    wanted: _group_map.ArmedMap,
) -> bool:
    """Tells whether an ARM order was refused and is not in force."""
    is_armed = answer.report is not None and answer.report.armed == wanted
    return answer.end is _orders.OrderEnd.REFUSED and not is_armed
