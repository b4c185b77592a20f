"""How far one forwarded request has come."""

from carobslip import configuration, identifiers, targets
from carobslip.forwarding import _ports, _request


class Work:
    """State of one request between its route and its final answer.

    Attributes:
        sent: Times that it may have begun to run.
        arrivals: Times that it reached a target, rejections included.
        unrun: Tries that provably ended without a run.
        is_at_target: A call is in progress.
        may_have_run: Some call ended without proof that it did not run.
        begun: The caller has the head of an answer.
        next_place: A place that was taken for the next call already.
        last_event: The last event that the caller has.
        lost_at: Targets whose answer was lost.
        rejected_by: Targets that have just rejected it.
    """

    def __init__(
        self,
        *,
        request: _request.ForwardRequest,
        caller: _ports.Caller,
        route: configuration.Route,
        team: configuration.Team | None,
        service: identifiers.ServiceId,
    ) -> None:
        self.request = request
        self.caller = caller
        self.route = route
        self.team = team
        self.service = service
        self.sent = 0
        self.arrivals = 0
        self.unrun = 0
        self.is_at_target = False
        self.may_have_run = False
        self.begun = False
        self.next_place: targets.TargetRecord | None = None
        self.waited_ms = 0.0
        self.first_event_ms: float | None = None
        self.last_event: int | None = None
        self.lost_at: set[identifiers.TargetId] = set()
        self.rejected_by: set[identifiers.TargetId] = set()
        patience_ms = min(request.patience_ms, route.timeout_ms)
        self.deadline_ms = request.arrived_ms + patience_ms

    @property
    def excluded(self) -> frozenset[identifiers.TargetId]:
        """Targets that are not tried now."""
        return frozenset(self.lost_at | self.rejected_by)

    @property
    def resume_after(self) -> str | None:
        """The event after which a stream goes on, if any."""
        if self.last_event is not None:
            return str(self.last_event)
        return self.request.last_event
