"""The metrics port and its statsd implementation."""

from typing import Protocol

import statsd


class Metrics(Protocol):
    """Receives counters, gauges and durations."""

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""

    def level(self, name: str, amount: float) -> None:
        """Sets a gauge."""

    def time_ms(self, name: str, duration_ms: float) -> None:
        """Adds a duration in milliseconds."""


class NoMetrics:
    """Discards all metrics."""

    def count(self, name: str, amount: int = 1) -> None:
        """Does nothing."""

    def level(self, name: str, amount: float) -> None:
        """Does nothing."""

    def time_ms(self, name: str, duration_ms: float) -> None:
        """Does nothing."""


class StatsdMetrics:
    """Sends metrics by UDP.

    Args:
        host: IP address of the daemon.
        port: UDP port of the daemon.
        prefix: Prefix of every metric name.
    """

    def __init__(self, *, host: str, port: int, prefix: str) -> None:
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self._client.incr(name, amount)

    def level(self, name: str, amount: float) -> None:
        """Sets a gauge."""
        self._client.gauge(name, amount)

    def time_ms(self, name: str, duration_ms: float) -> None:
        """Adds a duration in milliseconds."""
        self._client.timing(name, duration_ms)
