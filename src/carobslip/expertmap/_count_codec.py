"""Choices of experts in few bytes.

A coordinator hears of thousands of counts from each rank, and its link is
narrow. A layout follows from their proportions, so a few levels are enough for
one report. Levels lie closer together for small counts, since a rank's load is
made of many of them. What rounding leaves out goes with the next report: no
choice is dropped for good.
"""

import math
import zlib
from collections.abc import Sequence
from typing import Final

#: The highest level of a count; few levels compress well.
_LEVEL_MAX: Final = 15
_SCALE: Final = _LEVEL_MAX * _LEVEL_MAX
#: Bytes of the highest count.
_MOST_BYTES: Final = 8
#: Bounds the counts of a report, and its bytes.
COUNTS_MAX: Final = 65_536
#: Raw compressed data, without header and checksum.
_WINDOW_BITS: Final = -12


class CountsWriter:
    """Packs the reports of one rank.

    Example:
        >>> writer = CountsWriter()
        >>> read_counts(writer.write([3, 0, 4]))
        [2, 0, 4]
        >>> read_counts(writer.write([1, 0, 0]))
        [2, 0, 0]
    """

    def __init__(self) -> None:
        self._owed: list[int] = []

    def write(self, counts: Sequence[int]) -> bytes:
        """Returns the bytes of a report; none if there is nothing to say."""
        if len(counts) != len(self._owed):
            self._owed = [0] * len(counts)
        due = list(map(int.__add__, counts, self._owed))
        most = max(due, default=0)
        if not most:
            return b''
        levels = [math.isqrt(_SCALE * one // most) for one in due]
        table = _table(most)
        self._owed = [
            one - table[level] for one, level in zip(due, levels, strict=True)
        ]
        packer = zlib.compressobj(wbits=_WINDOW_BITS)
        packed = packer.compress(bytes(levels))
        head = most.to_bytes(_MOST_BYTES, 'big')
        return head + packed + packer.flush()


def read_counts(packed: bytes) -> list[int]:
    """Returns the counts of a report; none if its bytes are not valid."""
    unpacker = zlib.decompressobj(wbits=_WINDOW_BITS)
    try:
        levels = unpacker.decompress(packed[_MOST_BYTES:], COUNTS_MAX)
    except zlib.error:
        return []
    if not unpacker.eof or max(levels, default=0) > _LEVEL_MAX:
        return []
    table = _table(int.from_bytes(packed[:_MOST_BYTES], 'big'))
    return [table[level] for level in levels]


def _table(most: int) -> list[int]:
    """Returns the counts that the levels stand for."""
    return [most * one * one // _SCALE for one in range(_LEVEL_MAX + 1)]
