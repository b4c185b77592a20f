"""Remembers who was refused and when each caller may return."""

import collections
import enum
from typing import Final

import msgspec

from carobslip import identifiers

_REMEMBERED_MAX: Final = 4096
_REMEMBERED_MS: Final = 10_000.0
#: Part of the stated delay after which a caller counts as returning as told;
#: timers of callers are not exact.
_DELAY_SHARE: Final = 0.9
#: Interval at which the callers that are still to return are counted.
_COUNT_INTERVAL_MS: Final = 200.0

_Caller = tuple[identifiers.ServiceId, int]


class Return(enum.Enum):
    """Whether a request was refused before, and how it returns."""

    NEW = 'new'
    AS_TOLD = 'as-told'
    TOO_SOON = 'too-soon'


class _Refusal(msgspec.Struct, frozen=True):
    refused_ms: float
    returns_ms: float
    priority: int


class Returns:
    """Refused requests by service and digest of their content."""

    def __init__(self) -> None:
        self._refusals: collections.OrderedDict[_Caller, _Refusal] = (
            collections.OrderedDict()
        )
        self._expected: collections.Counter[
            tuple[identifiers.ServiceId, int]
        ] = collections.Counter()
        self._counted_ms = float('-inf')

    def __len__(self) -> int:
        return len(self._refusals)

    def store(
        self,
        service: identifiers.ServiceId,
        digest: int,
        *,
        priority: int,
        now_ms: float,
        retry_after_ms: float,
    ) -> None:
        """Stores a refusal; the oldest ones are dropped."""
        if not digest:
            return
        self._drop_old(now_ms)
        self._refusals.pop((service, digest), None)
        if len(self._refusals) >= _REMEMBERED_MAX:
            self._refusals.popitem(last=False)
        returns_ms = now_ms + _DELAY_SHARE * retry_after_ms
        self._refusals[(service, digest)] = _Refusal(
            now_ms, returns_ms, priority
        )

    def take(
        self, service: identifiers.ServiceId, digest: int, now_ms: float
    ) -> Return:
        """Tells how a request returns, and forgets its refusal.

        The refusal is forgotten also if the request returns too soon, so that
        a caller gains nothing by sending copies.
        """
        refusal = self._refusals.pop((service, digest), None)
        if refusal is None or now_ms - refusal.refused_ms > _REMEMBERED_MS:
            return Return.NEW
        is_as_told = now_ms >= refusal.returns_ms
        return Return.AS_TOLD if is_as_told else Return.TOO_SOON

    def expected(
        self, service: identifiers.ServiceId, priority: int, now_ms: float
    ) -> int:
        """Returns how many as urgent callers are still to return."""
        if now_ms - self._counted_ms >= _COUNT_INTERVAL_MS:
            self._count_expected(now_ms)
        return sum(
            count
            for (one, urgency), count in self._expected.items()
            if one == service and urgency <= priority
        )

    def _count_expected(self, now_ms: float) -> None:
        self._drop_old(now_ms)
        self._counted_ms = now_ms
        self._expected = collections.Counter(
            (caller[0], refusal.priority)
            for caller, refusal in self._refusals.items()
            if refusal.returns_ms > now_ms
        )

    def _drop_old(self, now_ms: float) -> None:
        while self._refusals:
            oldest = next(iter(self._refusals.values()))
            if now_ms - oldest.refused_ms <= _REMEMBERED_MS:
                return
            self._refusals.popitem(last=False)
