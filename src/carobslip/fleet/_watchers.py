"""Selects the instances that read the platform for their data centre."""

from collections.abc import Iterable, Sequence
from typing import Final

from carobslip import directory, hashing, identifiers

#: Instances of a data centre that watch the platform.
WATCHERS: Final = 2


def rank_readers(
    own: directory.InstanceRecord,
    usable: Iterable[directory.InstanceRecord],
) -> list[directory.InstanceRecord]:
    """Returns the readers of a data centre in rendezvous order.

    The first :data:`WATCHERS` of them watch the platform; the next ones read
    it if those before them cannot tell what it holds. Instances may disagree
    on which peers are usable; then more or fewer of them watch for a while.

    Args:
        own: This instance, which is always among them.
        usable: All readers that are presumed alive.
    """
    peers = {
        record.instance: record
        for record in usable
        if record.data_centre == own.data_centre
    }
    peers[own.instance] = own
    return sorted(peers.values(), key=_digest)


def is_watcher(
    own: identifiers.InstanceId,
    ranked: Sequence[directory.InstanceRecord],
) -> bool:
    """Tells whether an instance watches the platform for its data centre."""
    return any(record.instance == own for record in ranked[:WATCHERS])


def _digest(record: directory.InstanceRecord) -> int:
    return hashing.digest_names(record.instance)
