"""Waits for work in progress before a planned stop."""

import asyncio
from collections.abc import Callable
from typing import Final

from carobslip import clocks, observability

_POLL_INTERVAL_S: Final = 0.02
#: Part of the time of a planned stop in which new requests are still accepted.
#: The rest is for completing them.
_ACCEPT_SHARE: Final = 0.35


def accept_ms(drain_ms: float) -> float:
    """Returns how long after the begin of a stop requests are accepted.

    Args:
        drain_ms: Longest duration of the stop.
    """
    return _ACCEPT_SHARE * drain_ms


async def wait_until_idle(
    is_idle: Callable[[], bool],
    *,
    drain_ms: int,
    clock: clocks.Clock,
    log: observability.EventLog,
) -> None:
    """Waits until nothing is in progress, at most ``drain_ms``.

    Args:
        is_idle: Returns True once nothing is in progress.
        drain_ms: Longest wait, set by the operators.
        clock: Monotonic time.
        log: Receives the event that ends the drain.
    """
    deadline_ms = clock.now_ms() + drain_ms
    while not is_idle():
        if clock.now_ms() >= deadline_ms:
            log.write(observability.Event.DRAIN_CUT_SHORT, drain_ms=drain_ms)
            return
        await asyncio.sleep(_POLL_INTERVAL_S)
    log.write(observability.Event.DRAIN_ENDED)
