"""Chooses the target of a request."""

import random
from collections.abc import Sequence
from typing import Final

from carobslip import targets
from carobslip.slotbroker import (
    _health,
    _leases,
    _pass_bound,
    _ports,
    _types,
)

#: Difference of loads below which they are equal.
_EQUAL: Final = 1e-9


class Placement:
    """Chooses the least loaded target with a free slot.

    Args:
        leases: Load of the targets.
        health: Failures and slowness of the targets.
        pacing: Request rates of started targets.
        bound: Requests that groups may have in progress.
        generator: Breaks ties.
    """

    def __init__(
        self,
        *,
        leases: _leases.LeaseBook,
        health: _health.TargetHealth,
        pacing: _ports.TargetPacing,
        bound: _pass_bound.PassBound,
        generator: random.Random,
    ) -> None:
        self._leases = leases
        self._health = health
        self._pacing = pacing
        self._bound = bound
        self._random = generator

    def usable(
        self, candidates: Sequence[targets.TargetRecord], now_ms: float
    ) -> list[targets.TargetRecord]:
        """Returns the targets that are not avoided."""
        return [
            record
            for record in candidates
            if self._health.avoided_until_ms(record.target) <= now_ms
        ]

    def free(
        self, candidates: Sequence[targets.TargetRecord], now_ms: float
    ) -> list[targets.TargetRecord]:
        """Returns the usable targets with a free slot."""
        in_progress: dict[int, int] = {}
        return [
            record
            for record in self.usable(candidates, now_ms)
            if self._leases.room(record, now_ms) > 0
            and self._bound.has_room(record.target, in_progress, now_ms)
        ]

    def choose(
        self,
        free: Sequence[targets.TargetRecord],
        demand: _types.SlotDemand,
        now_ms: float,
    ) -> targets.TargetRecord | None:
        """Returns the target for a request, or None."""
        scored = [
            (self._score(record, now_ms), self._random.random(), record)
            for record in free
            if record.target not in demand.excluded
            and self._pacing.allows(record)
        ]
        if not scored:
            return None
        least, _, best = min(scored)
        limit = least + 1.0 / max(1, best.slots) + _EQUAL
        near = [
            one
            for one in scored
            if one[2].data_centre == demand.data_centre and one[0] <= limit
        ]
        return min(near)[2] if near else best

    def _score(self, record: targets.TargetRecord, now_ms: float) -> float:
        load = self._leases.load_of(record.target, now_ms) + 1
        slowness = self._health.slowness(record.target, now_ms)
        return load / max(1, record.slots) * slowness
