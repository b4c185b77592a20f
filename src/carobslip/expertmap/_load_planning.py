"""Plans maps of a contended service without blocking the event loop."""

import asyncio
import math
import time
from collections.abc import Sequence
from typing import Final

import msgspec

from carobslip import clocks
from carobslip.expertmap import _group_map, _plan

#: The event loop runs other tasks after this much planning. One step is added
#: to it, and processes have a part of a core.
_SLICE_S: Final = 0.003
#: Pause between two slices, so that planning uses at most about half a core.
_PAUSE_S: Final = 0.002
#: A rank whose pace has changed by this factor since the last plan needs
#: another one at once.
_NEW_PACE_RATIO: Final = 1.25
#: Plans that may come early in a row. Ranks that become slow together report it
#: one after the other within a report period.
_EARLY_PLANS_MAX: Final = 2.0
#: Intervals in which one more early plan is allowed, so that paces that vary
#: all the time do not fill the link of the coordinator.
_EARLY_INTERVALS: Final = 2.0
#: Below this share of its slots in use a group has short passes under any map.
_LOW_LOAD_SHARE: Final = 0.5


class LoadPlanner:
    """Plans maps from reports, and tells when a new plan is due.

    Args:
        clock: Monotonic time.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._planned_ms = -math.inf
        self._claimed_ms = clock.now_ms()
        self._early_left = _EARLY_PLANS_MAX
        self._planned_paces: list[float] = []

    def claim(
        self,
        interval_ms: float,
        reports: Sequence[_group_map.RankReport],
    ) -> bool:
        """Tells whether a plan is due, and counts it if it comes early."""
        now_ms = self._clock.now_ms()
        passed_ms = now_ms - self._planned_ms
        refill = (now_ms - self._claimed_ms) / (_EARLY_INTERVALS * interval_ms)
        self._early_left = min(_EARLY_PLANS_MAX, self._early_left + refill)
        self._claimed_ms = now_ms
        if passed_ms >= interval_ms:
            return True
        if self._early_left < 1 or not self._is_pace_new(reports):
            return False
        self._early_left -= 1
        return True

    async def plan(
        self,
        layout: _group_map.Layout,
        tokens: Sequence[Sequence[float]],
        reports: Sequence[_group_map.RankReport],
        bounds: _plan.PlanBounds,
    ) -> _plan.MapPlan | None:
        """Returns a plan; None if keeping the map is no worse.

        Args:
            layout: The layout in force.
            tokens: Recent load by set and expert.
            reports: Recent reports of all ranks.
            bounds: Bounds of the switch.
        """
        self._planned_ms = self._clock.now_ms()
        self._planned_paces = [_pace_of(report) for report in reports]
        if not _has_shape(tokens, layout):
            return None
        planner = _plan.MapPlanner(layout, tokens, self._planned_paces, bounds)
        began_s = time.perf_counter()
        for _ in planner.steps():
            if time.perf_counter() - began_s >= _SLICE_S:
                await asyncio.sleep(_PAUSE_S)
                began_s = time.perf_counter()
        # The final comparison takes several milliseconds in large groups.
        await asyncio.sleep(_PAUSE_S)
        return planner.plan()

    def _is_pace_new(self, reports: Sequence[_group_map.RankReport]) -> bool:
        """Tells whether a rank's pace has changed since the last plan."""
        if len(reports) != len(self._planned_paces):
            return False
        return any(
            _differs(_pace_of(report), pace)
            for report, pace in zip(reports, self._planned_paces, strict=True)
        )


def scale_to_load(
    bounds: _plan.PlanBounds,
    reports: Sequence[_group_map.RankReport],
    slots: int,
) -> _plan.PlanBounds:
    """Returns the bounds for the load of a group.

    With less load passes are shorter, and the time that a map gains is worth
    less.
    """
    running = sum(report.running for report in reports)
    share = running / max(1, slots * len(reports))
    factor = min(1.0, share / _LOW_LOAD_SHARE)
    return msgspec.structs.replace(bounds, valid_ms=bounds.valid_ms * factor)


def _pace_of(report: _group_map.RankReport) -> float:
    return max(report.pace, 0.01)


def _differs(pace: float, planned: float) -> bool:
    return max(pace, planned) > _NEW_PACE_RATIO * min(pace, planned)


def _has_shape(
    tokens: Sequence[Sequence[float]], layout: _group_map.Layout
) -> bool:
    """Tells whether the counts are those of the experts of a layout."""
    if len(tokens) != len(layout):
        return False
    return all(
        {expert for rank in ranks for expert in rank} == set(range(len(counts)))
        for ranks, counts in zip(layout, tokens, strict=True)
    )
