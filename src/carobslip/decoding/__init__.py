"""Errors of decoders for content that comes from other processes."""

from typing import Final

#: What decoders raise for content that is malformed, of another type, has
#: numbers out of range or is nested too deeply. Errors of msgspec, of text and
#: of Base64 are ValueErrors.
MALFORMED: Final = (ValueError, RecursionError, OverflowError)
