"""The published list of targets, and which of them may get new work."""

from carobslip.targets._records import (
    TargetChange,
    TargetListLost,
    TargetListReached,
    TargetListRestored,
    TargetListSource,
    TargetRecord,
    TargetSnapshot,
    TargetState,
    TargetUpdate,
)
from carobslip.targets._registry import TargetRegistry

__all__ = [
    'TargetChange',
    'TargetListLost',
    'TargetListReached',
    'TargetListRestored',
    'TargetListSource',
    'TargetRecord',
    'TargetRegistry',
    'TargetSnapshot',
    'TargetState',
    'TargetUpdate',
]
