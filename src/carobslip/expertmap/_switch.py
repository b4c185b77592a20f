"""Switches a whole group to a new layout in one pass.

While one rank holds the group before a pass, every rank is armed for it. The
hold ends only when all are armed, or when none is and none can become so any
more. Engines carry some orders out late: an arming that comes after the pass
has begun, or for a map that is no longer prepared, is refused by the engine.
"""

import asyncio
import enum
from collections.abc import Sequence
from typing import Final

from carobslip import clocks
from carobslip.expertmap import _group_map, _orders

#: Passes between the last one begun and the one of the switch. Arming takes a
#: few milliseconds and a pass tens of them.
_STEP_MARGIN: Final = 2
#: Tries to hold a pass that may begin before the order arrives.
_HOLD_TRIES: Final = 3
#: Arming is repeated for this long at ranks that gave no answer; a hold that
#: lasts longer costs more than the switch gains.
_ARM_TRIES_MS: Final = 600.0
_ARM_PAUSE_S: Final = 0.02
#: The pass of a switch is looked for this often; a busy group begins one
#: within a tenth of a second.
_PASS_LOOK_S: Final = 0.015
_PASS_TRIES: Final = 40
#: Undoing goes on until it is certain, at this interval.
_UNDO_PAUSE_S: Final = 0.1
#: Orders that find the engine in another state are given this often.
_UNDO_TRIES: Final = 100
#: Versions of different coordinators differ below this step.
_VERSION_STEP: Final = 1024


class SwitchResult(enum.Enum):
    """How a switch ended."""

    SWITCHED = 'switched'
    #: All ranks are armed, but the group is idle and begins no pass.
    ARMED = 'armed'
    KEPT = 'kept'
    #: Another coordinator leads, or the group formed anew.
    SUPERSEDED = 'superseded'


class _Superseded(Exception):
    """This coordinator has no say any more."""


