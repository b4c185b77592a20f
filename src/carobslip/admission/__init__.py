"""Admission at a target: concurrency limit, queueing and early refusal."""

from carobslip.admission._fair_queue import FairQueue
from carobslip.admission._gate import Gate, GateRefused, Ticket
from carobslip.admission._limiter import Limiter, LimiterSettings

__all__ = [
    'FairQueue',
    'Gate',
    'GateRefused',
    'Limiter',
    'LimiterSettings',
    'Ticket',
]
