"""Load of each target, as known to an entry."""

import random
from collections.abc import Iterable, Sequence
from typing import Final

from carobslip import clocks, identifiers, targets

#: Validity of the load in an answer, about the duration of a plain call.
ANSWER_VALID_MS: Final = 100.0
#: Part of the free slots in a shared report that entries use: some were taken
#: while the report was in transit.
_FREE_SLOTS_USED_SHARE: Final = 0.7
#: Weight of one answer in the moving average of the service time.
_AVERAGE_SHARE: Final = 0.2
#: Backoff after a failure of a target, doubled for each failure in a row up to
#: the second value.
_AVOID_MS: Final = 500.0
_AVOID_MAX_MS: Final = 4000.0
#: Failures in a row after which a target that still answers is avoided.
_FAILURES_MAX: Final = 2


class _TargetState:
    """Load and failures of one target, as known to this entry."""

    def __init__(self) -> None:
        self.own = 0
        self.others = 0
        self.total = 0
        self.sharers = 1
        self.rounding = 0.0
        self.started = 0
        self.valid_until_ms = 0.0
        self.failures = 0
        self.avoid_until_ms = 0.0
        self.turned_away_until_ms = 0.0
        self.service_ms = 0.0
        self.sends_ms: list[float] = []

    @property
    def unusable_until_ms(self) -> float:
        """Until when the target gets no new requests."""
        return max(self.avoid_until_ms, self.turned_away_until_ms)