class GroupSwitch:
    """Gives the orders of switches in one epoch of a group.

    Args:
        ranks: Reaches the ranks.
        size: Ranks in the group.
        own_rank: Where the group is held, next to this coordinator.
        epoch: The group's epoch.
        fence: This coordinator's number.
        clock: Monotonic time.
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
    ) -> None:
        self._ranks = ranks
        self._size = size
        self._own_rank = own_rank
        self._epoch = epoch
        self._fence = fence
        self._clock = clock
        self._version = 0
        self.fence_seen = fence

    async def switch(
        self,
        layout: _group_map.Layout,
        present: _group_map.Layout,
    ) -> SwitchResult:
        """Brings a layout into force in all ranks, or in none.

        Args:
            layout: What the ranks shall hold.
            present: What they hold now.
        """
        try:
            return await self._switch(layout, present)
        except _Superseded:
            return SwitchResult.SUPERSEDED

    async def recover(self, present: _group_map.Layout) -> SwitchResult:
        """Ends what another coordinator has left standing.

        Args:
            present: What the ranks hold now.
        """
        try:
            return await self._recover(present)
        except _Superseded:
            return SwitchResult.SUPERSEDED

    async def _switch(
        self,
        layout: _group_map.Layout,
        present: _group_map.Layout,
    ) -> SwitchResult:
        reports = await self._reports()
        if any(report.held or report.armed for report in reports):
            return SwitchResult.KEPT
        version = self._next_version(reports)
        if not await self._prepare(version, layout):
            return SwitchResult.KEPT
        step = await self._hold(version)
        if step is None:
            return SwitchResult.KEPT
        if await self._arm(version, step):
            await self._go(step)
            return await self._wait_for_pass(version)
        await self._undo(version, step, present)
        return SwitchResult.KEPT

    async def _recover(
        self,
        present: _group_map.Layout,
    ) -> SwitchResult:
        await self._take_holds(await self._reports())
        reports = await self._reports()
        held = [report.held for report in reports if report.held is not None]
        armed = [report.armed for report in reports if report.armed]
        if not held and not armed:
            return SwitchResult.KEPT
        first = armed[0] if armed else None
        if len(armed) == self._size and all(one == first for one in armed):
            for step in set(held):
                await self._go(step)
            return SwitchResult.ARMED
        version = 0 if first is None else first.version
        for step in set(held) or {0}:
            await self._undo(version, step, present)
        return SwitchResult.KEPT

    async def _take_holds(
        self,
        reports: Sequence[_group_map.RankReport],
    ) -> None:
        """Makes sure that nobody else can end a hold.

        A coordinator that still lives might let the group go while this one
        disarms ranks. Repeating its hold under a higher number prevents that.
        """
        for report in reports:
            if report.held is not None:
                await self._give(
                    report.rank,
                    self._order(_orders.OrderKind.HOLD, step=report.held),
                )

    async def _prepare(
        self,
        version: int,
        layout: _group_map.Layout,
    ) -> bool:
        answers = await self._order_all(
            self._order(
                _orders.OrderKind.PREPARE,
                version=version,
                layout=layout,
            ),
        )
        return all(
            answer.report is not None and answer.report.prepared == version
            for answer in answers
        )

    async def _hold(self, version: int) -> int | None:
        """Holds a near pass at the own rank; returns its number."""
        for _try in range(_HOLD_TRIES):
            report = await self._report_of(self._own_rank)
            if report is None:
                return None
            step = report.step + _STEP_MARGIN
            answer = await self._give(
                self._own_rank,
                self._order(_orders.OrderKind.HOLD, step=step),
            )
            if answer.report is not None and answer.report.held == step:
                return step
            if answer.end is _orders.OrderEnd.LOST:
                # It may land later: a hold must not be left standing.
                await self._go(step)
                return None
        return None

    async def _arm(self, version: int, step: int) -> bool:
        """Arms every rank; True when all of them have confirmed it."""
        order = self._order(_orders.OrderKind.ARM, version=version, step=step)
        wanted = _group_map.ArmedMap(version=version, step=step)
        missing = set(range(self._size))
        until_ms = self._clock.now_ms() + _ARM_TRIES_MS
        while missing and self._clock.now_ms() < until_ms:
            ranks = sorted(missing)
            answers = await asyncio.gather(
                *(self._give(rank, order) for rank in ranks),
            )
            for rank, answer in zip(ranks, answers, strict=True):
                if answer.report is not None and answer.report.armed == wanted:
                    missing.discard(rank)
                elif answer.end is _orders.OrderEnd.REFUSED:
                    return False
            if missing:
                await asyncio.sleep(_ARM_PAUSE_S)
        return not missing

    async def _wait_for_pass(self, version: int) -> SwitchResult:
        """Waits until the pass of the switch has begun."""
        for _try in range(_PASS_TRIES):
            report = await self._report_of(self._own_rank)
            if report is not None and report.map_version == version:
                return SwitchResult.SWITCHED
            await asyncio.sleep(_PASS_LOOK_S)
        return SwitchResult.ARMED

    async def _undo(
        self,
        version: int,
        step: int,
        present: _group_map.Layout,
    ) -> None:
        """Disarms every rank for good, then ends the hold.

        An arming that was lost may still be carried out. Preparing another
        map, equal to the one in use and thus without a copy, makes the engine
        refuse it: the version is no longer prepared.
        """
        for _try in range(_UNDO_TRIES):
            reports = await self._known_reports()
            neutral = self._next_version(reports)
            disarm = self._order(
                _orders.OrderKind.DISARM,
                version=version,
            )
            if version:
                await self._order_all(disarm)
            answers = await self._order_all(
                self._order(
                    _orders.OrderKind.PREPARE,
                    version=neutral,
                    layout=present,
                ),
            )
            if all(_is_neutral(answer, neutral) for answer in answers):
                break
            await asyncio.sleep(_UNDO_PAUSE_S)
        if step:
            await self._go(step)

    async def _go(self, step: int) -> None:
        """Ends a hold wherever it stands, until no rank reports it."""
        order = self._order(_orders.OrderKind.GO, step=step)
        for _try in range(_UNDO_TRIES):
            answers = await self._order_all(order)
            stands = [
                answer.report is None or answer.report.held == step
                for answer in answers
            ]
            if not any(stands):
                return
            await asyncio.sleep(_UNDO_PAUSE_S)

    def _order(
        self,
        kind: _orders.OrderKind,
        *,
        version: int = 0,
        step: int = 0,
        layout: _group_map.Layout = (),
    ) -> _orders.RankOrder:
        return _orders.RankOrder(
            kind=kind,
            epoch=self._epoch,
            fence=self._fence,
            version=version,
            step=step,
            layout=layout,
        )

    async def _order_all(
        self,
        order: _orders.RankOrder,
    ) -> list[_orders.RankAnswer]:
        return await asyncio.gather(
            *(self._give(rank, order) for rank in range(self._size)),
        )

    async def _give(
        self,
        rank: int,
        order: _orders.RankOrder,
    ) -> _orders.RankAnswer:
        """Gives an order; raises _Superseded when it is not ours to give."""
        answer = await self._ranks.order(rank, order)
        self.fence_seen = max(self.fence_seen, answer.fence)
        if answer.end is _orders.OrderEnd.FENCED:
            raise _Superseded
        report = answer.report
        if report is not None and report.epoch != self._epoch:
            raise _Superseded
        return answer

    async def _report_of(
        self,
        rank: int,
    ) -> _group_map.RankReport | None:
        answer = await self._give(
            rank,
            self._order(_orders.OrderKind.REPORT),
        )
        return answer.report

    async def _reports(self) -> list[_group_map.RankReport]:
        """Returns all reports; raises _Superseded if one is missing."""
        reports = await self._known_reports()
        if len(reports) < self._size:
            raise _Superseded
        return reports

    async def _known_reports(self) -> list[_group_map.RankReport]:
        answers = await self._order_all(
            self._order(_orders.OrderKind.REPORT),
        )
        return [
            answer.report for answer in answers if answer.report is not None
        ]

    def _next_version(
        self,
        reports: Sequence[_group_map.RankReport],
    ) -> int:
        """Returns a version that no coordinator has used for another map."""
        known = [self._version]
        for report in reports:
            known += [report.map_version, report.prepared or 0]
        base = (max(known) // _VERSION_STEP + 1) * _VERSION_STEP
        self._version = base + self._own_rank
        return self._version


def _is_neutral(answer: _orders.RankAnswer, version: int) -> bool:
    """Tells whether no earlier map can be armed at a rank any more."""
    report = answer.report
    if report is None:
        return False
    return report.armed is None and report.prepared == version
