"""What an entry tells a guard about one try of a request."""

import base64
import binascii
from typing import Annotated, Final

import msgspec

from carobslip import identifiers

#: Header in which an attempt travels; the body is the caller's own.
ATTEMPT_HEADER: Final = 'Carobslip-Attempt'

_KEY_MAX_CHARS: Final = 255
_NAME_MAX_CHARS: Final = 128
_PATH_MAX_CHARS: Final = 2048

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=_NAME_MAX_CHARS)]

_encoder: Final = msgspec.msgpack.Encoder()


class BadAttempt(Exception):
    """A header that is not an attempt."""


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """One try of a request at one guard.

    Attributes:
        request_id: The caller's request.
        number: Counts the tries of the request from 1.
        entry: The instance that sends the attempt.
        service: Which service the request is for.
        team: Whose request it is.
        model: Model named in a draft, if any.
        method: HTTP method for the target.
        path: Path at the target, with its query.
        content_type: Media type of the body.
        repeatable: The call may run more than once without harm.
        key: Idempotency key; None for repeatable calls.
        key_is_fresh: The key was made by the entry for this request, so that
            nobody else can have used it.
        incarnation: The start of the guard that the attempt is meant for.
        dispatched_ms: When it was sent, on the guard's monotonic clock.
        permit_until_ms: Refused on arrival later than this, same clock.
        deadline_ms: The reply is needed by then, same clock.
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
    """Returns the header value of an attempt."""
    return base64.urlsafe_b64encode(_encoder.encode(attempt)).decode('ascii')


def decode_attempt(header: str) -> Attempt:
    """Returns the attempt in a header value.

    Raises:
        BadAttempt: The value is not an attempt.
    """
    try:
        return _decoder.decode(base64.urlsafe_b64decode(header))
    except (binascii.Error, msgspec.DecodeError, ValueError) as fault:
        raise BadAttempt(str(fault)) from None
