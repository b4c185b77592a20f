"""Documents as bytes that travel between processes in parts."""

import zlib
from typing import Final

import msgspec

#: Documents repeat names and figures; the lowest level takes a few
#: milliseconds for a large one.
_LEVEL: Final = 1
#: A longer document is refused, whatever its packed size.
_TEXT_MAX_BYTES: Final = 8_388_608


class MalformedPackage(Exception):
    """Bytes that do not hold a document."""


class Package(msgspec.Struct, frozen=True, kw_only=True):
    """A document as it travels.

    Attributes:
        rank: Its version and digest.
        content: The compressed text.
    """

    rank: tuple[int, int]
    content: bytes


def pack(text: str, rank: tuple[int, int]) -> Package:
    """Returns a document as it travels."""
    return Package(rank=rank, content=zlib.compress(text.encode(), _LEVEL))


def unpack(content: bytes) -> str:
    """Returns the text in a package's content.

    Raises:
        MalformedPackage: The bytes are damaged, or the text is too long.
    """
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(content, _TEXT_MAX_BYTES).decode()
    except (zlib.error, UnicodeDecodeError) as fault:
        raise MalformedPackage(str(fault)) from None
    if not inflater.eof:
        raise MalformedPackage('it is too long, or its end is missing')
    return text
