"""Reads the frames of a guard's reply and validates their sequence."""

from collections.abc import Awaitable, Callable
from typing import Final

import msgspec

from carobslip import decoding, identifiers
from carobslip.attempts import _frames

_FRAME_MAX_BYTES: Final = 16_777_216

_decoder: Final = msgspec.msgpack.Decoder(_frames.Frame)

ReadExactly = Callable[[int], Awaitable[bytes]]


class FrameSequenceBroken(Exception):
    """The bytes are not the expected reply, or the reply is incomplete."""


class FrameReader:
    """Yields the frames of one reply.

    Args:
        request_id: Frames for another request are refused.
        incarnation: A head from another incarnation is refused.
        read_exactly: Returns exactly the given number of bytes; raises
            EOFError at the end.
    """

    def __init__(
        self,
        *,
        request_id: identifiers.RequestId,
        incarnation: identifiers.Incarnation,
        read_exactly: ReadExactly,
    ) -> None:
        self._request_id = request_id
        self._incarnation = incarnation
        self._read_exactly = read_exactly
        self._next_chunk = 0

    async def read(self) -> _frames.Frame:
        """Returns the next frame.

        Raises:
            FrameSequenceBroken: The reply ends early or is out of sequence.
        """
        try:
            prefix = await self._read_exactly(_frames.LENGTH_BYTES)
            length = int.from_bytes(prefix)
            if length > _FRAME_MAX_BYTES:
                raise FrameSequenceBroken(f'frame too large: {length} bytes')
            frame = _decoder.decode(await self._read_exactly(length))
        except EOFError:
            raise FrameSequenceBroken('the reply ends early') from None
        except decoding.MALFORMED as fault:
            raise FrameSequenceBroken(str(fault)) from None
        self._check_order(frame)
        return frame

    def _check_order(self, frame: _frames.Frame) -> None:
        if isinstance(frame, _frames.Chunk):
            self._check_chunk(frame)
            return
        if frame.request_id != self._request_id:
            raise FrameSequenceBroken(
                f'the reply is for request {frame.request_id}'
            )
        if isinstance(frame, _frames.Head):
            self._check_head(frame)
        elif isinstance(frame, _frames.End):
            self._check_end(frame)

    def _check_head(self, head: _frames.Head) -> None:
        if head.incarnation != self._incarnation:
            raise FrameSequenceBroken(
                'the reply is from another incarnation of the guard'
            )

    def _check_end(self, end: _frames.End) -> None:
        if end.chunks != self._next_chunk:
            raise FrameSequenceBroken(
                f'{end.chunks} chunks sent, {self._next_chunk} received',
            )

    def _check_chunk(self, chunk: _frames.Chunk) -> None:
        if chunk.number != self._next_chunk:
            raise FrameSequenceBroken(
                f'chunk {chunk.number} received, {self._next_chunk} expected',
            )
        self._next_chunk += 1
