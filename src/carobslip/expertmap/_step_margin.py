"""Chooses how many passes ahead a switch is scheduled."""

import collections
import math
from typing import Final

from carobslip.expertmap import _switch

#: Switches and reports whose times are considered.
_ARMING_TIMES: Final = 8
_PASS_TIMES: Final = 4
#: Arming may take this multiple of the longest recent time, and passes may be
#: this much shorter than the shortest recent one.
_ARMING_RESERVE: Final = 1.25
_PASS_RESERVE: Final = 0.9
#: Times of arming above this come from lost orders. A wider margin would cost
#: more than an occasional hold, as the map takes effect later.
_ARMING_MAX_MS: Final = 350.0
#: Passes of a nearly idle group are longer; it may become busy at any time.
_PASS_MAX_MS: Final = 100.0
#: Assumed time of arming before the first switch, for a group and per rank.
_FIRST_ARMING_MS: Final = 60.0
_FIRST_ARMING_MS_PER_RANK: Final = 2.0
#: A switch that is scheduled further ahead than this takes effect too late.
_MEASURED_MARGIN_MAX: Final = 12


class StepMargin:
    """Margin of the next switch, in passes.

    Args:
        size: Ranks in the group.
    """

    def __init__(self, *, size: int) -> None:
        self._by_losses = _switch.STEP_MARGIN_MIN
        first_ms = _FIRST_ARMING_MS + _FIRST_ARMING_MS_PER_RANK * size
        self._arming_ms = collections.deque([first_ms], maxlen=_ARMING_TIMES)
        self._is_assumed = True
        self._pass_ms: collections.deque[float] = collections.deque(
            maxlen=_PASS_TIMES
        )
        self._step = 0
        self._step_ms: float | None = None

    @property
    def pass_ms(self) -> float:
        """Mean length of the recent passes; 0 if unknown."""
        if not self._pass_ms:
            return 0.0
        return sum(self._pass_ms) / len(self._pass_ms)

    def by_losses(self) -> int:
        """Returns the margin that depends on lost orders only."""
        return self._by_losses

    def by_times(self) -> int:
        """Returns the margin that depends on the measured times.

        The pass before which the group is held begins after ``margin - 1``
        whole passes at the soonest, as the last one may be about to end. Arming
        must be complete by then.
        """
        if not self._pass_ms:
            return self._by_losses
        shortest_ms = _PASS_RESERVE * min((*self._pass_ms, _PASS_MAX_MS))
        arming_ms = _ARMING_RESERVE * max(self._arming_ms)
        margin = 1 + math.ceil(arming_ms / max(1.0, shortest_ms))
        return max(_switch.STEP_MARGIN_MIN, min(margin, _MEASURED_MARGIN_MAX))

    def note_step(self, step: int, now_ms: float) -> None:
        """Records the last pass that the coordinator's rank has begun."""
        if self._step_ms is not None and step > self._step:
            spent_ms = now_ms - self._step_ms
            self._pass_ms.append(spent_ms / (step - self._step))
        elif step < self._step:
            self._pass_ms.clear()
        self._step = step
        self._step_ms = now_ms

    def note_switch(self, lost_orders: int, arming_ms: float | None) -> None:
        """Records a switch.

        Args:
            lost_orders: Orders without an answer.
            arming_ms: Time from the report that the step was chosen from until
                the hold ended; None if not all ranks were armed.
        """
        if lost_orders:
            wider = 2 * self._by_losses
            self._by_losses = min(wider, _switch.STEP_MARGIN_MAX)
        else:
            closer = self._by_losses - 1
            self._by_losses = max(closer, _switch.STEP_MARGIN_MIN)
        if arming_ms is None:
            return
        if self._is_assumed:
            self._arming_ms.clear()
            self._is_assumed = False
        self._arming_ms.append(min(arming_ms, _ARMING_MAX_MS))
