"""HTTP statuses for outcomes without a reply of a target."""

from typing import Final

from carobslip import verdicts

_Reason = verdicts.Reason

_STATUS_BY_REASON: Final = {
    _Reason.BAD_REQUEST: 400,
    _Reason.KEY_IN_FUTURE: 400,
    _Reason.UNKNOWN_SERVICE: 404,
    _Reason.BODY_TOO_LARGE: 413,
    _Reason.HEADERS_TOO_LARGE: 431,
    _Reason.REQUEST_TIMEOUT: 408,
    _Reason.UNKNOWN_ROUTE: 404,
    _Reason.UNKNOWN_KEY: 401,
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
_DEFAULT_STATUS: Final = 503
#: Statuses that guarantee that the request has not run.
_NOT_RUN_STATUSES: Final = frozenset((408, 503))
_MAY_HAVE_RUN_STATUS: Final = 502


def status_of(outcome: verdicts.Outcome) -> int:
    """Returns the HTTP status for an outcome without a reply.

    >>> status_of(verdicts.not_run(verdicts.Reason.QUEUE_FULL))
    503
    >>> status_of(verdicts.may_have_run(verdicts.Reason.NO_ROOM))
    502
    """
    status = _STATUS_BY_REASON.get(outcome.reason, _DEFAULT_STATUS)
    has_not_run = outcome.verdict is verdicts.Verdict.NOT_RUN
    if status in _NOT_RUN_STATUSES and not has_not_run:
        return _MAY_HAVE_RUN_STATUS
    return status
