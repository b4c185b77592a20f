"""Mediates all access to a target: admission, deduplication, drain."""

from carobslip.guard._service import GuardService
from carobslip.guard._sink import ReplySink
from carobslip.guard._target_port import (
    Target,
    TargetAnswer,
    TargetCall,
    TargetLost,
    TargetNotReached,
)

__all__ = [
    'GuardService',
    'ReplySink',
    'Target',
    'TargetAnswer',
    'TargetCall',
    'TargetLost',
    'TargetNotReached',
]
