"""Least rates of callers, and the rate of very small chunks."""

from typing import Final

#: Least rate of bodies and of reading answers, far below that of any usable
#: link.
_LEAST_BYTES_PER_S: Final = 8192
#: Idle timeouts that a transfer may spend without progress altogether.
_GRACE_TIMEOUTS: Final = 4
#: Content that a chunk must carry not to count as small.
_SMALL_CHUNK_BYTES: Final = 64
#: Small chunks that the process decodes per second; they take a tenth of a core.
_CHUNKS_PER_S: Final = 100_000
#: Small chunks that are decoded without delay after a pause.
_BURST_CHUNKS: Final = 20_000


def transfer_left_s(
    *, spent_s: float, moved_bytes: int, idle_timeout_ms: float
) -> float:
    """Returns how long a whole transfer may go on without further progress.

    Args:
        spent_s: How long it has taken.
        moved_bytes: Its progress.
        idle_timeout_ms: The configured limit of one pause.

    >>> transfer_left_s(spent_s=10, moved_bytes=81920, idle_timeout_ms=15_000)
    60.0
    """
    grace_s = _GRACE_TIMEOUTS * idle_timeout_ms / 1000
    return grace_s + moved_bytes / _LEAST_BYTES_PER_S - spent_s


class ChunkAllowance:
    """Bounds the processor time for bodies in very small chunks.

    Each chunk costs the same, however short its content is. Chunks of ordinary
    size are not counted.
    """

    def __init__(self) -> None:
        self._free_at_s = 0.0

    def delay_s(self, now_s: float, chunks: int, content_bytes: int) -> float:
        """Counts decoded chunks; returns the pause before the next ones."""
        small = chunks - content_bytes // _SMALL_CHUNK_BYTES
        if small <= 1:
            return 0
        burst_s = _BURST_CHUNKS / _CHUNKS_PER_S
        begin_s = max(self._free_at_s, now_s - burst_s)
        self._free_at_s = begin_s + small / _CHUNKS_PER_S
        return max(0, self._free_at_s - now_s)
