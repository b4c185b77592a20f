"""Accepts callers' requests, chooses guards and relays replies."""

from carobslip.entry._caller_port import Caller
from carobslip.entry._guard_port import (
    GuardLost,
    GuardNotReached,
    GuardPort,
    ReplyReader,
)
from carobslip.entry._requests import CallerRequest
from carobslip.entry._runner import Runner
from carobslip.entry._statuses import status_of
from carobslip.entry._trace import Trace, TraceStep, TraceStore

__all__ = [
    'Caller',
    'CallerRequest',
    'GuardLost',
    'GuardNotReached',
    'GuardPort',
    'ReplyReader',
    'Runner',
    'Trace',
    'TraceStep',
    'TraceStore',
    'status_of',
]
