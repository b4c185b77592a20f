"""Reads JSON with comments into typed documents."""

import functools
import operator
import re
from collections.abc import Iterable
from typing import Any, Final, TypeVar

import msgspec
import pyjson5

from carobslip import decoding
from carobslip.configuration import _document, _errors, _locator

_PATH_PATTERN: Final = re.compile(r' - at `(?P<path>[^`]*)`$')
_POSITION_PATTERN: Final = re.compile('near (?P<offset>[0-9]+)')

DocumentT = TypeVar('DocumentT')


def read_configuration(text: str, *, source: str) -> _document.Configuration:
    """Reads the operators' document.

    Args:
        text: JSON with comments.
        source: File name or address, for error messages.

    Raises:
        InvalidDocument: The document is not well-formed or not valid.
    """
    return read_document(text, source=source, kind=_document.Configuration)


def to_text(document: _document.Configuration) -> str:
    """Returns a document as text that :func:`read_configuration` reads."""
    return msgspec.json.encode(document).decode()


def read_document(
    text: str,
    *,
    source: str,
    kind: type[DocumentT],
) -> DocumentT:
    """Reads one document of a given type.

    Args:
        text: JSON with comments.
        source: File name or address, for error messages.
        kind: The type (or union of tagged types) to convert to.

    Raises:
        InvalidDocument: The document is not well-formed or not valid.
    """
    content = _parse(text, source)
    try:
        return msgspec.convert(content, kind)
    except decoding.MALFORMED as error:
        fault, path = _split_path(str(error))
        raise _errors.InvalidDocument(
            source=source,
            line=_locator.find_line(text, path),
            path=path,
            fault=fault,
        ) from None


def read_tagged(
    text: str,
    *,
    source: str,
    kinds: Iterable[type],
) -> Any:
    """Reads a document whose ``kind`` field names its type.

    Args:
        text: JSON with comments.
        source: File name or address, for error messages.
        kinds: The types that are accepted.

    Returns:
        An instance of one of ``kinds``.

    Raises:
        InvalidDocument: The document is not well-formed or not valid.
    """
    union: Any = functools.reduce(operator.or_, kinds)
    return read_document(text, source=source, kind=union)


def _parse(text: str, source: str) -> Any:
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        message = str(error.args[0]) if error.args else 'is not JSON'
        raise _errors.InvalidDocument(
            source=source,
            line=_line_of_offset(text, message),
            path='$',
            fault=message,
        ) from None
    except decoding.MALFORMED as fault:
        raise _errors.InvalidDocument(
            source=source,
            line=None,
            path='$',
            fault=str(fault),
        ) from None


def _line_of_offset(text: str, message: str) -> int | None:
    position = _POSITION_PATTERN.search(message)
    if position is None:
        return None
    return text.count('\n', 0, int(position['offset'])) + 1


def _split_path(message: str) -> tuple[str, str]:
    found = _PATH_PATTERN.search(message)
    if found is None:
        return message, '$'
    return message[: found.start()], found['path']
