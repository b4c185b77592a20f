"""Limits on what callers may use of a process; does no I/O."""

from carobslip.callerlimits._budget import ByteBudget, Holding, Use
from carobslip.callerlimits._capacity import Capacity, capacity_of
from carobslip.callerlimits._chunks import ChunkDecoder, MalformedBody
from carobslip.callerlimits._gate import ConnectionGate, Waiting
from carobslip.callerlimits._pace import ChunkAllowance, transfer_left_s
from carobslip.callerlimits._report import LimitReport

__all__ = (
    'ByteBudget',
    'Capacity',
    'ChunkAllowance',
    'ChunkDecoder',
    'ConnectionGate',
    'Holding',
    'LimitReport',
    'MalformedBody',
    'Use',
    'Waiting',
    'capacity_of',
    'transfer_left_s',
)
