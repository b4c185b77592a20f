"""Traces of recent requests, for the explain command."""

import collections

import msgspec

from carobslip import identifiers, verdicts


class TraceStep(msgspec.Struct, frozen=True, kw_only=True):
    """One step of a request.

    Attributes:
        after_ms: Time since the request was accepted.
        target: The target concerned; empty for steps at the entry.
        what: The action or result.
    """

    after_ms: float
    target: str
    what: str


class Trace(msgspec.Struct, kw_only=True):
    """The recorded steps of one request.

    Attributes:
        request_id: The request.
        service: The service that the request addresses.
        team: The team that sent the request.
        repeatable: The call may run more than once without harm.
        accepted_ms: Monotonic time of its arrival.
        steps: The steps, in order.
        outcome: The final verdict; None while in progress.
    """

    request_id: identifiers.RequestId
    service: identifiers.ServiceId
    team: identifiers.TeamId
    repeatable: bool
    accepted_ms: float
    steps: list[TraceStep]
    outcome: verdicts.Outcome | None = None

    def note(self, now_ms: float, target: str, what: str) -> None:
        """Adds a step."""
        self.steps.append(
            TraceStep(
                after_ms=round(now_ms - self.accepted_ms, 3),
                target=target,
                what=what,
            ),
        )


class TraceStore:
    """The most recent traces, up to a fixed capacity.

    Args:
        capacity: Number of traces that are kept.
    """

    def __init__(self, *, capacity: int = 512) -> None:
        self._capacity = capacity
        self._traces: collections.OrderedDict[
            identifiers.RequestId,
            Trace,
        ] = collections.OrderedDict()

    def add(self, trace: Trace) -> None:
        """Adds a trace, evicting the oldest one if necessary."""
        self._traces[trace.request_id] = trace
        if len(self._traces) > self._capacity:
            self._traces.popitem(last=False)

    def find(self, request_id: identifiers.RequestId) -> Trace | None:
        """Returns the trace of a request, if it is still kept."""
        return self._traces.get(request_id)
