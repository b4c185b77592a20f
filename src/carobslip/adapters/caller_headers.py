"""Reads and validates the body and headers of callers' requests."""

from typing import Final

from aiohttp import web

from carobslip import callerlimits, configuration, identifiers, verdicts
from carobslip.adapters import caller_bodies

TEAM_HEADER: Final = 'Carobslip-Team'
KEY_HEADER: Final = 'Idempotency-Key'
TIMEOUT_HEADER: Final = 'Carobslip-Timeout-Ms'

#: Limits that hold before the policy of a request is known.
LIMITS: Final = configuration.CallerLimits(
    body_bytes=67_108_864, header_timeout_ms=15_000
)
#: Longest name of a team, and longest media type that is forwarded.
NAME_MAX_CHARS: Final = 128
_KEY_MAX_CHARS: Final = 255

_Reason = verdicts.Reason


class Refused(Exception):
    """The request is refused before a target is chosen."""

    def __init__(self, *, outcome: verdicts.Outcome) -> None:
        super().__init__(outcome.explanation)
        self.outcome = outcome


async def read_body(
    request: web.Request, holding: callerlimits.Holding
) -> bytes:
    """Returns the whole body; raises Refused if it exceeds a limit."""
    body = await caller_bodies.read_body(request, holding, LIMITS)
    if isinstance(body, verdicts.Outcome):
        raise Refused(outcome=body)
    return body


def read_team(request: web.Request) -> identifiers.TeamId:
    """Returns the team; raises Refused if it is missing or too long."""
    team = request.headers.get(TEAM_HEADER, '').strip()
    if not team or len(team) > NAME_MAX_CHARS:
        raise refused(
            _Reason.BAD_REQUEST,
            f'{TEAM_HEADER} must have 1 to {NAME_MAX_CHARS} characters',
        )
    return identifiers.TeamId(team)


def read_key(request: web.Request) -> identifiers.IdempotencyKey | None:
    """Returns the idempotency key; raises Refused when it is not valid."""
    key = request.headers.get(KEY_HEADER)
    if key is None:
        return None
    key = key.strip()
    if not key or len(key) > _KEY_MAX_CHARS or not key.isascii():
        raise refused(
            _Reason.BAD_REQUEST,
            f'{KEY_HEADER} must have 1 to {_KEY_MAX_CHARS} ASCII characters',
        )
    return identifiers.IdempotencyKey(key)


def read_timeout_ms(
    request: web.Request,
    policy: configuration.Policy,
) -> float:
    """Returns the caller's timeout, capped by the policy."""
    text = request.headers.get(TIMEOUT_HEADER)
    if text is None:
        return float(policy.timeout_ms)
    if not text.isdecimal() or not text.isascii() or int(text) == 0:
        raise refused(
            _Reason.BAD_REQUEST,
            f'{TIMEOUT_HEADER} must be a whole number above 0',
        )
    return float(min(int(text), policy.timeout_max_ms))


def refused(reason: verdicts.Reason, explanation: str) -> Refused:
    """Returns the error for an invalid request."""
    return Refused(outcome=verdicts.not_run(reason, explanation))
