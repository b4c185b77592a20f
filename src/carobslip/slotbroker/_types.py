"""Requests for slots, and the decisions on them."""

import enum
from typing import Annotated

import msgspec

from carobslip import identifiers

#: Longest name of a ticket or lease, and targets that one request may exclude.
NAME_MAX_CHARS = 200
EXCLUDED_MAX = 256

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=NAME_MAX_CHARS)]
_NonNegative = Annotated[float, msgspec.Meta(ge=0)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**31)]


class _Value(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base of the values that travel in messages.

    Fields are encoded by position; new ones go to the end.
    """


class SlotDemand(_Value, frozen=True, kw_only=True):
    """What a request needs in order to start.

    Attributes:
        ticket: Identifies the request at the broker; unique in the fleet.
        service: The service that serves it.
        entry: The entry that asks.
        data_centre: Where that entry runs.
        priority: Priority of the team, or of the route if the team has none; 0
            is the highest.
        on_time_left_ms: Time until the caller's objective ends.
        wait_left_ms: It is refused if it has not started within this time.
        patience_left_ms: How long the caller still waits for its answer.
        team: The team that owns it.
        prompt_tokens: Prompt size that the caller states; 0 if none.
        answer_tokens_max: Limit of generated tokens; 0 if not stated.
        answer_tokens_hint: The caller's estimate of them; 0 if none.
        content_digest: Equal for repeats of the same content by a caller.
        may_have_run: A target may have run it, so it can no longer be refused
            as not run; it goes before all others.
        excluded: Targets that the entry does not use for it now.
        route_priority: Priority of the route. It orders the requests of equal
            ``priority``.
    """

    ticket: _Name
    service: identifiers.ServiceId
    entry: identifiers.InstanceId
    data_centre: identifiers.DataCentreId
    priority: int
    on_time_left_ms: float
    wait_left_ms: float
    patience_left_ms: float
    team: identifiers.TeamId | None = None
    prompt_tokens: _Count = 0
    answer_tokens_max: _Count = 0
    answer_tokens_hint: _Count = 0
    content_digest: int = 0
    may_have_run: bool = False
    excluded: Annotated[
        tuple[identifiers.TargetId, ...],
        msgspec.Meta(max_length=EXCLUDED_MAX),
    ] = ()
    route_priority: int = 0


class SlotGranted(_Value, frozen=True, kw_only=True):
    """A request may start at a target.

    Attributes:
        ticket: The request.
        lease: Identifies the slot until it is released.
        target: The target.
    """

    ticket: _Name
    lease: _Name
    target: identifiers.TargetId


class SlotRefused(_Value, frozen=True, kw_only=True):
    """A request must not start.

    Attributes:
        ticket: The request.
        reason: Cause of the refusal, for logs.
        retry_after_ms: Delay after which a retry may succeed.
        waiting: Requests that waited for the service.
    """

    ticket: _Name
    reason: str
    retry_after_ms: _NonNegative
    waiting: _Count = 0


class SlotQueued(_Value, frozen=True, kw_only=True):
    """A request waits for a slot.

    Attributes:
        ticket: The request.
        wait_ms: The expected wait.
    """

    ticket: _Name
    wait_ms: _NonNegative = 0.0


class SlotResult(enum.Enum):
    """How the use of a slot ended."""

    SERVED = 'served'
    FAILED = 'failed'
    UNREACHABLE = 'unreachable'
    NOT_RUN = 'not-run'
    #: The caller left, or the slot was not used.
    CANCELLED = 'cancelled'


class SlotOutcome(_Value, frozen=True, kw_only=True):
    """The end of a request that held a slot.

    Attributes:
        lease: The slot.
        target: The target.
        result: How it ended.
        took_ms: Time that the slot was held.
        first_event_ms: Time from the start to the first event, if there was
            one.
        events: Events of the answer.
    """

    lease: _Name
    target: identifiers.TargetId
    result: SlotResult
    took_ms: _NonNegative
    first_event_ms: float | None = None
    events: _Count = 0
