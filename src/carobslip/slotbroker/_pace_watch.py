"""Concurrency limit of a target that has just started or recovered."""

import collections
from typing import Final

from carobslip.slotbroker import _types

#: Multiple of the usual time to the first event that still counts as usual.
_USUAL_RATIO: Final = 1.5
#: Multiple at which a single answer reduces the limit. Prompts differ in
#: size, so a single answer below it does not.
_MUCH_SLOWER_RATIO: Final = 3.0
#: Answers of a target that are judged together, and how many of them have to
#: be slow to reduce the limit.
_JUDGED_ANSWERS: Final = 3
_SLOW_ANSWERS: Final = 2
#: Time in which the limit grows by all slots, once answers are usual and
#: while most targets of the service are watched.
_GROWTH_MS: Final = 2000.0
_SHARED_GROWTH_MS: Final = 1000.0
#: The same after a failure or slow answers: what the target bears is near, and
#: answers that show it arrive only when requests end.
_LATER_GROWTH_MS: Final = 6000.0
#: Growth counted at once, so that a broker that resumes after a pause does not
#: raise all limits to their maximum.
_GROWTH_STEP_MAX_MS: Final = 500.0
#: Parts of the slots by which the limit may grow after one usual answer, and
#: before the next one. Two answers suffice for a target of five slots; a
#: smaller part left such targets short for another request time of 2 s.
_GROWTH_PER_ANSWER: Final = 0.34
_GROWTH_MAX: Final = 0.5
#: Parts of the slots, and requests, with which a target starts.
_START_SHARE: Final = 0.125
_START_SHARE_MAX: Final = 0.5
_START_MIN: Final = 2
#: Factor of the limit after a failure or slow answers.
_REDUCTION: Final = 0.5
#: A single NOT_RUN can be the answer to one request, so two in a row count.
_NOT_RUN_MAX: Final = 2
#: A target that answers without failures for this time is slow for another
#: reason than its start; its limit grows again.
_SLOW_MAX_MS: Final = 15_000.0

_FAILURES: Final = frozenset(
    (_types.SlotResult.FAILED, _types.SlotResult.UNREACHABLE),
)


def start_limit(slots: int) -> int:
    """Returns the requests that a target gets at once at first."""
    small = max(_START_MIN, int(slots * _START_SHARE))
    return max(1, min(small, int(slots * _START_SHARE_MAX)))


class Watch:
    """Additive growth of a target's limit, halved when the target suffers.

    Args:
        slots: Requests that the target processes concurrently.
        now_ms: Monotonic time.
        limit: Requests that it may have at first.
    """

    def __init__(self, *, slots: int, now_ms: float, limit: float) -> None:
        self.slots = slots
        self.limit = limit
        self.since_ms = now_ms
        self.answers = 0
        self._judged_from_ms = now_ms
        self._grown_ms = now_ms
        self._full_ms = now_ms
        self._is_confirmed = False
        self._growth_left = 0.0
        self._has_suffered = False
        self._failed_ms = now_ms
        self._not_run = 0
        self._are_slow: collections.deque[bool] = collections.deque(
            maxlen=_JUDGED_ANSWERS,
        )

    @property
    def requests_max(self) -> int:
        """Requests that the target may have; at least one."""
        return max(1, int(self.limit))

    @property
    def is_over(self) -> bool:
        """Tells whether an answer was usual while all slots could be used."""
        return self._is_confirmed

    def grow(self, now_ms: float, *, with_fleet: bool) -> None:
        """Raises the limit by the time since the last call.

        Args:
            now_ms: Monotonic time.
            with_fleet: Most targets are watched; the limit grows without
                usual answers until the target fails.
        """
        passed_ms = min(_GROWTH_STEP_MAX_MS, now_ms - self._grown_ms)
        self._grown_ms = now_ms
        if self.limit < self.slots:
            self._raise_limit(passed_ms, with_fleet=with_fleet)
            self._full_ms = now_ms

    def judge(
        self,
        outcome: _types.SlotOutcome,
        usual_ms: float | None,
        now_ms: float,
    ) -> str | None:
        """Applies an outcome, and returns why it reduced the limit, if it did.

        Args:
            outcome: The end of a request.
            usual_ms: Median time to the first event of the other targets;
                None if there is nothing to compare with.
            now_ms: Monotonic time.
        """
        # Requests from before a reduction do not show its effect.
        started_ms = now_ms - outcome.took_ms
        if started_ms < self._judged_from_ms:
            return None
        answers = self.answers
        reason = self._find_fault(outcome, usual_ms, now_ms)
        if reason is not None:
            self._reduce(now_ms)
        elif self.answers > answers and not self._are_slow[-1]:
            self._growth_left = min(
                self.slots * _GROWTH_MAX,
                self._growth_left + self.slots * _GROWTH_PER_ANSWER,
            )
            is_full = self.limit >= self.slots
            self._is_confirmed = is_full and started_ms >= self._full_ms
        return reason

    def _raise_limit(self, passed_ms: float, *, with_fleet: bool) -> None:
        if with_fleet and not self._has_suffered:
            self.limit += self.slots * passed_ms / _SHARED_GROWTH_MS
            return
        growth_ms = _LATER_GROWTH_MS if self._has_suffered else _GROWTH_MS
        step = min(self._growth_left, self.slots * passed_ms / growth_ms)
        self._growth_left -= step
        self.limit += step

    def _find_fault(
        self,
        outcome: _types.SlotOutcome,
        usual_ms: float | None,
        now_ms: float,
    ) -> str | None:
        if outcome.result in _FAILURES:
            self._failed_ms = now_ms
            return str(outcome.result.value)
        if outcome.result is _types.SlotResult.NOT_RUN:
            self._not_run += 1
            if self._not_run < _NOT_RUN_MAX:
                return None
            self._failed_ms = now_ms
            return str(outcome.result.value)
        if now_ms - self._failed_ms > _SLOW_MAX_MS:
            return self._compare(_answer_ms(outcome, None), None)
        return self._compare(_answer_ms(outcome, usual_ms), usual_ms)

    def _compare(
        self, answer_ms: float | None, usual_ms: float | None
    ) -> str | None:
        if answer_ms is None:
            return None
        self.answers += 1
        self._not_run = 0
        ratio = answer_ms / usual_ms if usual_ms else 0.0
        is_slow = ratio > _USUAL_RATIO
        self._are_slow.append(is_slow)
        if is_slow:
            self._growth_left = 0.0
        if ratio > _MUCH_SLOWER_RATIO or sum(self._are_slow) >= _SLOW_ANSWERS:
            return 'slow'
        return None

    def _reduce(self, now_ms: float) -> None:
        self.limit = max(1.0, self.limit * _REDUCTION)
        self._judged_from_ms = now_ms
        self._growth_left = 0.0
        self._has_suffered = True
        self._not_run = 0
        self._are_slow.clear()


def _answer_ms(
    outcome: _types.SlotOutcome, usual_ms: float | None
) -> float | None:
    """Returns the time to the first event; None if there was no answer.

    A caller that left without an event has waited at least for the whole time
    of the request. An answer without events counts as usual.
    """
    if outcome.first_event_ms is not None:
        return outcome.first_event_ms
    if outcome.result is _types.SlotResult.SERVED:
        return 0.0
    if usual_ms is not None and outcome.took_ms > _USUAL_RATIO * usual_ms:
        return outcome.took_ms
    return None
