"""Shares the rate that a target has named among all entries.

Answers the load in which a target takes a few requests a second and many entries
send to it. Equal shares of so small a rate are fractions of a request, which
cannot be rounded without wasting the rate or exceeding it many times. So one
entry counts for each target, and the others ask it before they send.
"""

from collections.abc import Iterable
from typing import Final, Protocol

import msgspec

from carobslip import clocks, identifiers
from carobslip.forwarding import _rate_limits

#: Unused permits are kept for this time, but always one.
_BURST_S: Final = 0.5
#: Rate that finds out whether a target still takes none.
_RATE_MIN_RPS: Final = 0.25
#: A bucket that nobody asked for during this time is dropped.
_UNUSED_MS: Final = 60_000.0
#: Shortest time for which a target is not tried after a refusal.
_BLOCKED_MIN_MS: Final = 20.0


class Permit(msgspec.Struct, frozen=True, kw_only=True):
    """Answers an entry that wants to send a request to a limited target.

    Attributes:
        is_granted: It may send one request now.
        wait_ms: Time until the next permit, if it may not.
    """

    is_granted: bool
    wait_ms: float = 0.0


class PermitPort(Protocol):
    """Reaches the entry that counts the requests to a target."""

    async def ask(
        self,
        target: identifiers.TargetId,
        limit: _rate_limits.NamedLimit,
    ) -> Permit:
        """Asks for one request to a target."""


class _Bucket:
    """Permits for one target."""

    def __init__(self, *, now_ms: float) -> None:
        self.rate_rps = _RATE_MIN_RPS
        self.named_ms = -float('inf')
        # An earlier holder of this bucket may just have granted some.
        self.tokens = 0.0
        self.updated_ms = now_ms


class PermitIssuer:
    """Counts the requests to the targets that are assigned to this entry.

    Args:
        clock: Monotonic time.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._buckets: dict[identifiers.TargetId, _Bucket] = {}

    def issue(
        self,
        target: identifiers.TargetId,
        limit: _rate_limits.NamedLimit,
    ) -> Permit:
        """Grants one request if the rate allows it.

        Args:
            target: A target that has named a rate.
            limit: The rate as the asking entry has met it, with the time on
                this entry's clock. The newest one holds.
        """
        now_ms = self._clock.now_ms()
        bucket = self._buckets.get(target)
        if bucket is None:
            self._drop_unused(now_ms)
            bucket = _Bucket(now_ms=now_ms)
            self._buckets[target] = bucket
        if limit.named_ms >= bucket.named_ms:
            bucket.named_ms = limit.named_ms
            bucket.rate_rps = max(_RATE_MIN_RPS, limit.rate_rps)
        elapsed_s = (now_ms - bucket.updated_ms) / 1000
        bucket.updated_ms = now_ms
        bucket.tokens = min(
            max(1.0, _BURST_S * bucket.rate_rps),
            bucket.tokens + elapsed_s * bucket.rate_rps,
        )
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return Permit(is_granted=True)
        wait_ms = 1000 * (1 - bucket.tokens) / bucket.rate_rps
        return Permit(is_granted=False, wait_ms=wait_ms)

    def _drop_unused(self, now_ms: float) -> None:
        self._buckets = {
            target: bucket
            for target, bucket in self._buckets.items()
            if now_ms - bucket.updated_ms < _UNUSED_MS
        }


class PermitGate:
    """Asks for permits, and remembers when the next one can be had.

    Args:
        limits: Rates that targets have named.
        port: Reaches the entry that counts the requests to a target.
        clock: Monotonic time.
    """

    def __init__(
        self,
        *,
        limits: _rate_limits.RateLimits,
        port: PermitPort,
        clock: clocks.Clock,
    ) -> None:
        self.limits = limits
        self._port = port
        self._clock = clock
        self._blocked_until_ms: dict[identifiers.TargetId, float] = {}

    def is_blocked(self, target: identifiers.TargetId) -> bool:
        """Tells whether a target certainly takes no request now."""
        until_ms = self._blocked_until_ms.get(target)
        if until_ms is None:
            return False
        is_limited = self.limits.find(target) is not None
        if is_limited and self._clock.now_ms() < until_ms:
            return True
        self._blocked_until_ms.pop(target)
        return False

    def drop_unlisted(self, listed: Iterable[identifiers.TargetId]) -> None:
        """Drops what is known of unlisted targets."""
        kept = set(listed)
        self.limits.drop_unlisted(kept)
        for target in self._blocked_until_ms.keys() - kept:
            self._blocked_until_ms.pop(target)

    async def may_send(self, target: identifiers.TargetId) -> bool:
        """Tells whether one request may be sent to a target now."""
        limit = self.limits.find(target)
        if limit is None:
            return True
        permit = await self._port.ask(target, limit)
        if not permit.is_granted:
            wait_ms = max(_BLOCKED_MIN_MS, permit.wait_ms)
            self._blocked_until_ms[target] = self._clock.now_ms() + wait_ms
        return permit.is_granted
