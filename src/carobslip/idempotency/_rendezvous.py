"""Rendezvous hashing: every process computes the same target order."""

from collections.abc import Iterable, Sequence

from carobslip import control, hashing, identifiers


def order_targets(
    key: control.KeyRef,
    targets: Iterable[identifiers.TargetId],
) -> Sequence[identifiers.TargetId]:
    """Returns the targets in their order of precedence for ``key``.

    Removing a target leaves the order of the others unchanged.
    """
    return sorted(
        targets,
        key=lambda target: hashing.digest_names(key.team, key.key, target),
    )


def view_digest(targets: Iterable[identifiers.TargetId]) -> int:
    """Returns a digest of a member list, independent of its order."""
    return hashing.digest_names(*sorted(targets))
