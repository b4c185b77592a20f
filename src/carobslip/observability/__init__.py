"""Numbered log events and metrics."""

from carobslip.observability._events import Event
from carobslip.observability._log import (
    EventLog,
    LogFormat,
    configure_logging,
    log_to_standard_output,
)
from carobslip.observability._metrics import (
    Metrics,
    NoMetrics,
    StatsdMetrics,
)
from carobslip.observability._registry import MetricsBook

__all__ = [
    'Event',
    'EventLog',
    'LogFormat',
    'Metrics',
    'MetricsBook',
    'NoMetrics',
    'StatsdMetrics',
    'configure_logging',
    'log_to_standard_output',
]
