"""Derives the limits from the memory and descriptors of an instance."""

from typing import Final

import msgspec

#: Memory that a process takes without callers, with a large fleet.
_BASE_MB: Final = 96
_BYTES_PER_MB: Final = 1_048_576
#: The budget counts payload. Objects, copies while a body is joined, buffers of
#: the event loop, and memory that the allocator keeps take more than it.
_OVERHEAD_FACTOR: Final = 2.5
#: Smallest part of the memory that callers get if there is little.
_LEAST_SHARE: Final = 0.125
#: Descriptors beside those of callers and targets: store, peers, log, sockets.
_OWN_DESCRIPTORS: Final = 32
#: Share of the connections that one source address may hold. All callers of a
#: deployment may come from one address.
_SOURCE_SHARE: Final = 0.75
#: The kernel accepts this part of the descriptors at once, before a connection
#: can be counted.
_BACKLOG_SHARE: Final = 0.125
_BACKLOG_MAX: Final = 128
_BACKLOG_MIN: Final = 16


class Capacity(msgspec.Struct, frozen=True, kw_only=True):
    """What callers may use of a process.

    Attributes:
        bytes_max: Bytes of heads, bodies and waiting answers together.
        connections_max: Open connections; as many descriptors remain for
            targets, peers and the store.
        source_connections_max: Open connections of one source address.
        backlog: Connections of a listening socket that are not accepted yet.
    """

    bytes_max: int
    connections_max: int
    source_connections_max: int
    backlog: int


def capacity_of(*, memory_mb: float, descriptors: int) -> Capacity:
    """Returns the limits of an instance.

    >>> capacity_of(memory_mb=200, descriptors=4100).connections_max
    2018
    """
    callers_mb = max(
        (memory_mb - _BASE_MB) / _OVERHEAD_FACTOR,
        memory_mb * _LEAST_SHARE,
    )
    connections_max = max(1, descriptors // 2 - _OWN_DESCRIPTORS)
    backlog = int(descriptors * _BACKLOG_SHARE)
    return Capacity(
        bytes_max=int(callers_mb * _BYTES_PER_MB),
        connections_max=connections_max,
        source_connections_max=max(1, int(connections_max * _SOURCE_SHARE)),
        backlog=min(_BACKLOG_MAX, max(_BACKLOG_MIN, backlog)),
    )
