"""What all callers' connections of a process share."""

import gc
import time
from typing import Final

from carobslip import callerlimits, observability

_Event = observability.Event
#: The instance that is assumed if the settings do not describe it.
_MEMORY_MB: Final = 200
_DESCRIPTORS: Final = 4100
#: Part of the budget that cancelled requests may take until the collector runs.
_DROPPED_SHARE: Final = 0.1


def new_budget() -> callerlimits.ByteBudget:
    """Returns the budget of a usual instance, without a report."""
    return callerlimits.ByteBudget(
        bytes_max=_usual_capacity().bytes_max,
        now_s=time.monotonic,
        on_short=lambda _what: None,
    )


def _usual_capacity() -> callerlimits.Capacity:
    return callerlimits.capacity_of(
        memory_mb=_MEMORY_MB, descriptors=_DESCRIPTORS
    )


class ClientLimits:
    """The limits on callers of one process, and what they did.

    Args:
        capacity: What callers may use.
        log: Receives at most one line a second of each event.
        metrics: Counts what limits did, and holds the levels.
    """

    def __init__(
        self,
        *,
        log: observability.EventLog,
        metrics: observability.Metrics,
        capacity: callerlimits.Capacity | None = None,
    ) -> None:
        self.capacity = capacity or _usual_capacity()
        self._metrics = metrics
        self._dropped_bytes = 0
        self._report = callerlimits.LimitReport(log=log, metrics=metrics)
        self.budget = callerlimits.ByteBudget(
            bytes_max=self.capacity.bytes_max,
            now_s=time.monotonic,
            on_short=lambda what: self.count(_Event.CALLER_MEMORY_SHORT, what),
        )
        self.gate = callerlimits.ConnectionGate(
            capacity=self.capacity,
            on_full=lambda what: self.count(
                _Event.CALLER_CONNECTIONS_FULL, what
            ),
        )
        self.chunks = callerlimits.ChunkAllowance()

    def note_dropped(self, size_bytes: int) -> None:
        """Notes bytes of a cancelled request.

        Its task is in a reference cycle with its error, so that the bytes stay
        until the collector runs; it counts objects, not their size.
        """
        self._dropped_bytes += size_bytes

    def count(self, event: observability.Event, what: str) -> None:
        """Counts an action of a limit."""
        self._report.count(event, what)

    def write_report(self) -> None:
        """Writes the log lines that are due and the levels."""
        self.budget.trim()
        if self._dropped_bytes > _DROPPED_SHARE * self.capacity.bytes_max:
            self._dropped_bytes = 0
            gc.collect()
        held_bytes = self.budget.used_bytes
        connections = self.gate.count
        self._metrics.level('caller_bytes_held', held_bytes)
        self._metrics.level('caller_connections', connections)
        self._report.write(
            time.monotonic(),
            held_bytes=held_bytes,
            held_bytes_max=self.capacity.bytes_max,
            connections=connections,
        )
