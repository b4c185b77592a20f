"""Hands out the slots of a service's targets to the requests of all entries."""

from carobslip.slotbroker._broker import SlotBroker
from carobslip.slotbroker._cold_shares import ColdShares
from carobslip.slotbroker._pass_bound import GroupPass, PassFigures
from carobslip.slotbroker._ports import TargetPacing
from carobslip.slotbroker._target_pace import TargetPace
from carobslip.slotbroker._types import (
    EXCLUDED_MAX,
    SlotDemand,
    SlotGranted,
    SlotOutcome,
    SlotQueued,
    SlotRefused,
    SlotResult,
)

__all__ = [
    'EXCLUDED_MAX',
    'ColdShares',
    'GroupPass',
    'PassFigures',
    'SlotBroker',
    'SlotDemand',
    'SlotGranted',
    'SlotOutcome',
    'SlotQueued',
    'SlotRefused',
    'SlotResult',
    'TargetPace',
    'TargetPacing',
]
