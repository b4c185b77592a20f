"""Splits the bytes of an event stream into complete events."""

import re
from collections.abc import Iterator
from typing import Final

import msgspec

#: Further empty lines belong to the event before them; they start none.
_END: Final = re.compile(b'\r?\n(?:\r?\n)+')
#: Bytes of an end that earlier content may have left unfinished.
_END_PART_BYTES: Final = 3
_NUMBER: Final = re.compile(b'^id: ?([0-9]{1,18})\r?$', re.MULTILINE)


class StreamEvent(msgspec.Struct, frozen=True):
    """One event, unchanged; ``number`` is None without a numeric id."""

    raw: bytes
    number: int | None

    @property
    def is_comment(self) -> bool:
        """Whether it has no field, only comments."""
        lines = self.raw.splitlines()
        return all(not line or line.startswith(b':') for line in lines)


class EventSplitter:
    r"""Buffers bytes until events are complete.

    >>> splitter = EventSplitter()
    >>> [event.number for event in splitter.feed(b'id: 1\ndata: a\n\nid: 2')]
    [1]
    >>> splitter.rest
    b'id: 2'
    """

    def __init__(self) -> None:
        self.rest = b''

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end with a part of an event."""
        return bool(self.rest.strip(b'\r\n'))

    def feed(self, content: bytes) -> Iterator[StreamEvent]:
        """Adds bytes, then yields the events that are complete now."""
        scan_from = max(0, len(self.rest) - _END_PART_BYTES)
        self.rest += content
        begin = 0
        for end in _END.finditer(self.rest, scan_from):
            raw = self.rest[begin : end.end()]
            yield StreamEvent(raw, _number_of(raw))
            begin = end.end()
        self.rest = self.rest[begin:]


def _number_of(raw: bytes) -> int | None:
    found = _NUMBER.search(raw)
    return None if found is None else int(found[1])
