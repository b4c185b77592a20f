"""Checks the age of keys against the horizon and the guard's record."""

import enum

import msgspec

from carobslip import configuration, control, identifiers


class KeyAge(enum.Enum):
    """Creation time of a key relative to the horizon."""

    CURRENT = 'current'
    EXPIRED = 'expired'
    IN_FUTURE = 'in-future'


def classify_key_age(
    key: str,
    *,
    wall_ms: int,
    policy: configuration.Policy,
) -> KeyAge:
    """Classifies a key by its creation time; without one it is current.

    Args:
        key: The caller's key.
        wall_ms: Unix time now, in milliseconds.
        policy: Provides the horizon and the bound on clock errors.
    """
    created_ms = identifiers.created_at_ms(key)
    if created_ms is None:
        return KeyAge.CURRENT
    if created_ms > wall_ms + policy.clock_error_ms:
        return KeyAge.IN_FUTURE
    if created_ms < wall_ms - policy.horizon_ms:
        return KeyAge.EXPIRED
    return KeyAge.CURRENT


class RecordCoverage(msgspec.Struct, frozen=True, kw_only=True):
    """The period that is covered by a guard's record of keys.

    Attributes:
        started_wall_ms: When the guard's record began, Unix time.
        keys_valid_from_ms: Set by operators: no key is older than this.
    """

    started_wall_ms: int
    keys_valid_from_ms: int | None

    def covers(
        self,
        key: control.KeyRef,
        *,
        wall_ms: int,
        policy: configuration.Policy,
    ) -> bool:
        """Tells whether the record would contain any earlier run of ``key``.

        Args:
            key: The key to check.
            wall_ms: Unix time now, in milliseconds.
            policy: Provides the horizon and the bound on clock errors.
        """
        not_before_ms = wall_ms - policy.horizon_ms
        created_ms = identifiers.created_at_ms(key.key)
        if created_ms is not None:
            not_before_ms = max(not_before_ms, created_ms)
        if self.keys_valid_from_ms is not None:
            not_before_ms = max(not_before_ms, self.keys_valid_from_ms)
        return self.started_wall_ms + policy.clock_error_ms < not_before_ms
