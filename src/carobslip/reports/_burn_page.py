"""The burn report as one self-contained HTML page."""

import html
from typing import Final

from carobslip.reports import _burn_counter, _burn_report

_BAR_MAX_PX: Final = 160
_RATE_MAX: Final = 20.0
_STYLE: Final = (
    'body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}'
    'td,th{padding:4px 10px;border-bottom:1px solid #ccc;text-align:left}'
    '.now{background:#fdd}.soon{background:#ffd}'
)


def render_page(report: _burn_report.BurnReport) -> str:
    """Returns the page, which loads no external resources."""
    windows = ''.join(
        f'<th>burn {minutes} min</th>' for minutes in _burn_counter.WINDOWS_MIN
    )
    rows = ''.join(_render_row(row) for row in report.rows)
    missing = ''.join(
        f'<li>{html.escape(address)}: {html.escape(fault)}</li>'
        for address, fault in report.unreachable.items()
    )
    return (
        '<!doctype html><meta charset="utf-8"><title>Service-level burn'
        f'</title><style>{_STYLE}</style><h1>Service-level burn</h1>'
        f'<p>{len(report.asked)} entries answered.</p>'
        f'<p>Not asked:</p><ul>{missing or "<li>none</li>"}</ul>'
        '<table><tr><th>service</th><th>team</th><th>data centre</th>'
        '<th>objective</th><th>good</th><th>bad</th><th>budget spent</th>'
        f'{windows}</tr>{rows}</table>'
    )


def _render_row(row: _burn_report.BurnRow) -> str:
    names = (row.service, row.team, row.data_centre)
    cells = ''.join(f'<td>{html.escape(name)}</td>' for name in names)
    bars = ''.join(
        f'<td>{_render_bar(row.burn_by_window.get(minutes, 0.0))}</td>'
        for minutes in _burn_counter.WINDOWS_MIN
    )
    return (
        f'<tr class="{row.urgency.value}">{cells}<td>{row.good_ratio:.4g}</td>'
        f'<td>{row.good}</td><td>{row.bad}</td>'
        f'<td>{row.budget_spent:.0%}</td>{bars}</tr>'
    )


def _render_bar(rate: float) -> str:
    width = round(min(rate, _RATE_MAX) / _RATE_MAX * _BAR_MAX_PX)
    return (
        f'<svg width="{_BAR_MAX_PX}" height="12"><rect width="{width}" '
        f'height="12" fill="#c40"/></svg> {rate:.1f}'
    )