class LoadTracker:
    """Counts requests at targets, from this entry and from load reports.

    Args:
        clock: Monotonic time.
        generator: Draws candidates and rounds shares of free slots.
        data_centre: Targets there are preferred at equal load, because
            traffic between data centres costs money.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        generator: random.Random,
        data_centre: identifiers.DataCentreId,
    ) -> None:
        self._data_centre = data_centre
        self._clock = clock
        self._random = generator
        self._known: dict[identifiers.TargetId, _TargetState] = {}

    def load_of(self, target: identifiers.TargetId) -> int:
        """Returns the known number of requests at a target."""
        known = self._known.get(target)
        if known is None:
            return 0
        if self.has_report(target):
            return known.own + known.others
        return known.own

    def has_report(self, target: identifiers.TargetId) -> bool:
        """Tells whether there is a valid load report for a target."""
        known = self._known.get(target)
        if known is None:
            return False
        return self._clock.now_ms() < known.valid_until_ms

    def may_use_free_slot(
        self, target: identifiers.TargetId, slots: int
    ) -> bool:
        """Tells whether this entry may use one more of the free slots.

        All entries receive the same report of free slots at the same time.
        Each uses its share of them, rounded randomly, and the slots that its
        own requests have released since the report.

        Args:
            target: A target with a report.
            slots: Requests that run there at the same time.
        """
        known = self._get(target)
        free = max(0, slots - known.total)
        if known.sharers == 1:
            return known.started < free
        usable = int(
            _FREE_SLOTS_USED_SHARE * free / known.sharers + known.rounding
        )
        return known.started < usable

    def own_requests(self, target: identifiers.TargetId) -> int:
        """Returns how many requests this entry has at a target."""
        known = self._known.get(target)
        return 0 if known is None else known.own

    def is_avoided(self, target: identifiers.TargetId) -> bool:
        """Tells whether a target gets no new requests after failures."""
        known = self._known.get(target)
        if known is None:
            return False
        return self._clock.now_ms() < known.unusable_until_ms

    def service_ms_of(self, target: identifiers.TargetId) -> float:
        """Returns the average time of one request; 0 when unknown."""
        known = self._known.get(target)
        return 0.0 if known is None else known.service_ms

    def sends_within(
        self,
        target: identifiers.TargetId,
        window_ms: float,
    ) -> int:
        """Returns how many requests this entry sent within the window."""
        known = self._known.get(target)
        if known is None:
            return 0
        oldest_ms = self._clock.now_ms() - window_ms
        known.sends_ms = [
            moment for moment in known.sends_ms if moment >= oldest_ms
        ]
        return len(known.sends_ms)

    def note_start(self, target: identifiers.TargetId) -> None:
        """Counts a request that is sent."""
        known = self._get(target)
        known.own += 1
        known.started += 1
        known.sends_ms.append(self._clock.now_ms())

    def note_end(self, target: identifiers.TargetId) -> None:
        """Counts a request that has ended, with any outcome."""
        known = self._get(target)
        known.own -= 1
        known.started -= 1

    def note_success(
        self,
        target: identifiers.TargetId,
        duration_ms: float,
    ) -> None:
        """Resets the failures of a target and updates its service time."""
        known = self._get(target)
        known.failures = 0
        known.avoid_until_ms = 0.0
        if known.service_ms == 0:
            known.service_ms = duration_ms
        known.service_ms += _AVERAGE_SHARE * (duration_ms - known.service_ms)

    def note_failure(
        self,
        target: identifiers.TargetId,
        *,
        is_unreachable: bool,
    ) -> float:
        """Counts a failure; avoids a target that is unreachable or fails again.

        Args:
            target: The target at fault.
            is_unreachable: It does not accept connections.

        Returns:
            How long the target is avoided, in milliseconds.
        """
        known = self._get(target)
        known.failures += 1
        if not is_unreachable and known.failures < _FAILURES_MAX:
            return 0.0
        doublings = known.failures - 1
        avoid_ms = min(_AVOID_MAX_MS, _AVOID_MS * 2**doublings)
        return self.avoid(target, avoid_ms)

    def clear_failures(self, target: identifiers.TargetId) -> None:
        """Clears the failures of a target whose cause has been removed."""
        known = self._get(target)
        known.failures = 0
        known.avoid_until_ms = 0.0

    def avoided_until_ms(self, target: identifiers.TargetId) -> float:
        """Returns until when a target is avoided; 0 if it never was."""
        known = self._known.get(target)
        return 0.0 if known is None else known.unusable_until_ms

    def note_turned_away(
        self, target: identifiers.TargetId, pause_ms: float
    ) -> None:
        """Sends a target nothing for a time that it has named itself.

        Unlike avoidance after failures, nothing else ends it sooner.
        """
        known = self._get(target)
        until_ms = self._clock.now_ms() + pause_ms
        known.turned_away_until_ms = max(known.turned_away_until_ms, until_ms)

    def avoid(self, target: identifiers.TargetId, avoid_ms: float) -> float:
        """Avoids a target for ``avoid_ms`` and returns that time."""
        known = self._get(target)
        until_ms = self._clock.now_ms() + avoid_ms
        known.avoid_until_ms = max(known.avoid_until_ms, until_ms)
        return avoid_ms

    def store_report(
        self,
        target: identifiers.TargetId,
        total: int,
        *,
        valid_ms: float,
        sharers: int = 1,
    ) -> None:
        """Stores a report of all requests at a target.

        Args:
            target: The target.
            total: Its requests, running and waiting.
            valid_ms: Validity of the report. A report does not replace one
                that stays valid for longer.
            sharers: Entries that act on the same report.
        """
        known = self._get(target)
        now_ms = self._clock.now_ms()
        if known.valid_until_ms > now_ms + valid_ms:
            return
        known.others = max(0, total - known.own)
        known.total = total
        known.sharers = max(1, sharers)
        known.rounding = self._random.random()
        known.started = 0
        known.valid_until_ms = now_ms + valid_ms

    def choose(
        self,
        candidates: Sequence[targets.TargetRecord],
    ) -> targets.TargetRecord | None:
        """Returns the less loaded of two randomly drawn candidates.

        If the least loaded of all were chosen, entries with the same reports
        would all choose the same target.
        """
        if not candidates:
            return None
        two = self._random.sample(candidates, min(2, len(candidates)))
        return min(two, key=self._score)

    def drop_unlisted(self, listed: Iterable[identifiers.TargetId]) -> None:
        """Drops the state of unlisted targets without own requests."""
        kept = set(listed)
        for target in list(self._known):
            if target not in kept and self._known[target].own == 0:
                self._known.pop(target)

    def _score(self, record: targets.TargetRecord) -> tuple[float, bool]:
        load = (self.load_of(record.target) + 1) / max(1, record.slots)
        return load, record.data_centre != self._data_centre

    def _get(self, target: identifiers.TargetId) -> _TargetState:
        return self._known.setdefault(target, _TargetState())
