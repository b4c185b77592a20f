"""Target records published by the platform, and the port to read them."""

import enum
from collections.abc import AsyncIterator
from typing import Protocol

import msgspec

from carobslip import identifiers


class TargetState(enum.Enum):
    """State that a target reports."""

    READY = 'ready'
    DRAINING = 'draining'


class TargetRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One target as it registered itself.

    Attributes:
        target: Identifier of this start of the target.
        service: The service that it serves.
        address: Where it accepts calls, as IP:PORT.
        data_centre: Where it runs.
        slots: Requests that it processes concurrently.
        state: Whether it accepts new work.
        started_wall_ms: Unix time of its start.
        sequence: Counts its reports; higher ones are newer.
    """

    target: identifiers.TargetId
    service: identifiers.ServiceId
    address: str
    data_centre: identifiers.DataCentreId
    slots: int
    state: TargetState
    started_wall_ms: int = 0
    sequence: int = 0

    @property
    def report_order(self) -> tuple[int, int]:
        """Orders the reports of one target."""
        return self.started_wall_ms, self.sequence


class TargetSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The whole list, at one revision of its source."""

    records: tuple[TargetRecord, ...]
    revision: int


class TargetChange(msgspec.Struct, frozen=True, kw_only=True):
    """A changed entry; ``record`` is None when it names no usable target."""

    target: identifiers.TargetId
    record: TargetRecord | None
    revision: int


class TargetListLost(msgspec.Struct, frozen=True, kw_only=True):
    """The source did not answer; the list may be stale."""

    fault: str


class TargetListReached(msgspec.Struct, frozen=True, kw_only=True):
    """The source answers again after an outage."""

    revision: int


class TargetListRestored(msgspec.Struct, frozen=True, kw_only=True):
    """The source came back from an older copy; recent changes are lost."""

    revision: int


TargetUpdate = (
    TargetSnapshot
    | TargetChange
    | TargetListLost
    | TargetListReached
    | TargetListRestored
)


class TargetListSource(Protocol):
    """Follows the published list."""

    def follow(self) -> AsyncIterator[TargetUpdate]:
        """Yields a snapshot, then changes, forever."""
