"""What an entry knows about the load of each target."""

import random
from collections.abc import Iterable, Sequence
from typing import Final

from carobslip import clocks, identifiers, targets

#: A report older than this says nothing about the requests of others. What a
#: coordinator reports is renewed several times in that time.
REPORT_VALID_MS: Final = 1500.0
#: What a target says in an answer holds about as long as plain calls take.
ANSWER_VALID_MS: Final = 100.0
#: Part of the free slots in a shared report that entries take: some were taken
#: while the report was on its way.
_CLAIM_SHARE: Final = 0.7
#: One answer moves the average service time by this share.
_AVERAGE_SHARE: Final = 0.2
#: A target that failed is avoided for this long, doubled for each failure in
#: a row up to the second value.
_AVOID_MS: Final = 500.0
_AVOID_MAX_MS: Final = 4000.0
#: Failures in a row that put a target which still answers out of use.
_FAILURES_MAX: Final = 2


class _Known:
    """State of one target at this entry."""

    def __init__(self) -> None:
        self.own = 0
        self.others = 0
        self.total = 0
        self.sharers = 1
        self.chance = 0.0
        self.started = 0
        self.valid_until_ms = 0.0
        self.failures = 0
        self.avoid_until_ms = 0.0
        self.service_ms = 0.0
        self.sends_ms: list[float] = []


class LoadBook:
    """Counts requests at targets: the own ones, and what others report.

    Args:
        clock: Monotonic time.
        generator: Breaks ties.
        data_centre: Targets there are preferred at equal load, since bytes
            between data centres cost.
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
        self._known: dict[identifiers.TargetId, _Known] = {}

    def load_of(self, target: identifiers.TargetId) -> int:
        """Returns the requests at a target, as far as is known."""
        known = self._known.get(target)
        if known is None:
            return 0
        if self.has_report(target):
            return known.own + known.others
        return known.own

    def has_report(self, target: identifiers.TargetId) -> bool:
        """Tells whether the load of others at a target is known."""
        known = self._known.get(target)
        if known is None:
            return False
        return self._clock.now_ms() < known.valid_until_ms

    def has_claim(self, target: identifiers.TargetId, slots: int) -> bool:
        """Tells whether a free slot is this entry's to take.

        All entries hear of the same free slots at the same time. Each takes
        its share of them, rounded by chance, and what it gives back itself.

        Args:
            target: A target with a report.
            slots: Requests that run at once there.
        """
        known = self._get(target)
        free = max(0, slots - known.total)
        if known.sharers == 1:
            return known.started < free
        claims = int(_CLAIM_SHARE * free / known.sharers + known.chance)
        return known.started < claims

    def own_of(self, target: identifiers.TargetId) -> int:
        """Returns this entry's own requests at a target."""
        known = self._known.get(target)
        return 0 if known is None else known.own

    def is_avoided(self, target: identifiers.TargetId) -> bool:
        """Tells whether a target has failed a moment ago."""
        known = self._known.get(target)
        if known is None:
            return False
        return self._clock.now_ms() < known.avoid_until_ms

    def service_ms_of(self, target: identifiers.TargetId) -> float:
        """Returns the recent time of one request; 0 when unknown."""
        known = self._known.get(target)
        return 0.0 if known is None else known.service_ms

    def sends_within(
        self,
        target: identifiers.TargetId,
        window_ms: float,
    ) -> int:
        """Returns how many requests this entry sent lately."""
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
        """Counts a request that has ended, however it did."""
        known = self._get(target)
        known.own -= 1
        known.started -= 1

    def note_success(
        self,
        target: identifiers.TargetId,
        duration_ms: float,
    ) -> None:
        """Takes a good answer into account."""
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
        """Takes a failure into account.

        Args:
            target: The target at fault.
            is_unreachable: It does not even accept connections.

        Returns:
            For how long the target is avoided, in milliseconds.
        """
        known = self._get(target)
        known.failures += 1
        if not is_unreachable and known.failures < _FAILURES_MAX:
            return 0.0
        doublings = known.failures - 1
        avoid_ms = min(_AVOID_MAX_MS, _AVOID_MS * 2**doublings)
        return self.avoid(target, avoid_ms)

    def forgive(self, target: identifiers.TargetId) -> None:
        """Forgets failures, after news that their cause has gone."""
        known = self._get(target)
        known.failures = 0
        known.avoid_until_ms = 0.0

    def avoided_until_ms(self, target: identifiers.TargetId) -> float:
        """Returns until when a target gets no new work; 0 if it may."""
        known = self._known.get(target)
        return 0.0 if known is None else known.avoid_until_ms

    def avoid(self, target: identifiers.TargetId, avoid_ms: float) -> float:
        """Gives a target no new work for a while."""
        known = self._get(target)
        until_ms = self._clock.now_ms() + avoid_ms
        known.avoid_until_ms = max(known.avoid_until_ms, until_ms)
        return avoid_ms

    def note_total(
        self,
        target: identifiers.TargetId,
        total: int,
        *,
        valid_ms: float = REPORT_VALID_MS,
        sharers: int = 1,
    ) -> None:
        """Takes a report of all requests at a target into account.

        Args:
            target: The target.
            total: Its requests, running and waiting.
            valid_ms: How long the report says something. A shorter one does
                not take the place of one that is still valid.
            sharers: Entries that act on the same report.
        """
        known = self._get(target)
        now_ms = self._clock.now_ms()
        if known.valid_until_ms > now_ms + valid_ms:
            return
        known.others = max(0, total - known.own)
        known.total = total
        known.sharers = max(1, sharers)
        known.chance = self._random.random()
        known.started = 0
        known.valid_until_ms = now_ms + valid_ms

    def choose(
        self,
        candidates: Sequence[targets.TargetRecord],
    ) -> targets.TargetRecord | None:
        """Returns the less loaded one of two candidates.

        Were it the least loaded of all, entries with the same reports would
        all choose the same one.
        """
        if not candidates:
            return None
        two = self._random.sample(candidates, min(2, len(candidates)))
        return min(two, key=self._score)

    def forget_missing(self, listed: Iterable[identifiers.TargetId]) -> None:
        """Drops what is known about targets that have gone."""
        kept = set(listed)
        for target in list(self._known):
            if target not in kept and self._known[target].own == 0:
                self._known.pop(target)

    def _score(self, record: targets.TargetRecord) -> tuple[float, bool]:
        load = (self.load_of(record.target) + 1) / max(1, record.slots)
        return load, record.data_centre != self._data_centre

    def _get(self, target: identifiers.TargetId) -> _Known:
        return self._known.setdefault(target, _Known())
