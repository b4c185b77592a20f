"""Which faults of the HTTP client prove that a peer got nothing."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

import aiohttp

from carobslip import guard

#: Raised before a connection stands, so before anything was sent on it.
_BEFORE_SENDING: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)
_ANY: Final = (aiohttp.ClientError, OSError, TimeoutError)


@contextmanager
def judge_sending(
    *,
    not_reached: type[Exception] = guard.TargetNotReached,
    lost: type[Exception] = guard.TargetLost,
) -> Iterator[None]:
    """Turns faults of sending a call into errors of a port.

    Args:
        not_reached: Raised when nothing was sent.
        lost: Raised when the call may have reached the peer.
    """
    try:
        yield
    except _BEFORE_SENDING as fault:
        raise not_reached(repr(fault)) from None
    except _ANY as fault:
        raise lost(repr(fault)) from None


@contextmanager
def judge_reading(
    *,
    lost: type[Exception] = guard.TargetLost,
) -> Iterator[None]:
    """Turns faults of reading an answer into errors of a port.

    Args:
        lost: Raised when the answer broke off.
    """
    try:
        yield
    except _ANY as fault:
        raise lost(repr(fault)) from None
