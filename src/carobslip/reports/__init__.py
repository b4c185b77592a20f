"""Service-level burn: counting at entries, and the report."""

from carobslip.reports._burn_counter import (
    WINDOWS_MIN,
    BurnCounter,
    BurnSeries,
    WindowCount,
)
from carobslip.reports._burn_page import render_page
from carobslip.reports._burn_report import (
    BurnReport,
    BurnRow,
    EntryCounts,
    Urgency,
    build_report,
)

__all__ = [
    'BurnCounter',
    'BurnReport',
    'BurnRow',
    'BurnSeries',
    'EntryCounts',
    'Urgency',
    'WINDOWS_MIN',
    'WindowCount',
    'build_report',
    'render_page',
]
