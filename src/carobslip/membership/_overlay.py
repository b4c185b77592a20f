"""Chooses the members that a process monitors.

Every member stands on several rings, in an order given by hashes of its name,
and monitors its successor on each. So each member is monitored by a fixed number
of others, a process needs few connections however large the fleet is, and news
still reach all members in a number of steps that grows with its logarithm.
"""

import functools
from collections.abc import Iterable
from typing import Final

from carobslip import hashing, identifiers

#: Members that a process monitors, and that monitor it.
RINGS: Final = 8
_POSITIONS: Final = 2**64
_CACHED_POSITIONS_MAX: Final = 32_768


def monitored_members(
    own: identifiers.InstanceId,
    members: Iterable[identifiers.InstanceId],
) -> set[identifiers.InstanceId]:
    """Returns the members that a process monitors.

    Args:
        own: Name of the process.
        members: Names of all members; the own one is ignored.
    """
    others = [member for member in members if member != own]
    if len(others) <= RINGS:
        return set(others)
    return {
        min(others, key=functools.partial(_distance, own, ring))
        for ring in range(RINGS)
    }


def _distance(
    own: identifiers.InstanceId,
    ring: int,
    member: identifiers.InstanceId,
) -> int:
    """Returns how far a member follows the process on a ring."""
    return (_position(member, ring) - _position(own, ring)) % _POSITIONS


@functools.lru_cache(maxsize=_CACHED_POSITIONS_MAX)
def _position(member: identifiers.InstanceId, ring: int) -> int:
    return hashing.digest_names(member, str(ring))
