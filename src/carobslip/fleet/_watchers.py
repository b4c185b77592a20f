"""Selects the instances that read the platform for their data centre."""

from collections.abc import Iterable
from typing import Final

from carobslip import directory, hashing, identifiers

_WATCHERS_PER_DATA_CENTRE: Final = 2


def is_watcher(
    own: directory.InstanceRecord,
    usable: Iterable[directory.InstanceRecord],
) -> bool:
    """Tells whether an instance watches the platform for its data centre.

    The first two in rendezvous order watch. Instances may disagree on which
    peers are usable; then more or fewer of them watch for a while, which is
    harmless.

    Args:
        own: This instance.
        usable: All instances that are presumed alive.
    """
    peers = {
        record.instance
        for record in usable
        if record.data_centre == own.data_centre
    }
    peers.add(own.instance)
    order = sorted(peers, key=_digest)
    return own.instance in order[:_WATCHERS_PER_DATA_CENTRE]


def _digest(instance: identifiers.InstanceId) -> int:
    return hashing.digest_names(instance)
