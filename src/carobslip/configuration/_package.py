"""Compressed documents, which are sent between processes in parts."""

import zlib
from typing import Final

import msgspec

#: Lowest zlib level: documents repeat names and numbers, and compressing a
#: large one takes a few milliseconds.
_COMPRESSION_LEVEL: Final = 1
#: A longer document is refused, whatever its compressed size.
_TEXT_MAX_BYTES: Final = 8_388_608


class MalformedPackage(Exception):
    """Bytes that do not hold a document."""


class Package(msgspec.Struct, frozen=True, kw_only=True):
    """A compressed document, as sent between processes.

    Attributes:
        rank: Its version and digest.
        content: The compressed text.
    """

    rank: tuple[int, int]
    content: bytes


def pack(text: str, rank: tuple[int, int]) -> Package:
    """Compresses a document."""
    return Package(
        rank=rank, content=zlib.compress(text.encode(), _COMPRESSION_LEVEL)
    )


def unpack(content: bytes) -> str:
    """Decompresses the content of a package.

    Raises:
        MalformedPackage: The bytes are damaged, or the text is too long.
    """
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(content, _TEXT_MAX_BYTES).decode()
    except (zlib.error, UnicodeDecodeError) as fault:
        raise MalformedPackage(str(fault)) from None
    if not inflater.eof:
        raise MalformedPackage('the text is too long, or its end is missing')
    return text
