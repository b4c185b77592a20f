"""Where a guard writes a reply."""

from typing import Protocol

from carobslip import attempts


class ReplySink(Protocol):
    """Takes the frames of one reply, waiting while the reader is slow."""

    async def write(self, frame: attempts.Frame) -> None:
        """Sends one frame."""
