"""Rates that targets in need name in their answers."""

from collections.abc import Iterable

import msgspec

from carobslip import clocks, identifiers, observability
from carobslip.forwarding import _numbers


class NamedLimit(msgspec.Struct, frozen=True, kw_only=True):
    """A rate that a target named.

    Attributes:
        rate_rps: Requests a second that it takes from all entries together.
        named_ms: When it last did so.
    """

    rate_rps: float
    named_ms: float


class RateLimits:
    """Keeps the rate that each target has named, for as long as it does so.

    Args:
        clock: Monotonic time.
        log: Receives new rates, and values that are none.
    """

    def __init__(
        self, *, clock: clocks.Clock, log: observability.EventLog
    ) -> None:
        self._clock = clock
        self._log = log
        self._limits: dict[identifiers.TargetId, NamedLimit] = {}
        self._malformed: dict[identifiers.TargetId, tuple[str, ...]] = {}

    def find(self, target: identifiers.TargetId) -> NamedLimit | None:
        """Returns the rate that a target names at present."""
        return self._limits.get(target)

    def note_answer(
        self,
        target: identifiers.TargetId,
        named: tuple[str, ...],
        *,
        started_ms: float,
        is_success: bool,
    ) -> None:
        """Records the rate that an answer names, or that it names none.

        Args:
            target: The target that answered.
            named: The values that name a rate, as received.
            started_ms: When the request was sent. An answer without a rate
                speaks only for requests sent after the last one with a rate.
            is_success: The target served the request. Other answers without a
                rate say nothing about it.
        """
        known = self._limits.get(target)
        rate_rps = _read_rate(named)
        if rate_rps is not None:
            self._limits[target] = NamedLimit(
                rate_rps=rate_rps, named_ms=self._clock.now_ms()
            )
            if known is None or known.rate_rps != rate_rps:
                self._write(target, rate_rps, known, named)
        elif named:
            self._note_malformed(target, named, known)
        elif is_success and known is not None and started_ms > known.named_ms:
            self._limits.pop(target)
            self._write(target, None, known, named)

    def drop_unlisted(self, listed: Iterable[identifiers.TargetId]) -> None:
        """Drops what unlisted targets have named."""
        kept = set(listed)
        for target in self._limits.keys() - kept:
            self._limits.pop(target)
        for target in self._malformed.keys() - kept:
            self._malformed.pop(target)

    def _note_malformed(
        self,
        target: identifiers.TargetId,
        named: tuple[str, ...],
        known: NamedLimit | None,
    ) -> None:
        if self._malformed.get(target) != named:
            self._malformed[target] = named
            rate_rps = None if known is None else known.rate_rps
            self._write(target, rate_rps, known, named, fault='not a rate')

    def _write(
        self,
        target: identifiers.TargetId,
        rate_rps: float | None,
        known: NamedLimit | None,
        named: tuple[str, ...],
        fault: str | None = None,
    ) -> None:
        age_ms = (
            None if known is None else self._clock.now_ms() - known.named_ms
        )
        self._log.write(
            observability.Event.TARGET_LIMITED,
            target=target,
            rate_rps=rate_rps,
            named=[text[: _numbers.VALUE_MAX_CHARS] for text in named[:2]],
            before_rps=None if known is None else known.rate_rps,
            before_age_ms=None if age_ms is None else round(age_ms),
            fault=fault,
        )


def _read_rate(named: tuple[str, ...]) -> float | None:
    """Returns the lowest rate among some values; None if none is a rate."""
    amounts = map(_numbers.read_amount, named)
    rates = [amount for amount in amounts if amount is not None]
    return min(rates, default=None)
