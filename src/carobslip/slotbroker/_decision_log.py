"""Writes the broker's decisions to the log and the metrics."""

from typing import Any, Final

from carobslip import clocks, observability

#: Lines of one event that are written in a second; the others are counted.
_LINES_MAX: Final = 20
_WINDOW_MS: Final = 1000.0


class DecisionLog:
    """Writes a bounded number of lines for each event.

    Args:
        log: Receives the lines.
        metrics: Receives a count for each decision.
        clock: Monotonic time.
    """

    def __init__(
        self,
        *,
        log: observability.EventLog,
        metrics: observability.Metrics,
        clock: clocks.Clock,
    ) -> None:
        self._log = log
        self.metrics = metrics
        self._clock = clock
        self._window_ms = 0.0
        self._written: dict[observability.Event, int] = {}
        self._omitted: dict[observability.Event, int] = {}

    def write(
        self, event: observability.Event, metric: str, **fields: Any
    ) -> None:
        """Counts a decision and writes its line, if the bound allows it.

        Args:
            event: The event.
            metric: Name of its counter.
            fields: Inputs and outcome of the decision.
        """
        self.metrics.count(metric)
        now_ms = self._clock.now_ms()
        if now_ms - self._window_ms >= _WINDOW_MS:
            self._window_ms = now_ms
            self._written = {}
        written = self._written.get(event, 0)
        if written >= _LINES_MAX:
            self._omitted[event] = self._omitted.get(event, 0) + 1
            return
        self._written[event] = written + 1
        omitted = self._omitted.pop(event, 0)
        self._log.write(event, omitted=omitted, **fields)
