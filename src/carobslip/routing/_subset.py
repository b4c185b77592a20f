"""Selects a bounded, stable subset of targets for each entry."""

from collections.abc import Sequence

from carobslip import directory, hashing, identifiers


def choose_subset(
    entry: identifiers.InstanceId,
    guards: Sequence[directory.InstanceRecord],
    size: int,
) -> list[directory.InstanceRecord]:
    """Returns the guards that an entry sends to, by rendezvous hashing.

    Adding or removing one target changes at most one member of each subset.

    Args:
        entry: The entry instance.
        guards: All guards of the service.
        size: Maximum length of the subset.
    """
    if len(guards) <= size:
        return list(guards)
    return sorted(
        guards,
        key=lambda guard: hashing.digest_names(entry, guard.target or ''),
    )[:size]
