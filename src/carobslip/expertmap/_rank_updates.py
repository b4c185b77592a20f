"""The latest update of each rank of a group."""

from typing import Annotated

import msgspec

from carobslip import clocks
from carobslip.expertmap import _count_codec, _group_map


class RankUpdate(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Update that a guard sends to the coordinator of its engine's group.

    Attributes:
        report: The engine's report.
        sequence: Number of this update at its guard; duplicates are dropped.
        counts: Encoded selection counts by set and expert since the previous
            update.
        address: Address at which the engine takes calls.
    """

    report: _group_map.RankReport
    sequence: int
    counts: Annotated[
        bytes,
        msgspec.Meta(max_length=_count_codec.COUNTS_MAX),
    ]
    address: str


class LatestUpdate:
    """The latest update of a rank and its time of receipt."""

    def __init__(self, update: RankUpdate, now_ms: float) -> None:
        self.update = update
        self.received_ms = now_ms


class LatestUpdates:
    """The latest updates of all ranks.

    Args:
        clock: Monotonic time.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self.by_rank: dict[int, LatestUpdate] = {}

    def is_duplicate(self, update: RankUpdate) -> bool:
        """Tells whether an update was received before."""
        known = self.by_rank.get(update.report.rank)
        return (
            known is not None
            and known.update.address == update.address
            and known.update.sequence == update.sequence
        )

    def store(self, update: RankUpdate) -> None:
        """Stores the latest update of a rank."""
        rank = update.report.rank
        self.by_rank[rank] = LatestUpdate(update, self._clock.now_ms())

    def loads(self) -> list[tuple[str, int, int]]:
        """Returns address, running and waiting requests of each rank."""
        return [
            (
                latest.update.address,
                latest.update.report.running,
                latest.update.report.waiting,
            )
            for _rank, latest in sorted(self.by_rank.items())
        ]

    def missing_ranks(self) -> list[int]:
        """Returns the ranks that have never reported."""
        reports = [latest.update.report for latest in self.by_rank.values()]
        size = max((report.size for report in reports), default=0)
        return [rank for rank in range(size) if rank not in self.by_rank]

    def is_fresh(self, rank: int, oldest_ms: float) -> bool:
        """Tells whether the last update of a rank is recent."""
        latest = self.by_rank.get(rank)
        return latest is not None and latest.received_ms >= oldest_ms

    def reports_since(self, oldest_ms: float) -> list[_group_map.RankReport]:
        """Returns the recent reports, by rank."""
        return [
            latest.update.report
            for _rank, latest in sorted(self.by_rank.items())
            if latest.received_ms >= oldest_ms
        ]

    def silent_ms(self, limit_ms: float) -> dict[int, int]:
        """Returns for how long ranks have been silent, if for too long."""
        now_ms = self._clock.now_ms()
        return {
            rank: round(now_ms - latest.received_ms)
            for rank, latest in sorted(self.by_rank.items())
            if now_ms - latest.received_ms > limit_ms
        }
