"""Counts what limits did, in metrics and in few log lines."""

from typing import Final

from carobslip import observability

#: Shortest time between two lines of one event.
_LINE_INTERVAL_S: Final = 1.0


class LimitReport:
    """Counts each action of a limit; writes at most one line a second of each.

    Args:
        log: Receives the lines; fields are the counts since the last one.
        metrics: Counts all actions.
    """

    def __init__(
        self,
        *,
        log: observability.EventLog,
        metrics: observability.Metrics,
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._counts: dict[observability.Event, dict[str, int]] = {}
        self._written_s: dict[observability.Event, float] = {}

    def count(self, event: observability.Event, what: str) -> None:
        """Counts one action."""
        counts = self._counts.setdefault(event, {})
        counts[what] = counts.get(what, 0) + 1
        self._metrics.count(f'{event.event_name}.{what}'.replace('-', '_'))

    def write(self, now_s: float, **fields: int) -> None:
        """Writes the lines that are due, with the given levels."""
        for event in tuple(self._counts):
            if now_s - self._written_s.get(event, 0) < _LINE_INTERVAL_S:
                continue
            counts = self._counts.pop(event)
            self._written_s[event] = now_s
            named = {
                what.replace('.', '_').replace('-', '_'): count
                for what, count in counts.items()
            }
            self._log.write(event, **named, **fields)
