"""Counts control traffic by message type."""

import collections

from carobslip import observability
from carobslip.control import _messages


class Traffic:
    """Records messages, bytes, answer times and unanswered requests by type.

    Args:
        metrics: Receives the counts.
    """

    def __init__(self, *, metrics: observability.Metrics) -> None:
        self._metrics = metrics
        self._bytes: collections.Counter[str] = collections.Counter()

    def take_bytes(self) -> dict[str, int]:
        """Returns bytes by direction and type since the last call."""
        taken = dict(self._bytes)
        self._bytes.clear()
        return taken

    def note_sent(self, message: _messages.Message, size_bytes: int) -> None:
        """Counts a message that this process sent."""
        self._count('sent', message, size_bytes)

    def note_received(
        self,
        message: _messages.Message,
        size_bytes: int,
    ) -> None:
        """Counts a message that this process received."""
        self._count('received', message, size_bytes)

    def note_answered(
        self,
        request: _messages.Message,
        took_ms: float,
    ) -> None:
        """Records how long the answer to a request of this process took."""
        self._metrics.time_ms(f'control_answer.{_kind_of(request)}', took_ms)

    def note_unanswered(self, request: _messages.Message) -> None:
        """Counts a request of this process that got no answer in time."""
        self._metrics.count(f'control_silent.{_kind_of(request)}')

    def _count(
        self,
        direction: str,
        message: _messages.Message,
        size_bytes: int,
    ) -> None:
        kind = _kind_of(message)
        self._metrics.count(f'control_{direction}.{kind}')
        self._metrics.count(f'control_{direction}_bytes.{kind}', size_bytes)
        self._bytes[f'{direction}.{kind}'] += size_bytes


def _kind_of(message: _messages.Message) -> str:
    return type(message).__name__
