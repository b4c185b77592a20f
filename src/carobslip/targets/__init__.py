"""The published list of targets, and which of them may get new work."""

from carobslip.targets._book import TargetBook
from carobslip.targets._records import (
    TargetChange,
    TargetListLost,
    TargetListReached,
    TargetListSource,
    TargetRecord,
    TargetSnapshot,
    TargetState,
    TargetUpdate,
)

__all__ = [
    'TargetBook',
    'TargetChange',
    'TargetListLost',
    'TargetListReached',
    'TargetListSource',
    'TargetRecord',
    'TargetSnapshot',
    'TargetState',
    'TargetUpdate',
]
