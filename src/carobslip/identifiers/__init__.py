"""Typed identifiers that messages and settings refer to."""

from carobslip.identifiers._names import (
    DataCentreId,
    GroupId,
    IdempotencyKey,
    Incarnation,
    InstanceId,
    ModelId,
    PromptPart,
    RequestId,
    ServiceId,
    TargetId,
    TeamId,
)
from carobslip.identifiers._time_ordered import (
    created_at_ms,
    new_key,
    new_request_id,
)

__all__ = [
    'DataCentreId',
    'GroupId',
    'IdempotencyKey',
    'Incarnation',
    'InstanceId',
    'ModelId',
    'PromptPart',
    'RequestId',
    'ServiceId',
    'TargetId',
    'TeamId',
    'created_at_ms',
    'new_key',
    'new_request_id',
]
