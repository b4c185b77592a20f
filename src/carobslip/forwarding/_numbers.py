"""Reads numbers that targets name in the headers of their answers."""

import math
from typing import Final

#: Longer values are no numbers, and are cut in logs.
VALUE_MAX_CHARS: Final = 32


def read_amount(text: str) -> float | None:
    """Returns a finite number that is not negative; None for other values.

    >>> read_amount('0.25'), read_amount('-1'), read_amount('inf')
    (0.25, None, None)
    """
    if len(text) > VALUE_MAX_CHARS:
        return None
    try:
        amount = float(text)
    except ValueError:
        return None
    return amount if math.isfinite(amount) and amount >= 0 else None
