"""Progress of one forwarded request."""

from typing import Final

from carobslip import configuration, hashing, identifiers
from carobslip.forwarding import _ports, _request, _slot_ports

#: Priorities of a team, and of a route, that calls of targets tell apart: targets
#: know urgencies from 0 to 9.
_PRIORITY_STEPS: Final = 3


class PendingRequest:
    """State of one request between its route and its final answer.

    Attributes:
        sent: Sends after which it may have begun to run.
        arrivals: Sends that may have reached a target, rejections included.
        unexecuted: Attempts that provably ended without a run.
        is_at_target: A call is in progress.
        may_have_run: Some call ended without proof that it did not run.
        begun: The caller has the head of an answer.
        second_calls: Second calls that were started while a target was stalled.
        reserved: Arrivals beyond the first that the budget has granted.
        reserved_ms: When the last of them was reserved, or sent.
        progress_ms: When the caller last got content; until then, when the
            request arrived.
        waited_ms: Time that it has waited for slots.
        last_call: Progress of the last call; None before the first one.
        without_place: Number of targets by the reason why they had no free
            slot, if it was refused one.
        last_event: Number of the last event that the caller has.
        lost_at: Targets whose answer was lost.
        rejected_by: Targets that have just rejected it.
        is_suspect: It may have crashed a target.
        resend_pause_ms: Pause before it is sent again after a crash.
        permits_refused: Slots that it gave up because of a target's rate.
        urgency: What targets are told, from 0 for the highest to 9, if the
            service is contended.
        slot_trace: What brokers have decided on it.
    """

    def __init__(
        self,
        *,
        request: _request.ForwardRequest,
        caller: _ports.Caller,
        route: configuration.Route,
        team: configuration.Team | None,
        service: identifiers.ServiceId,
        is_contended: bool = False,
    ) -> None:
        self.request = request
        self.caller = caller
        self.route = route
        self.team = team
        self.service = service
        self.sent = 0
        self.arrivals = 0
        self.unexecuted = 0
        self.is_at_target = False
        self.may_have_run = False
        self.begun = False
        self.second_calls = 0
        self.reserved = 0
        self.reserved_ms: float | None = None
        self.progress_ms = request.arrived_ms
        self.waited_ms = 0.0
        self.last_call: _ports.CallProgress | None = None
        self.without_place: dict[str, int] = {}
        self.is_suspect = False
        self.resend_pause_ms = 0.0
        self.permits_refused = 0
        self.slot_trace = _slot_ports.SlotTrace()
        self.urgency = self._urgency() if is_contended else None
        self.first_event_ms: float | None = None
        self.last_event: int | None = None
        self.lost_at: set[identifiers.TargetId] = set()
        self.rejected_by: set[identifiers.TargetId] = set()
        patience_ms = min(request.patience_ms, route.timeout_ms)
        self.deadline_ms = request.arrived_ms + patience_ms

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the highest."""
        own = None if self.team is None else self.team.priority
        return self.route.priority if own is None else own

    def _urgency(self) -> int:
        """Returns the urgency at the target: by team first, then by route."""
        first = min(max(0, self.priority), _PRIORITY_STEPS - 1)
        second = min(max(0, self.route.priority), _PRIORITY_STEPS - 1)
        return _PRIORITY_STEPS * first + second

    @property
    def content_digest(self) -> int:
        """Equal for repeats of the same content by the same team.

        Computed only for contended services, whose brokers compare it.
        """
        part = self.request.content_part
        if part is None or self.urgency is None:
            return 0
        owner = '' if self.team is None else self.team.team
        return hashing.digest_names(part, owner)

    @property
    def excluded(self) -> frozenset[identifiers.TargetId]:
        """Targets that are not tried now."""
        return frozenset(self.lost_at | self.rejected_by)

    @property
    def may_repeat(self) -> bool:
        """Tells whether the request may run once more.

        A stream that has begun without a numbered event cannot be resumed
        after the content that its caller has.
        """
        cannot_resume = self.begun and self.last_event is None
        return self.route.may_repeat and not cannot_resume

    @property
    def may_be_sent_again(self) -> bool:
        """Tells whether it may run once more within the route's attempts."""
        return (
            self.may_repeat
            and self.sent < self.route.attempts_max
            and not self.is_suspect
        )

    def note_not_run(self, target: identifiers.TargetId) -> None:
        """Records that a target provably did not run it."""
        self.sent -= 1
        self.unexecuted += 1
        self.rejected_by.add(target)

    def note_lost(self, target: identifiers.TargetId) -> None:
        """Records that a target may have run it."""
        self.may_have_run = True
        self.lost_at.add(target)
        self.rejected_by.clear()

    @property
    def resume_after(self) -> str | None:
        """The event after which a stream resumes, if any."""
        if self.last_event is not None:
            return str(self.last_event)
        return self.request.last_event
