"""Time-ordered identifiers (UUID version 7) and the time they contain."""

import os
import re
from typing import Final

from carobslip.identifiers import _names

_TIMESTAMP_BITS: Final = 48
_UUID_BITS: Final = 128
_VERSION_7: Final = 7 << 76
_VARIANT: Final = 2 << 62
_RANDOM_MASK: Final = ~((0xF << 76) | (0x3 << 62)) & ((1 << 80) - 1)
_RANDOM_BYTES: Final = 10
_VERSION_7_PATTERN: Final = re.compile(
    '[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}',
)


def new_key(wall_ms: int) -> _names.IdempotencyKey:
    """Creates a unique key.

    Args:
        wall_ms: Unix time in milliseconds, encoded in the key.
    """
    return _names.IdempotencyKey(_new_uuid7(wall_ms))


def new_request_id(wall_ms: int) -> _names.RequestId:
    """Creates an identifier for a request accepted at ``wall_ms``."""
    return _names.RequestId(_new_uuid7(wall_ms))


def created_at_ms(key: str) -> int | None:
    """Reads the time of creation from a time-ordered key.

    Args:
        key: A caller's key in any format.

    Returns:
        Unix time in milliseconds, or None if the key contains no time.

    >>> created_at_ms('0190163d-8694-739b-aea5-966c26f8ad91')
    1718360049300
    >>> created_at_ms('order-17') is None
    True
    """
    if _VERSION_7_PATTERN.fullmatch(key.lower()) is None:
        return None
    return int(key.replace('-', '')[:12], 16)


def _new_uuid7(wall_ms: int) -> str:
    random_part = int.from_bytes(os.urandom(_RANDOM_BYTES)) & _RANDOM_MASK
    timestamp = wall_ms << (_UUID_BITS - _TIMESTAMP_BITS)
    digits = f'{timestamp | _VERSION_7 | _VARIANT | random_part:032x}'
    groups = (
        digits[:8],
        digits[8:12],
        digits[12:16],
        digits[16:20],
        digits[20:],
    )
    return '-'.join(groups)
