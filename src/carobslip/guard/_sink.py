"""The port through which a guard writes a reply."""

from typing import Protocol

from carobslip import attempts


class ReplySink(Protocol):
    """Receives the frames of one reply, with backpressure."""

    async def write(self, frame: attempts.Frame) -> None:
        """Sends one frame, waiting while the reader is slow."""
