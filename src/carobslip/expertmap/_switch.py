"""Switches a whole group to a new layout in one pass.

While one rank holds the group before a pass, every rank is armed for it. The
hold ends only when all ranks are armed, or when none is and none can be armed
any more. Engines carry out some orders late. An engine refuses to be armed
after the pass has begun, or for a map that is no longer prepared.
"""

import asyncio
import enum
from collections.abc import Sequence
from typing import Final

from carobslip import clocks
from carobslip.expertmap import _coordinator_numbers, _group_map, _orders

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
#: Interval of retries while a switch is undone or a hold is released.
_UNDO_RETRY_S: Final = 0.03
#: Attempts to undo a switch or to release a hold.
_UNDO_ATTEMPTS: Final = 200


class SwitchResult(enum.Enum):
    """How a switch ended."""

    SWITCHED = 'switched'
    #: All ranks are armed, but the group is idle and begins no pass.
    ARMED = 'armed'
    KEPT = 'kept'
    #: Another coordinator is active, or the group has a new epoch.
    SUPERSEDED = 'superseded'


class _Superseded(Exception):
    """Another coordinator or a new epoch has superseded this one."""


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
        self.lost_orders = 0
        #: Time from the report that the step was chosen from until the rank
        #: that was held could go on; None until then.
        self.arming_ms: float | None = None
        self._chosen_ms = 0.0
        self._ranks = ranks
        self._size = size
        self._own_rank = own_rank
        self._hold_rank = (own_rank + 1) % size
        self._arming_rank = (own_rank + 2) % size
        self._epoch = epoch
        self._fence = fence
        self._clock = clock
        self._engines_fence = engines_fence
        self.version = version_min
        self.highest_fence = fence
        self.why = ''

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
        try:
            return await self._switch(layout, present, known)
        except _Superseded:
            return SwitchResult.SUPERSEDED

    async def recover(
        self,
        present: _group_map.Layout | None,
    ) -> SwitchResult:
        """Finishes or undoes a switch that another coordinator left open.

        Args:
            present: Experts that the ranks hold now, if known.
        """
        try:
            return await self._recover(present)
        except _Superseded:
            return SwitchResult.SUPERSEDED

    async def _switch(
        self,
        layout: _group_map.Layout,
        present: _group_map.Layout,
        known: Sequence[_group_map.RankReport],
    ) -> SwitchResult:
        reports = list(known)
        if len(reports) < self._size:
            reports = _reports_in(await self._fetch_reports())
        if len(reports) < self._size:
            self.why = 'not all ranks report'
            return SwitchResult.KEPT
        if any(one.held or one.armed for one in reports):
            self.why = 'another switch stands'
            return SwitchResult.KEPT
        version = self._next_version(reports)
        if not await self._prepare(version, layout):
            self.why = 'not all ranks prepared'
            return SwitchResult.KEPT
        step = await self._hold()
        if step is None:
            self.why = 'not held'
            return SwitchResult.KEPT
        if await self._arm(version, step):
            await self._release(step, set())
            return await self._wait_for_pass(version)
        self.why = 'not all ranks armed'
        await self._disarm_permanently({version}, present, set())
        await self._release(step, set())
        return SwitchResult.KEPT

    async def _recover(
        self,
        present: _group_map.Layout | None,
    ) -> SwitchResult:
        await self._take_over_holds(await self._fetch_reports())
        answers = await self._fetch_reports()
        reports = _reports_in(answers)
        absent = set(range(self._size)) - set(answers)
        known_absent = self._armed_map_of_absent(absent, answers)
        steps = {one.held for one in reports if one.held is not None}
        armed = [one.armed for one in reports if one.armed is not None]
        if not steps and not armed:
            return SwitchResult.KEPT
        if absent and known_absent is None:
            self.why = f'{sorted(absent)} cannot be asked'
            return SwitchResult.KEPT
        armed += known_absent or []
        if len(armed) == self._size and len(set(armed)) == 1:
            await self._release_all(steps, absent)
            return SwitchResult.ARMED
        if known_absent:
            self.why = f'{sorted(absent)} cannot be disarmed'
        elif present is None and not self._engines_fence:
            self.why = 'the layout in use is unknown'
        else:
            await self._undo(reports, present, absent)
        return SwitchResult.KEPT

    async def _undo(
        self,
        reports: Sequence[_group_map.RankReport],
        present: _group_map.Layout | None,
        absent: set[int],
    ) -> None:
        """Disarms all ranks and releases their holds.

        Args:
            reports: Reports of the ranks that answer.
            present: Experts that the ranks hold now, if known.
            absent: Ranks that do not answer, and are not armed.
        """
        versions = {one.armed.version for one in reports if one.armed}
        if present is None:
            versions = versions or {max(one.prepared or 0 for one in reports)}
        await self._disarm_permanently(versions, present, absent)
        if absent and not any(one.running for one in reports):
            # The absent rank could be armed until the pass begins, and an
            # idle group begins no pass.
            self.why = f'idle, and {sorted(absent)} cannot be asked'
            return
        steps = {one.held for one in reports if one.held is not None}
        await self._release_all(steps, absent)
        self.why = f'undone, held before {sorted(steps)}'

    def _armed_map_of_absent(
        self,
        absent: set[int],
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
        arming = (min(absent) + 2) % self._size
        if arming not in answers:
            return None
        if answers[arming].coordinator_in_doubt:
            return None
        armed = answers[arming].coordinator_armed_map
        return [] if armed is None else [armed]

    async def _take_over_holds(
        self,
        answers: dict[int, _orders.RankAnswer],
    ) -> None:
        """Prevents other coordinators from ending a hold.

        A coordinator that is still alive might release the group while this
        one disarms ranks. Repeating its hold with a higher fencing number
        prevents that.
        """
        for rank, answer in answers.items():
            if answer.report is not None and answer.report.held is not None:
                await self._send(
                    rank,
                    self._order(
                        _orders.OrderKind.HOLD,
                        step=answer.report.held,
                    ),
                )

    async def _prepare(
        self,
        version: int,
        layout: _group_map.Layout,
    ) -> bool:
        order = self._order(
            _orders.OrderKind.PREPARE,
            version=version,
            layout=layout,
        )
        ready: set[int] = set()
        for _ in range(_PREPARE_ATTEMPTS):
            asked = [rank for rank in range(self._size) if rank not in ready]
            answers = await self._order_all(order, ready)
            ready |= {
                rank
                for rank, answer in zip(asked, answers, strict=True)
                if _has_prepared(answer, version)
            }
            if len(ready) == self._size:
                return True
            if any(one.end is _orders.OrderEnd.REFUSED for one in answers):
                return False
        return False

    async def _hold(self) -> int | None:
        """Holds one of the next passes; returns its number."""
        for _ in range(_HOLD_ATTEMPTS):
            self._chosen_ms = self._clock.now_ms()
            report = await self._report_of(self._own_rank)
            if report is None:
                return None
            step = report.step + self._step_margin
            answer = await self._send(
                self._hold_rank,
                self._order(_orders.OrderKind.HOLD, step=step),
                through=self._own_rank,
            )
            if answer.end is _orders.OrderEnd.DONE:
                return step
            if answer.end is _orders.OrderEnd.LOST:
                # The order may take effect later, and no hold may remain.
                await self._release(step, set())
        return None

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
        order = self._order(_orders.OrderKind.ARM, version=version, step=step)
        wanted = _group_map.ArmedMap(version=version, step=step)
        until_ms = self._clock.now_ms() + _ARM_TIMEOUT_MS
        while self._clock.now_ms() < until_ms:
            answer = await self._send(
                self._own_rank,
                order,
                through=self._arming_rank,
            )
            report = await self._report_of(self._own_rank)
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
        order = self._order(_orders.OrderKind.ARM, version=version, step=step)
        wanted = _group_map.ArmedMap(version=version, step=step)
        missing = set(ranks)
        until_ms = self._clock.now_ms() + _ARM_TIMEOUT_MS
        while missing and self._clock.now_ms() < until_ms:
            asked = sorted(missing)
            answers = await asyncio.gather(
                *(self._send(rank, order) for rank in asked),
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
            report = await self._report_of(self._own_rank)
            if report is not None and report.map_version == version:
                return SwitchResult.SWITCHED
            await asyncio.sleep(_PASS_POLL_S)
        return SwitchResult.ARMED

    async def _disarm_permanently(
        self,
        versions: set[int],
        present: _group_map.Layout | None,
        absent: set[int],
    ) -> None:
        """Disarms every rank permanently.

        A lost ARM order may still be carried out. Preparing another map that
        equals the one in use needs no copies, and makes the engine refuse that
        order, as its version is no longer prepared. If the layout in use is
        unknown, an answered DISARM makes a fencing engine refuse the order.
        """
        neutral = 0
        if present is not None:
            neutral = self._next_version(
                _reports_in(await self._fetch_reports()),
            )
        done = set(absent)
        for _ in range(_UNDO_ATTEMPTS):
            asked = [rank for rank in range(self._size) if rank not in done]
            answers: list[_orders.RankAnswer] = []
            for version in sorted(versions):
                answers = await self._order_all(
                    self._order(_orders.OrderKind.DISARM, version=version),
                    done,
                )
            if present is not None:
                answers = await self._order_all(
                    self._order(
                        _orders.OrderKind.PREPARE,
                        version=neutral,
                        layout=present,
                        is_undo=True,
                    ),
                    done,
                )
            done |= {
                rank
                for rank, answer in zip(asked, answers, strict=True)
                if _is_disarmed(answer, neutral)
            }
            if len(done) == self._size:
                return
            await asyncio.sleep(_UNDO_RETRY_S)
        raise _Superseded

    async def _release_all(self, steps: set[int], absent: set[int]) -> None:
        for step in steps:
            await self._release(step, absent)

    async def _release(self, step: int, absent: set[int]) -> None:
        """Releases a hold at all ranks until no rank reports it."""
        order = self._order(_orders.OrderKind.GO, step=step)
        for _ in range(_UNDO_ATTEMPTS):
            answers = await self._order_all(order, absent)
            held_flags = [
                answer.report is None or answer.report.held == step
                for answer in answers
            ]
            if not any(held_flags):
                return
            await asyncio.sleep(_UNDO_RETRY_S)

    def _order(
        self,
        kind: _orders.OrderKind,
        *,
        version: int = 0,
        step: int = 0,
        layout: _group_map.Layout = (),
        is_undo: bool = False,
    ) -> _orders.RankOrder:
        return _orders.RankOrder(
            kind=kind,
            epoch=self._epoch,
            fence=self._fence,
            coordinator_rank=self._own_rank,
            version=version,
            step=step,
            layout=layout,
            is_undo=is_undo,
        )

    async def _order_all(
        self,
        order: _orders.RankOrder,
        absent: set[int],
    ) -> list[_orders.RankAnswer]:
        ranks = [rank for rank in range(self._size) if rank not in absent]
        return await asyncio.gather(
            *(self._send(rank, order) for rank in ranks),
        )

    async def _send(
        self,
        rank: int,
        order: _orders.RankOrder,
        *,
        through: int | None = None,
    ) -> _orders.RankAnswer:
        """Sends an order; raises _Superseded if fenced or in a new epoch."""
        answer = await self._ranks.order(rank, order, through=through)
        self.highest_fence = max(self.highest_fence, answer.fence)
        if answer.end is _orders.OrderEnd.FENCED:
            raise _Superseded
        if answer.end is _orders.OrderEnd.LOST:
            self.lost_orders += 1
        if self._ends_hold(rank, order, answer):
            self.arming_ms = self._clock.now_ms() - self._chosen_ms
        report = answer.report
        if report is not None and report.epoch != self._epoch:
            raise _Superseded
        return answer

    def _ends_hold(
        self,
        rank: int,
        order: _orders.RankOrder,
        answer: _orders.RankAnswer,
    ) -> bool:
        is_go = order.kind is _orders.OrderKind.GO and rank == self._hold_rank
        is_done = answer.end is _orders.OrderEnd.DONE
        return is_go and is_done and self.arming_ms is None

    async def _report_of(
        self,
        rank: int,
    ) -> _group_map.RankReport | None:
        answer = await self._send(
            rank,
            self._order(_orders.OrderKind.REPORT),
        )
        return answer.report

    async def _fetch_reports(self) -> dict[int, _orders.RankAnswer]:
        """Returns the answers of the ranks that report."""
        answers = await self._order_all(
            self._order(_orders.OrderKind.REPORT),
            set(),
        )
        return {
            rank: answer
            for rank, answer in enumerate(answers)
            if answer.report is not None
        }

    def _next_version(
        self,
        reports: Sequence[_group_map.RankReport],
    ) -> int:
        """Returns a version that no coordinator has used for another map."""
        known = max(
            (max(one.map_version, one.prepared or 0) for one in reports),
            default=0,
        )
        self.version = _coordinator_numbers.next_version(
            max(known, self.version), self._own_rank
        )
        return self.version


def _reports_in(
    answers: dict[int, _orders.RankAnswer],
) -> list[_group_map.RankReport]:
    return [one.report for one in answers.values() if one.report is not None]


def _has_prepared(answer: _orders.RankAnswer, version: int) -> bool:
    return answer.report is not None and answer.report.prepared == version


def _is_refused(
    answer: _orders.RankAnswer,
    wanted: _group_map.ArmedMap,
) -> bool:
    """Tells whether an ARM order was refused and is not in force."""
    is_armed = answer.report is not None and answer.report.armed == wanted
    return answer.end is _orders.OrderEnd.REFUSED and not is_armed


def _is_disarmed(answer: _orders.RankAnswer, neutral: int) -> bool:
    """Tells whether a rank can no longer be armed for an earlier map.

    Args:
        answer: Answer to PREPARE of the neutral map, or to DISARM.
        neutral: Version of the neutral map; 0 if there is none.
    """
    report = answer.report
    if report is None or report.armed is not None:
        return False
    if neutral:
        return report.prepared == neutral
    has_other_map = report.prepared not in {None, report.map_version}
    return not has_other_map or answer.end is _orders.OrderEnd.DONE
