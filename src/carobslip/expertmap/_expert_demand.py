"""Recent load of each expert, from the selection counts that ranks report."""

from collections.abc import Sequence
from typing import Final

#: Decay factor of older selection counts per period; the popularity of experts
#: shifts every few seconds.
_DECAY_FACTOR: Final = 0.3


class ExpertDemand:
    """Decayed sums of selection counts by set and expert."""

    def __init__(self) -> None:
        self.tokens: list[list[float]] = []
        self._recent: list[float] = []

    @property
    def total(self) -> float:
        """Decayed sum of all selections."""
        return sum(map(sum, self.tokens))

    def add(self, counts: Sequence[int]) -> None:
        """Adds the counts of one rank, set after set."""
        if len(counts) == len(self._recent):
            self._recent = [
                known + count
                for known, count in zip(self._recent, counts, strict=True)
            ]
        elif counts:
            self._recent = [float(count) for count in counts]

    def decay(self, *, sets: int, experts: int) -> None:
        """Ends a period.

        Args:
            sets: Number of sets; counts of another shape are not used.
            experts: Experts in a set.
        """
        if len(self._recent) != sets * experts:
            return
        fresh = [
            self._recent[begin : begin + experts]
            for begin in range(0, len(self._recent), experts)
        ]
        if len(self.tokens) != len(fresh):
            self.tokens = [[0.0] * experts for _one in fresh]
        self.tokens = [
            [
                _DECAY_FACTOR * old + new
                for old, new in zip(older, newer, strict=True)
            ]
            for older, newer in zip(self.tokens, fresh, strict=True)
        ]
        self._recent = [0.0] * len(self._recent)
