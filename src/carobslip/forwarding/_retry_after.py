"""Reads the time for which a target wants no further requests."""

from typing import Final

from carobslip.forwarding import _numbers

#: A target that names a longer time is asked again after this one.
PAUSE_MAX_MS: Final = 3_600_000.0


def read_pause_ms(text: str) -> float | None:
    """Returns a time in milliseconds; None if the value is not one.

    Args:
        text: Seconds, which may have a fraction.

    >>> read_pause_ms('0.25'), read_pause_ms('1e9')
    (250.0, 3600000.0)
    >>> read_pause_ms('-1'), read_pause_ms('Sat, 05 Dec 2026 13:00:00 GMT')
    (None, None)
    """
    seconds = _numbers.read_amount(text)
    return None if seconds is None else min(PAUSE_MAX_MS, 1000 * seconds)
