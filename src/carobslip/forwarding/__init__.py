"""Forwards requests from an entry directly to targets."""

from carobslip.forwarding._admission import Admission
from carobslip.forwarding._context import (
    FleetView,
    ForwardingRules,
    ProcessContext,
    SharedLimits,
)
from carobslip.forwarding._crash_watch import CrashWatch
from carobslip.forwarding._demand import Demand, Refusal
from carobslip.forwarding._events import EventSplitter, StreamEvent
from carobslip.forwarding._forwarder import Forwarder
from carobslip.forwarding._loads import LoadTracker
from carobslip.forwarding._permits import (
    Permit,
    PermitGate,
    PermitIssuer,
    PermitPort,
)
from carobslip.forwarding._ports import (
    Caller,
    CallProgress,
    ForwardCall,
    TargetAnswer,
    TargetLoad,
    TargetPort,
)
from carobslip.forwarding._rate_limits import NamedLimit, RateLimits
from carobslip.forwarding._repeat_budget import RepeatBounds, RepeatBudget
from carobslip.forwarding._request import AnswerHead, ForwardRequest, Headers
from carobslip.forwarding._slot_ports import (
    UNUSED,
    Assignment,
    SlotPort,
    SlotTrace,
    SlotUse,
)
from carobslip.forwarding._slot_source import BrokeredAdmission, SlotSource
from carobslip.forwarding._table import ForwardingIndex, choose_service

__all__ = [
    'Admission',
    'Assignment',
    'BrokeredAdmission',
    'AnswerHead',
    'CallProgress',
    'Caller',
    'CrashWatch',
    'Demand',
    'EventSplitter',
    'FleetView',
    'ForwardCall',
    'ForwardRequest',
    'Forwarder',
    'ForwardingIndex',
    'ForwardingRules',
    'Headers',
    'LoadTracker',
    'ProcessContext',
    'NamedLimit',
    'Permit',
    'PermitGate',
    'PermitIssuer',
    'PermitPort',
    'RateLimits',
    'Refusal',
    'RepeatBounds',
    'RepeatBudget',
    'SharedLimits',
    'SlotPort',
    'SlotSource',
    'SlotTrace',
    'SlotUse',
    'StreamEvent',
    'TargetAnswer',
    'TargetLoad',
    'TargetPort',
    'UNUSED',
    'choose_service',
]
