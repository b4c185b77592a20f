"""Fencing numbers and map versions, which no two coordinators share.

The low part of a number is the rank of the coordinator that uses it.
"""

from typing import Final

#: Multiple of which each number is, plus the coordinator's rank.
_NUMBER_STEP: Final = 1024
#: A fencing number is raised by a second of the clock from which it starts; an
#: engine that refuses one does not tell the number that it has seen.
_FENCE_RAISE_MS: Final = 1000


def next_version(highest: int, own_rank: int) -> int:
    """Returns a map version above all known ones.

    >>> next_version(2051, own_rank=1)
    3073
    """
    return (highest // _NUMBER_STEP + 1) * _NUMBER_STEP + own_rank


def first_fence(wall_ms: int, own_rank: int) -> int:
    """Returns the fencing number of a coordinator that starts at a time.

    >>> first_fence(2, own_rank=1)
    2049
    """
    return wall_ms * _NUMBER_STEP + own_rank


def next_fence(fence: int, own_rank: int) -> int:
    """Returns the next fencing number of the same coordinator.

    Numbers rise by a millisecond of the clock from which they start, and there
    are fewer orders than milliseconds, so that they do not outrun the clock.

    >>> next_fence(2049, own_rank=1)
    3073
    """
    return (fence // _NUMBER_STEP + 1) * _NUMBER_STEP + own_rank


def raise_fence(highest: int, own_rank: int) -> int:
    """Returns a fencing number above those of the other coordinators.

    >>> raise_fence(2050, own_rank=1)
    1026049
    """
    raised_ms = highest // _NUMBER_STEP + _FENCE_RAISE_MS
    return raised_ms * _NUMBER_STEP + own_rank
