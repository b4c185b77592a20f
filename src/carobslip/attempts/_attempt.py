"""The attempt metadata that an entry sends to a guard."""

import base64
from typing import Annotated, Final

import msgspec

from carobslip import decoding, identifiers

#: Header that carries the attempt; the body is the caller's, unchanged.
ATTEMPT_HEADER: Final = 'Carobslip-Attempt'

_KEY_MAX_CHARS: Final = 255
_NAME_MAX_CHARS: Final = 128
_PATH_MAX_CHARS: Final = 2048

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=_NAME_MAX_CHARS)]

_encoder: Final = msgspec.msgpack.Encoder()


class BadAttempt(Exception):
    """The header value is not a valid attempt."""


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a request at one guard.

    Attributes:
        request_id: The caller's request.
        number: Number of the attempt within the request, from 1.
        entry: The instance that sends the attempt.
        service: The service that the request addresses.
        team: The team that sent the request.
        model: Model named in a draft, if any.
        method: HTTP method for the target.
        path: Path at the target, with its query.
        content_type: Media type of the body.
        repeatable: The call may run more than once without harm.
        key: Idempotency key; None for repeatable calls.
        key_is_fresh: The entry generated the key for this request, so no
            earlier request can have used it.
        incarnation: Incarnation of the guard that the attempt is for.
        dispatched_ms: Send time, on the guard's monotonic clock.
        permit_until_ms: Latest arrival time that is accepted, same clock.
        deadline_ms: Deadline for the reply, same clock.
    """

    request_id: Annotated[identifiers.RequestId, msgspec.Meta(max_length=64)]
    number: int
    entry: _Name
    service: Annotated[
        identifiers.ServiceId,
        msgspec.Meta(max_length=_NAME_MAX_CHARS),
    ]
    team: Annotated[
        identifiers.TeamId, msgspec.Meta(max_length=_NAME_MAX_CHARS)
    ]
    model: identifiers.ModelId | None = None
    method: Annotated[str, msgspec.Meta(max_length=16)] = 'POST'
    path: Annotated[str, msgspec.Meta(max_length=_PATH_MAX_CHARS)]
    content_type: Annotated[str, msgspec.Meta(max_length=_NAME_MAX_CHARS)]
    repeatable: bool
    key: (
        Annotated[
            identifiers.IdempotencyKey,
            msgspec.Meta(max_length=_KEY_MAX_CHARS),
        ]
        | None
    ) = None
    key_is_fresh: bool = False
    incarnation: identifiers.Incarnation
    dispatched_ms: float
    permit_until_ms: float
    deadline_ms: float


_decoder: Final = msgspec.msgpack.Decoder(Attempt)


def encode_attempt(attempt: Attempt) -> str:
    """Encodes an attempt as a header value."""
    return base64.urlsafe_b64encode(_encoder.encode(attempt)).decode('ascii')


def decode_attempt(header: str) -> Attempt:
    """Decodes the attempt in a header value.

    Raises:
        BadAttempt: The value is not a valid attempt.
    """
    try:
        return _decoder.decode(base64.urlsafe_b64decode(header))
    except decoding.MALFORMED as fault:
        raise BadAttempt(str(fault)) from None
