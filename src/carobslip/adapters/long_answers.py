"""Whole answers that are written in parts."""

from typing import Final

from aiohttp import web

from carobslip.adapters import caller_connections

#: Part of an answer that is written before the caller must have read some of it.
_PART_BYTES: Final = 65_536


class LongAnswer(web.StreamResponse):
    """An answer whose body stays in one place until it is written.

    A body that is written at once is copied with its head, and copies stay in
    reference cycles of cancelled tasks when the caller has left.

    Args:
        status: Status of the answer.
        body: All of the body.
    """

    def __init__(self, *, status: int, body: bytes) -> None:
        super().__init__(status=status)
        self._content = body
        self.content_length = len(body)

    async def write_eof(self, data: bytes = b'') -> None:
        """Writes the body as far as the caller reads, then ends the answer."""
        connection = self._req.protocol if self._req is not None else None
        if isinstance(connection, caller_connections.CallerConnection):
            connection.answer.force(len(self._content))
        try:
            for place in range(0, len(self._content), _PART_BYTES):
                await self.write(self._content[place : place + _PART_BYTES])
        finally:
            self._content = b''
            if isinstance(connection, caller_connections.CallerConnection):
                connection.answer.clear()
        await super().write_eof(data)


def new_answer(*, status: int, body: bytes) -> web.StreamResponse:
    """Returns the answer with a body of any length."""
    if len(body) <= _PART_BYTES:
        return web.Response(status=status, body=body)
    return LongAnswer(status=status, body=body)
