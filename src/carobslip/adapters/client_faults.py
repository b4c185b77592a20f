"""Tells client errors before sending from those after it.

Only the former prove that the peer received nothing.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

import aiohttp

from carobslip import guard

#: Raised before a connection is established, hence before anything was sent.
_BEFORE_SENDING: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)
_CLIENT_ERRORS: Final = (aiohttp.ClientError, OSError, TimeoutError)


@contextmanager
def translate_send_errors(
    *,
    not_reached: type[Exception] = guard.TargetNotReached,
    lost: type[Exception] = guard.TargetLost,
) -> Iterator[None]:
    """Translates client errors while sending a call to errors of a port.

    Args:
        not_reached: Raised when nothing was sent.
        lost: Raised when the call may have reached the peer.
    """
    try:
        yield
    except _BEFORE_SENDING as fault:
        raise not_reached(repr(fault)) from None
    except _CLIENT_ERRORS as fault:
        raise lost(repr(fault)) from None


@contextmanager
def translate_read_errors(
    *,
    lost: type[Exception] = guard.TargetLost,
) -> Iterator[None]:
    """Translates client errors while reading an answer to errors of a port.

    Args:
        lost: Raised when the answer is incomplete.
    """
    try:
        yield
    except _CLIENT_ERRORS as fault:
        raise lost(repr(fault)) from None
