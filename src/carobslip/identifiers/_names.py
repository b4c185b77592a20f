"""Distinct types for identifiers that share a representation."""

from typing import NewType

#: One process of the system, named in its settings.
InstanceId = NewType('InstanceId', str)
#: One start of one process: Unix time of the start, in microseconds.
Incarnation = NewType('Incarnation', int)
#: A failure domain that operators take out of service and restore as a whole.
DataCentreId = NewType('DataCentreId', str)
#: A customer whose requests share limits and weight.
TeamId = NewType('TeamId', str)
#: One back end; it keeps its identifier when its process is replaced.
TargetId = NewType('TargetId', str)
#: A group of targets that serve the same kind of request.
ServiceId = NewType('ServiceId', str)
#: Engines that run in lock-step on one expert map.
GroupId = NewType('GroupId', str)
#: A model that callers name in a completion request.
ModelId = NewType('ModelId', str)
#: One request as a caller sees it.
RequestId = NewType('RequestId', str)
#: A part of a prompt, as callers name it; requests share parts.
PromptPart = NewType('PromptPart', str)
#: A caller's key for work that may run at most once, unique within its team.
IdempotencyKey = NewType('IdempotencyKey', str)
