"""Non-blocking, rate-limited writing of log lines to a descriptor."""

import os
import time
from typing import Final

#: Bytes buffered for a slow reader; further lines are dropped.
_PENDING_MAX_BYTES: Final = 262_144
#: Lines per second that a process writes; further ones are dropped and counted.
_LINES_PER_S_MAX: Final = 500


class BoundedOutput:
    """A text stream that drops lines instead of blocking.

    Args:
        descriptor: Destination of the lines; it is made non-blocking.
    """

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._pending = b''
        self._second = 0
        self._lines = 0
        self._dropped = 0

    def write(self, text: str) -> int:
        """Buffers a line; ignores a separate line end."""
        if text == '\n':
            return 1
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines = 0
            self._report_dropped()
        self._lines += 1
        content = text.rstrip('\n').encode() + b'\n'
        is_full = len(self._pending) + len(content) > _PENDING_MAX_BYTES
        if is_full or self._lines > _LINES_PER_S_MAX:
            self._dropped += 1
        else:
            self._pending += content
        return len(text)

    def flush(self) -> None:
        """Writes as much as the descriptor accepts without blocking."""
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader of the logs is gone; the process runs on without them.
            self._pending = b''
            return
        self._pending = self._pending[written:]

    def _report_dropped(self) -> None:
        if self._dropped:
            line = (
                f'{{"event": "log-lines-dropped", "code": 107, '
                f'"lines": {self._dropped}}}\n'
            )
            self._pending += line.encode()
            self._dropped = 0
