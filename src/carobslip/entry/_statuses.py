"""HTTP statuses for verdicts that carry no reply of a target."""

from typing import Final

from carobslip import verdicts

_Reason = verdicts.Reason

_STATUS_BY_REASON: Final = {
    _Reason.BAD_REQUEST: 400,
    _Reason.KEY_IN_FUTURE: 400,
    _Reason.UNKNOWN_SERVICE: 404,
    _Reason.BODY_TOO_LARGE: 413,
    _Reason.KEY_CONFLICT: 422,
    _Reason.DEADLINE_PASSED: 504,
    _Reason.QUEUE_TIMEOUT: 503,
    _Reason.REPLY_TIMEOUT: 504,
    _Reason.CONNECTION_LOST: 502,
    _Reason.REPLY_TRUNCATED: 502,
    _Reason.REPLY_TOO_LARGE: 502,
    _Reason.TARGET_FAILED: 502,
    _Reason.KEY_EXPIRED: 409,
    _Reason.KEY_IN_DOUBT: 409,
    _Reason.KEY_HELD_ELSEWHERE: 409,
    _Reason.KEY_SEALED: 503,
    _Reason.INTERNAL_ERROR: 500,
}
_STATUS_OTHERWISE: Final = 503


def status_of(outcome: verdicts.Outcome) -> int:
    """Returns the HTTP status for an outcome without a reply.

    >>> status_of(verdicts.not_run(verdicts.Reason.QUEUE_FULL))
    503
    """
    return _STATUS_BY_REASON.get(outcome.reason, _STATUS_OTHERWISE)
