"""Load hints of guards; they may be stale and guarantee nothing."""

from collections.abc import Iterable

from carobslip import clocks, control, identifiers


class KnownGuard:
    """The latest hint of one guard and our attempts there since.

    Attributes:
        hint: The guard's latest hint.
        received_ms: When it was received, on our monotonic clock.
        in_flight: Our attempts in progress there.
        sent_since: Our attempts sent after the hint was received.
    """

    def __init__(self, *, hint: control.GuardHint, received_ms: float) -> None:
        self.hint = hint
        self.received_ms = received_ms
        self.in_flight = 0
        self.sent_since = 0

    def guard_now_ms(self, now_ms: float) -> float:
        """Estimates the guard's monotonic clock, never ahead of it."""
        return self.hint.guard_now_ms + (now_ms - self.received_ms)

    @property
    def load(self) -> float:
        """Requests running or waiting there, relative to its limit."""
        hint = self.hint
        busy = hint.limit - hint.room + hint.waiting + self.sent_since
        return max(busy, self.in_flight) / max(1, hint.limit)


class HintStore:
    """Stores the latest hint of each target's guard.

    Args:
        clock: Monotonic time of this process.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._guards: dict[identifiers.TargetId, KnownGuard] = {}
        self._avoid_until_ms: dict[identifiers.TargetId, float] = {}

    def find(self, target: identifiers.TargetId) -> KnownGuard | None:
        """Returns the state of a target's guard; None without a hint."""
        return self._guards.get(target)

    def note(self, hint: control.GuardHint) -> KnownGuard:
        """Stores a new hint; ignores one that is older than the stored one."""
        known = self._guards.get(hint.target)
        now_ms = self._clock.now_ms()
        if known is None:
            known = KnownGuard(hint=hint, received_ms=now_ms)
            self._guards[hint.target] = known
        elif _is_newer(hint, known.hint):
            known.hint = hint
            known.received_ms = now_ms
            known.sent_since = 0
        self._avoid_until_ms.pop(hint.target, None)
        return known

    def avoid(self, target: identifiers.TargetId, duration_ms: float) -> None:
        """Avoids a target for a while after it could not be reached."""
        self._avoid_until_ms[target] = self._clock.now_ms() + duration_ms

    def is_avoided(self, target: identifiers.TargetId) -> bool:
        """Tells whether a target is currently avoided."""
        until_ms = self._avoid_until_ms.get(target)
        if until_ms is None:
            return False
        if until_ms <= self._clock.now_ms():
            self._avoid_until_ms.pop(target)
            return False
        return True

    def age_ms(self, target: identifiers.TargetId) -> float:
        """Returns the age of a target's hint; infinite without one."""
        known = self._guards.get(target)
        if known is None:
            return float('inf')
        return self._clock.now_ms() - known.received_ms

    def keep_only(self, targets: Iterable[identifiers.TargetId]) -> None:
        """Removes all other targets."""
        kept = set(targets)
        removed = set(self._guards) - kept
        for target in removed:
            self._guards.pop(target)
            self._avoid_until_ms.pop(target, None)


def _is_newer(hint: control.GuardHint, known: control.GuardHint) -> bool:
    if hint.incarnation != known.incarnation:
        return hint.incarnation > known.incarnation
    return hint.guard_now_ms >= known.guard_now_ms
