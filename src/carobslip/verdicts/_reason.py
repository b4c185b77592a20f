"""Sentinels that say why a verdict was reached."""

import enum


class Reason(enum.Enum):
    """Names the cause of a verdict; the value is shown to callers."""

    COMPLETED = 'completed'
    REPLAYED = 'replayed'
    BAD_REQUEST = 'bad-request'
    UNKNOWN_SERVICE = 'unknown-service'
    BODY_TOO_LARGE = 'body-too-large'
    DEADLINE_PASSED = 'deadline-passed'
    NO_TARGET = 'no-target'
    NOT_CONNECTED = 'not-connected'
    CONNECTION_LOST = 'connection-lost'
    REPLY_TIMEOUT = 'reply-timeout'
    REPLY_TRUNCATED = 'reply-truncated'
    REPLY_TOO_LARGE = 'reply-too-large'
    WRONG_INCARNATION = 'wrong-incarnation'
    PERMIT_EXPIRED = 'permit-expired'
    PAUSED = 'paused'
    TARGET_OUT = 'target-out'
    DRAINING = 'draining'
    QUEUE_FULL = 'queue-full'
    QUEUE_TIMEOUT = 'queue-timeout'
    RECORD_FULL = 'record-full'
    KEY_CONFLICT = 'key-conflict'
    KEY_EXPIRED = 'key-expired'
    KEY_IN_FUTURE = 'key-in-future'
    KEY_IN_DOUBT = 'key-in-doubt'
    KEY_SEALED = 'key-sealed'
    KEY_HELD_ELSEWHERE = 'key-held-elsewhere'
    RETRY_BUDGET_SPENT = 'retry-budget-spent'
    CANCELLED = 'cancelled'
    TARGET_FAILED = 'target-failed'
    UNKNOWN_ROUTE = 'unknown-route'
    UNKNOWN_KEY = 'unknown-key'
    NO_CONFIGURATION = 'no-configuration'
    NOT_CURRENT = 'not-current'
    NO_ROOM = 'no-room'
    TARGET_REFUSED = 'target-refused'
    INTERNAL_ERROR = 'internal-error'
