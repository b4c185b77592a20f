"""Which instances read the platform on behalf of their data centre."""

from collections.abc import Iterable
from typing import Final

from carobslip import directory, hashing, identifiers

_WATCHERS_PER_DATA_CENTRE: Final = 2


def is_on_duty(
    own: directory.InstanceRecord,
    usable: Iterable[directory.InstanceRecord],
) -> bool:
    """Tells whether an instance watches the platform for its data centre.

    The first two in rendezvous order watch. Views of who is usable may
    differ; then more or fewer instances watch for a while, which is harmless.

    Args:
        own: This instance.
        usable: All instances that are believed alive.
    """
    peers = {
        record.instance
        for record in usable
        if record.data_centre == own.data_centre
    }
    peers.add(own.instance)
    order = sorted(peers, key=_place)
    return own.instance in order[:_WATCHERS_PER_DATA_CENTRE]


def _place(instance: identifiers.InstanceId) -> int:
    return hashing.digest_names(instance)
