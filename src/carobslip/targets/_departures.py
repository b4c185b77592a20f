"""Targets that have left, which a restored list may name again."""

import collections
from typing import Final

import msgspec

from carobslip import clocks, identifiers
from carobslip.targets import _records

#: An older copy of the list names targets that left this long ago at most.
_COPY_AGE_MAX_MS: Final = 60_000.0
_DEPARTURES_MAX: Final = 4096


class _Departure(msgspec.Struct, frozen=True, kw_only=True):
    record: _records.TargetRecord
    left_ms: float


class Departures:
    """Remembers for a while which targets have left.

    A list that is restored from an older copy names them again until their
    entries expire. They are not used then unless they report anew.

    Args:
        clock: Monotonic time.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._departures: collections.OrderedDict[
            identifiers.TargetId, _Departure
        ] = collections.OrderedDict()
        self._restored_ms: float | None = None

    def add(self, record: _records.TargetRecord) -> None:
        """Records that a target has left with this last report."""
        self._departures.pop(record.target, None)
        self._departures[record.target] = _Departure(
            record=record, left_ms=self._clock.now_ms()
        )
        while self._departures and self._is_oldest_over():
            self._departures.popitem(last=False)

    def note_restored(self) -> None:
        """Records that the list came back from an older copy."""
        self._restored_ms = self._clock.now_ms()

    def find_last_report(
        self, target: identifiers.TargetId
    ) -> tuple[int, int] | None:
        """Returns the order of the last report of a target that has left.

        Returns:
            None unless the list may name the target because of a restore.
        """
        known = self._departures.get(target)
        if known is None or self._restored_ms is None:
            return None
        if known.left_ms > self._restored_ms or self._is_over(known):
            return None
        return known.record.report_order

    def _is_over(self, known: _Departure) -> bool:
        return self._clock.now_ms() - known.left_ms > _COPY_AGE_MAX_MS

    def _is_oldest_over(self) -> bool:
        oldest = next(iter(self._departures.values()))
        return len(self._departures) > _DEPARTURES_MAX or self._is_over(oldest)
