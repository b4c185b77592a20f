"""Turns in which entries send to targets that may be cold."""

import random
import zlib
from collections.abc import Callable

from carobslip import clocks, identifiers


class ColdTurns:
    """Assigns the time in which a target may get a request to one entry each.

    Entries whose share of a rate is below one request a second cannot count it
    for themselves: all of them may send in the same second. Turns are counted
    by wall time, and clocks have to agree within the margin of the rate.

    Args:
        position: Returns the index of this entry among those that share the
            targets, which all entries number alike. Without it an index is
            drawn, and entries with the same one take the same turns.
        clock: Wall time.
        generator: Draws the index.
    """

    def __init__(
        self,
        *,
        position: Callable[[], int] | None,
        clock: clocks.Clock,
        generator: random.Random,
    ) -> None:
        self._position = position
        self._clock = clock
        self._random = generator
        self._drawn: int | None = None

    def is_open(
        self,
        target: identifiers.TargetId,
        *,
        turn_ms: float,
        entries: int,
    ) -> bool:
        """Tells whether it is this entry's turn to send to a target.

        Args:
            target: The target.
            turn_ms: Length of a turn.
            entries: How many entries share the targets.
        """
        # The shift spreads the turns of one entry at different targets.
        shift = zlib.crc32(target.encode())
        turn = int(self._clock.wall_ms() / turn_ms) + shift
        return (turn - self._index()) % entries == 0

    def _index(self) -> int:
        if self._position is not None:
            return self._position()
        if self._drawn is None:
            self._drawn = self._random.getrandbits(32)
        return self._drawn
