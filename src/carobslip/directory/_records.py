"""Records of the platform's instance list."""

import enum
from typing import Annotated

import msgspec

from carobslip import identifiers

_NAME_MAX_CHARS = 128

_Address = Annotated[str, msgspec.Meta(max_length=_NAME_MAX_CHARS)]


class Role(enum.Enum):
    """Which command an instance runs."""

    ENTRY = 'entry'
    GUARD = 'guard'


class PublishedState(enum.Enum):
    """Whether the platform keeps an instance or is about to stop it."""

    LIVE = 'live'
    LEAVING = 'leaving'


class InstanceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One instance of the system.

    Attributes:
        instance: Name from its settings.
        role: Entry or guard.
        data_centre: Where it runs.
        http_address: Where it accepts requests, as IP:PORT.
        control_address: Where it accepts control messages, as IP:PORT.
        state: Whether the platform keeps it or is about to stop it.
        service: Service of a guard's target.
        target: A guard's target.
        group: Lock-step group of a guard's engine.
        rank: The engine's rank in it.
    """

    instance: Annotated[
        identifiers.InstanceId,
        msgspec.Meta(min_length=1, max_length=_NAME_MAX_CHARS),
    ]
    role: Role
    data_centre: identifiers.DataCentreId
    http_address: _Address
    control_address: _Address
    state: PublishedState = PublishedState.LIVE
    service: identifiers.ServiceId | None = None
    target: identifiers.TargetId | None = None
    group: identifiers.GroupId | None = None
    rank: int | None = None


class InstanceList(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's lagging list of live and leaving instances."""

    instances: tuple[InstanceRecord, ...]
