"""Compressed documents, which are sent between processes in parts."""

import zlib
from typing import Final

import msgspec

from carobslip.configuration import _order

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
        order: Its order when it was compressed.
        content: The compressed text.
    """

    order: _order.DocumentOrder
    content: bytes


def pack(text: str, order: _order.DocumentOrder) -> Package:
    """Compresses a document."""
    return Package(
        order=order, content=zlib.compress(text.encode(), _COMPRESSION_LEVEL)
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
