"""Leases of slots, and the load of targets."""

import collections
from collections.abc import Iterable
from typing import Final

import msgspec

from carobslip import identifiers, targets
from carobslip.slotbroker import _queue, _types

#: Age that a load report can have when it arrives.
_REPORT_AGE_MAX_MS: Final = 1000.0
#: Changes of the number of own leases that are kept for a target.
_FORMER_MAX: Final = 256
#: Time that a lease outlasts the patience of its caller, for the release to
#: arrive.
_LEASE_EXTRA_MS: Final = 2000.0


class Lease(msgspec.Struct, frozen=True, kw_only=True):
    """A slot that a request holds.

    Attributes:
        granted: What the entry was told.
        waiter: The request.
        started_ms: When it was granted.
        ends_ms: It ends then without a release.
    """

    granted: _types.SlotGranted
    waiter: _queue.Waiter
    started_ms: float
    ends_ms: float


class _TargetLoad:
    """Own leases at one target and what its last report showed."""

    def __init__(self) -> None:
        self.own = 0
        self.others = 0
        self.valid_until_ms = 0.0
        self.reported_ms: float | None = None
        self._confirmed_ms = float('-inf')
        # Former numbers of own leases, with the end of each.
        self._former: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=_FORMER_MAX
        )

    def change(self, amount: int, now_ms: float) -> None:
        """Changes the number of own leases."""
        self._former.append((now_ms, self.own))
        self.own += amount

    def store_report(self, total: int, now_ms: float) -> None:
        """Estimates the requests of others from a report.

        The number of own leases when the report was made is within the range
        of the last second. An earlier estimate is kept as long as it agrees
        with that range; the least one that agrees would be too low whenever
        own leases have just ended.
        """
        oldest_ms = now_ms - _REPORT_AGE_MAX_MS
        while self._former and self._former[0][0] < oldest_ms:
            self._former.popleft()
        own = [self.own, *(number for _, number in self._former)]
        least = max(0, total - max(own))
        most = max(0, total - min(own))
        is_kept = now_ms - self._confirmed_ms <= _REPORT_AGE_MAX_MS
        if least >= self.others or not is_kept:
            self.others = least
            self._confirmed_ms = now_ms
        self.others = min(most, self.others)


class LeaseBook:
    """Counts the leases of this broker and the requests of others."""

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}
        self._loads: dict[identifiers.TargetId, _TargetLoad] = {}

    def __len__(self) -> int:
        return len(self._leases)

    def find(self, lease: str) -> Lease | None:
        """Returns a lease that has not ended."""
        return self._leases.get(lease)

    def load_of(self, target: identifiers.TargetId, now_ms: float) -> int:
        """Returns the requests at a target, own and of others."""
        load = self._loads.get(target)
        if load is None:
            return 0
        if now_ms < load.valid_until_ms:
            return load.own + load.others
        return load.own

    def report_age_ms(
        self, target: identifiers.TargetId, now_ms: float
    ) -> int | None:
        """Returns the time since the last report on a target, if any."""
        load = self._loads.get(target)
        if load is None or load.reported_ms is None:
            return None
        return round(now_ms - load.reported_ms)

    def room(self, record: targets.TargetRecord, now_ms: float) -> int:
        """Returns how many more requests may start at a target."""
        return max(0, record.slots - self.load_of(record.target, now_ms))

    def open(
        self,
        granted: _types.SlotGranted,
        waiter: _queue.Waiter,
        now_ms: float,
    ) -> Lease:
        """Starts a lease."""
        lease = Lease(
            granted=granted,
            waiter=waiter,
            started_ms=now_ms,
            ends_ms=max(now_ms, waiter.patience_until_ms) + _LEASE_EXTRA_MS,
        )
        self._leases[granted.lease] = lease
        self._load(granted.target).change(1, now_ms)
        return lease

    def close(self, lease: str, now_ms: float) -> Lease | None:
        """Ends a lease; returns None if it has ended before."""
        ended = self._leases.pop(lease, None)
        if ended is not None:
            self._load(ended.granted.target).change(-1, now_ms)
        return ended

    def expired(self, now_ms: float) -> list[Lease]:
        """Returns the leases whose time has passed."""
        return [one for one in self._leases.values() if one.ends_ms <= now_ms]

    def of_other_entries(
        self, alive: frozenset[identifiers.InstanceId]
    ) -> list[Lease]:
        """Returns the leases of entries that are not alive."""
        return [
            one
            for one in self._leases.values()
            if one.waiter.demand.entry not in alive
        ]

    def store_report(
        self,
        target: identifiers.TargetId,
        total: int,
        *,
        valid_ms: float,
        now_ms: float,
    ) -> None:
        """Stores a report of all requests at a target.

        A report does not replace one that stays valid for longer.
        """
        load = self._load(target)
        if load.valid_until_ms > now_ms + valid_ms:
            return
        load.store_report(total, now_ms)
        load.valid_until_ms = now_ms + valid_ms
        load.reported_ms = now_ms

    def drop_unlisted(self, listed: Iterable[identifiers.TargetId]) -> None:
        """Drops the load of unlisted targets without own leases."""
        kept = frozenset(listed)
        for target in list(self._loads):
            if target not in kept and self._loads[target].own == 0:
                self._loads.pop(target)

    def _load(self, target: identifiers.TargetId) -> _TargetLoad:
        return self._loads.setdefault(target, _TargetLoad())
