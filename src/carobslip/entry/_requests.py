"""A caller's request after its headers have been checked."""

import msgspec

from carobslip import identifiers


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request as the caller sent it.

    Attributes:
        request_id: Made by the entry, told to the caller.
        service: Which service it is for.
        team: Whose request it is.
        model: Model named in a draft, if any.
        method: HTTP method for the target.
        path: Path at the target, with its query.
        content_type: Media type of the body.
        body: The whole body.
        key: The caller's idempotency key, if there is one.
        repeatable: The call may run more than once without harm.
        deadline_ms: Reply needed by then, on the entry's monotonic clock.
    """

    request_id: identifiers.RequestId
    service: identifiers.ServiceId
    team: identifiers.TeamId
    model: identifiers.ModelId | None
    method: str
    path: str
    content_type: str
    body: bytes
    key: identifiers.IdempotencyKey | None
    repeatable: bool
    deadline_ms: float
