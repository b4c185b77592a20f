"""Exceptions from the fleet-wide defaults, each with a written reason."""

import datetime

import msgspec

from carobslip import identifiers
from carobslip.configuration import _policy

_REASON_MIN_CHARS = 8


class Scope(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Selector of an exception, or the attributes of a request.

    A None field of an exception's scope matches any value.
    """

    service: identifiers.ServiceId | None = None
    team: identifiers.TeamId | None = None
    data_centre: identifiers.DataCentreId | None = None
    target: identifiers.TargetId | None = None
    model: identifiers.ModelId | None = None

    def covers(self, other: 'Scope') -> bool:
        """Returns whether every set field has the same value in ``other``.

        >>> Scope(team='desk').covers(Scope(team='desk', service='booking'))
        True
        >>> Scope(team='desk').covers(Scope(team='drivers'))
        False
        """
        pairs = zip(
            msgspec.structs.astuple(self),
            msgspec.structs.astuple(other),
            strict=True,
        )
        return all(
            wanted is None or wanted == actual for wanted, actual in pairs
        )


class PolicyException(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    rename={'override': 'set'},
):
    """One override of the defaults.

    Attributes:
        scope: Which requests or targets it applies to; not empty.
        reason: Why it exists, for the next operator.
        override: The values that differ.
        ends_at: When it stops applying; None for no end.
    """

    scope: Scope
    reason: str
    override: _policy.PolicyOverride  # type: ignore[valid-type]
    ends_at: datetime.datetime | None = None

    def __post_init__(self) -> None:
        if self.scope == Scope():
            raise ValueError('scope is empty; change the defaults instead')
        require_reason(self.reason)
        if self.ends_at is not None and self.ends_at.tzinfo is None:
            raise ValueError('ends_at has no time zone; add Z or an offset')

    def is_in_force(self, wall_ms: int) -> bool:
        """Returns whether the exception applies at Unix time ``wall_ms``."""
        return self.ends_at is None or self.ends_at.timestamp() * 1000 > wall_ms


def require_reason(reason: str) -> None:
    """Raises ValueError if ``reason`` is too short to explain anything."""
    if len(reason.strip()) < _REASON_MIN_CHARS:
        raise ValueError(
            f'reason {reason!r} is shorter than {_REASON_MIN_CHARS} characters',
        )
