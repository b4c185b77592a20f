"""Decodes chunked bodies without an object per chunk."""

import string
from typing import Final

#: Longest size line of a chunk, with its extensions.
_SIZE_LINE_MAX_BYTES: Final = 4096
_LINE_END: Final = b'\r\n'
#: Longest chunk size in hexadecimal digits; 64 GB.
_SIZE_DIGITS_MAX: Final = 9
_HEX_DIGITS: Final = frozenset(string.hexdigits.encode())
_HEX: Final = 16


class MalformedBody(Exception):
    """The framing of a body is invalid, or longer than allowed."""


class ChunkDecoder:
    """Decodes one body.

    Args:
        trailer_bytes_max: Longest trailers; they are read and dropped.
    """

    def __init__(self, *, trailer_bytes_max: int) -> None:
        self._trailer_bytes_left = trailer_bytes_max
        #: Bytes of the present chunk that are missing, its line end included.
        self._missing = 0
        self._line = b''
        self._is_in_trailers = False
        self.is_complete = False
        #: Chunks decoded so far.
        self.chunks = 0

    def feed(self, received: bytes, chunks_max: int) -> tuple[bytes, bytes]:
        """Decodes at most so many chunks.

        Returns:
            The content, and what was received and not decoded.

        Raises:
            MalformedBody: The framing is invalid.
        """
        content = bytearray()
        data = self._line + received if self._line else received
        self._line = b''
        place = 0
        until = self.chunks + chunks_max
        while place < len(data) and not self.is_complete:
            if self._missing:
                place = self._take_content(data, place, content)
            elif self.chunks < until:
                place = self._take_line(data, place)
            else:
                break
        return bytes(content), data[place:]

    def _take_line(self, data: bytes, place: int) -> int:
        """Takes the line before a chunk or a trailer; returns where it ends."""
        end = data.find(_LINE_END, place)
        if end < 0:
            self._keep_line(data[place:])
            return len(data)
        if self._is_in_trailers:
            self._end_trailer(end - place)
        else:
            self._begin_chunk(data[place:end])
        return end + len(_LINE_END)

    def _take_content(self, data: bytes, place: int, content: bytearray) -> int:
        """Takes content and line end of a chunk; returns where they end."""
        until = min(len(data), place + self._missing)
        content_end = place + self._missing - len(_LINE_END)
        if content_end > place:
            content += data[place : min(until, content_end)]
        begin = max(place, content_end)
        if until > begin:
            # The line end, or the part of it that has arrived.
            skipped = begin - content_end
            if (
                data[begin:until]
                != _LINE_END[skipped : skipped + until - begin]
            ):
                raise MalformedBody('a chunk does not end with its size')
        self._missing -= until - place
        return until

    def _keep_line(self, line: bytes) -> None:
        if len(line) > _SIZE_LINE_MAX_BYTES:
            raise MalformedBody('a line between chunks is too long')
        self._line = line

    def _begin_chunk(self, line: bytes) -> None:
        digits = line.partition(b';')[0].rstrip(b' \t')
        if not 0 < len(digits) <= _SIZE_DIGITS_MAX:
            raise MalformedBody('a chunk without a usable size')
        if not _HEX_DIGITS.issuperset(digits):
            raise MalformedBody('the size of a chunk is not hexadecimal')
        if len(line) > _SIZE_LINE_MAX_BYTES:
            raise MalformedBody('a line between chunks is too long')
        size = int(digits, _HEX)
        self.chunks += 1
        if size:
            self._missing = size + len(_LINE_END)
        else:
            self._is_in_trailers = True

    def _end_trailer(self, size_bytes: int) -> None:
        self._trailer_bytes_left -= size_bytes + len(_LINE_END)
        if self._trailer_bytes_left < 0:
            raise MalformedBody('the trailers are too long')
        self.is_complete = size_bytes == 0
