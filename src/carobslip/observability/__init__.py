"""Numbered log events and metrics."""

from carobslip.observability._events import Event
from carobslip.observability._log import (
    EventLog,
    LogFormat,
    configure_logging,
)
from carobslip.observability._metrics import (
    Metrics,
    NoMetrics,
    StatsdMetrics,
)

__all__ = [
    'Event',
    'EventLog',
    'LogFormat',
    'Metrics',
    'NoMetrics',
    'StatsdMetrics',
    'configure_logging',
]
