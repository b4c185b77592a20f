"""Compact delta between two layouts, of about two bytes per copy.

Columns of variable-length integers: the distance to the next changed rank, a
bit mask of the places that it gives up together with the number of experts that
it gains, and these experts. Equal kinds of numbers side by side compress well.
"""

import zlib
from collections.abc import Iterator, Sequence
from typing import Final

from carobslip.expertmap import _group_map

#: First byte of a compact delta; compressed data with a header begins with
#: another one, so that older readers reject a compact delta.
_MARK: Final = b'\x01'
#: Bits of the number of gained experts. A delta with more of them at one rank
#: is not read as the layout that was written.
_GAINED_BITS: Final = 3
_GAINED_MAX: Final = (1 << _GAINED_BITS) - 1
#: Raw compressed data, without header and checksum.
_WINDOW_BITS: Final = -12
#: Bounds the decompressed size.
_CONTENT_MAX_BYTES: Final = 262_144
_SEVEN_BITS: Final = 0x7F
_MORE: Final = 0x80


def is_compact(content: bytes) -> bool:
    """Tells whether a delta is in the compact form."""
    return content.startswith(_MARK)


def write_delta(before: _group_map.Layout, after: _group_map.Layout) -> bytes:
    """Returns the delta of two layouts of the same shape.

    >>> delta = write_delta((((0, 1), (2,)),), (((0, 3), (2,)),))
    >>> read_delta((((0, 1), (2,)),), delta)
    (((0, 3), (2,)),)
    """
    heads: list[int] = []
    gaps: list[int] = []
    gained: list[int] = []
    last = -1
    pairs = zip(_ranks_of(before), _ranks_of(after), strict=True)
    for number, (old, new) in enumerate(pairs):
        if old != new:
            added = sorted(set(new) - set(old))
            heads.append(_lost_places(old, new) << _GAINED_BITS | len(added))
            gaps.append(number - last)
            gained += added
            last = number
    return _MARK + _pack([len(gaps), *gaps, *heads, *gained])


def read_delta(
    before: _group_map.Layout, content: bytes
) -> _group_map.Layout | None:
    """Returns the layout after a delta; None if the delta is malformed."""
    decompressor = zlib.decompressobj(wbits=_WINDOW_BITS)
    try:
        columns = decompressor.decompress(
            content[len(_MARK) :], _CONTENT_MAX_BYTES
        )
    except zlib.error:
        return None
    numbers = _read_numbers(columns)
    ranks = list(_ranks_of(before))
    try:
        _apply_numbers(ranks, numbers)
    except (StopIteration, IndexError):
        return None
    flat = iter(ranks)
    return tuple(
        tuple(next(flat) for _ in ranks_of_set) for ranks_of_set in before
    )


def _apply_numbers(
    ranks: list[tuple[int, ...]], numbers: Iterator[int]
) -> None:
    """Applies the columns; raises StopIteration or IndexError."""
    count = next(numbers)
    if count > len(ranks):
        raise IndexError(count)
    gaps = [next(numbers) for _ in range(count)]
    heads = [next(numbers) for _ in range(count)]
    number = -1
    for gap, head in zip(gaps, heads, strict=True):
        number += gap
        added = [next(numbers) for _ in range(head & _GAINED_MAX)]
        ranks[number] = _replace(ranks[number], head >> _GAINED_BITS, added)


def _replace(
    experts: Sequence[int], lost: int, added: list[int]
) -> tuple[int, ...]:
    kept = [
        expert for place, expert in enumerate(experts) if not lost >> place & 1
    ]
    return tuple(sorted(kept + added))


def _lost_places(old: Sequence[int], new: Sequence[int]) -> int:
    """Returns a bit mask of the places whose experts a rank gives up."""
    return sum(1 << place for place, one in enumerate(old) if one not in new)


def _pack(numbers: Sequence[int]) -> bytes:
    compressor = zlib.compressobj(zlib.Z_BEST_COMPRESSION, wbits=_WINDOW_BITS)
    packed = compressor.compress(b''.join(map(_write_number, numbers)))
    return packed + compressor.flush()


def _ranks_of(layout: _group_map.Layout) -> Sequence[tuple[int, ...]]:
    return [experts for ranks in layout for experts in ranks]


def _write_number(number: int) -> bytes:
    digits = bytearray()
    while number > _SEVEN_BITS:
        digits.append(number & _SEVEN_BITS | _MORE)
        number >>= 7
    digits.append(number)
    return bytes(digits)


def _read_numbers(columns: bytes) -> Iterator[int]:
    number = 0
    shift = 0
    for digit in columns:
        number |= (digit & _SEVEN_BITS) << shift
        shift += 7
        if digit < _MORE:
            yield number
            number = 0
            shift = 0
