"""Compact encoding of expert selection counts.

A coordinator receives thousands of counts from each rank over a link of low
bandwidth. A layout depends on their proportions, so a few quantization levels
are enough for one report. Levels are denser for small counts, since a rank's
load is the sum of many of them. The rounding error is carried over to the next
report, so no selection is lost.
"""

import math
import zlib
from collections.abc import Sequence
from typing import Final

#: The highest level of a count; few levels compress well.
_LEVEL_MAX: Final = 15
_SCALE: Final = _LEVEL_MAX * _LEVEL_MAX
#: Size of the field that holds the highest count.
_HIGHEST_BYTES: Final = 8
#: Bounds the number of counts in a report, and its size in bytes.
COUNTS_MAX: Final = 65_536
#: Raw compressed data, without header and checksum.
_WINDOW_BITS: Final = -12


class CountsWriter:
    """Encodes the reports of one rank.

    Example:
        >>> writer = CountsWriter()
        >>> read_counts(writer.write([3, 0, 4]))
        [2, 0, 4]
        >>> read_counts(writer.write([1, 0, 0]))
        [2, 0, 0]
    """

    def __init__(self) -> None:
        self._residuals: list[int] = []

    def write(self, counts: Sequence[int]) -> bytes:
        """Returns an encoded report; empty if there is nothing to report."""
        if len(counts) != len(self._residuals):
            self._residuals = [0] * len(counts)
        pending = list(map(int.__add__, counts, self._residuals))
        highest = max(pending, default=0)
        if not highest:
            return b''
        levels = [math.isqrt(_SCALE * one // highest) for one in pending]
        table = _table(highest)
        self._residuals = [
            one - table[level]
            for one, level in zip(pending, levels, strict=True)
        ]
        compressor = zlib.compressobj(wbits=_WINDOW_BITS)
        packed = compressor.compress(bytes(levels))
        head = highest.to_bytes(_HIGHEST_BYTES, 'big')
        return head + packed + compressor.flush()


def read_counts(packed: bytes) -> list[int]:
    """Returns the counts of a report; an empty list if it is malformed."""
    decompressor = zlib.decompressobj(wbits=_WINDOW_BITS)
    try:
        levels = decompressor.decompress(packed[_HIGHEST_BYTES:], COUNTS_MAX)
    except zlib.error:
        return []
    if not decompressor.eof or max(levels, default=0) > _LEVEL_MAX:
        return []
    table = _table(int.from_bytes(packed[:_HIGHEST_BYTES], 'big'))
    return [table[level] for level in levels]


def _table(highest: int) -> list[int]:
    """Returns the count that each level represents."""
    return [highest * one * one // _SCALE for one in range(_LEVEL_MAX + 1)]
