"""Sums the counts of all entries and computes burn rates."""

import enum
from collections.abc import Mapping, Sequence
from typing import Final

import msgspec

from carobslip.reports import _burn_counter

#: At this rate a budget of 30 days is spent within two days.
_FAST_BURN: Final = 14.4
#: At this rate a budget of 30 days is spent within five days.
_SLOW_BURN: Final = 6.0


class Urgency(enum.Enum):
    """How soon an operator should act."""

    NONE = 'none'
    SOON = 'soon'
    NOW = 'now'


class BurnRow(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the report.

    Attributes:
        service: The service.
        team: The team that sent the requests.
        data_centre: Data centre of the entries that accepted them.
        good_ratio: The objective.
        good: Good requests of the longest window.
        bad: Bad requests of the longest window.
        budget_spent: Share of the longest window's error budget that is used.
        burn_by_window: Burn rate by window in minutes; 1.0 spends the budget
            exactly over its period.
        urgency: NOW when the 5 and the 60 minute rates are both fast, SOON
            when the 30 and the 360 minute rates are both slow burns or more.
    """

    service: str
    team: str
    data_centre: str
    good_ratio: float
    good: int
    bad: int
    budget_spent: float
    burn_by_window: dict[int, float]
    urgency: Urgency


class BurnReport(msgspec.Struct, frozen=True, kw_only=True):
    """The whole report.

    Attributes:
        rows: Lines, the most urgent first.
        asked: Instances that answered.
        unreachable: Instances that could not be queried, with the fault.
    """

    rows: list[BurnRow]
    asked: list[str]
    unreachable: dict[str, str]


class EntryCounts(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of one entry to a query for its counts."""

    instance: str
    data_centre: str
    series: list[_burn_counter.BurnSeries]


def build_report(
    answers: Sequence[EntryCounts],
    unreachable: Mapping[str, str],
) -> BurnReport:
    """Builds the report over all entries that answered.

    Args:
        answers: Counts by entry.
        unreachable: Faults by address of the entries that did not answer.
    """
    merged: dict[
        tuple[str, str, str],
        tuple[float, dict[int, tuple[int, int]]],
    ] = {}
    for answer in answers:
        for series in answer.series:
            row_key = (series.service, series.team, answer.data_centre)
            _ratio, windows = merged.setdefault(
                row_key, (series.good_ratio, {})
            )
            _add_counts(windows, series.windows)
    rows = [
        _build_row(row_key, good_ratio, windows)
        for row_key, (good_ratio, windows) in merged.items()
    ]
    rows.sort(
        key=lambda row: (-_urgency_rank(row), -row.budget_spent, row.service)
    )
    return BurnReport(
        rows=rows,
        asked=[answer.instance for answer in answers],
        unreachable=dict(unreachable),
    )


def _add_counts(
    windows: dict[int, tuple[int, int]],
    counts: Sequence[_burn_counter.WindowCount],
) -> None:
    for count in counts:
        good, bad = windows.get(count.minutes, (0, 0))
        windows[count.minutes] = (good + count.good, bad + count.bad)


def _build_row(
    row_key: tuple[str, str, str],
    good_ratio: float,
    windows: dict[int, tuple[int, int]],
) -> BurnRow:
    burn = {
        minutes: _burn_rate(good, bad, good_ratio)
        for minutes, (good, bad) in windows.items()
    }
    longest = max(windows)
    service, team, data_centre = row_key
    return BurnRow(
        service=service,
        team=team,
        data_centre=data_centre,
        good_ratio=good_ratio,
        good=windows[longest][0],
        bad=windows[longest][1],
        budget_spent=burn[longest],
        burn_by_window=burn,
        urgency=_urgency_of(burn),
    )


def _burn_rate(good: int, bad: int, good_ratio: float) -> float:
    """Returns the bad share relative to the allowed share.

    >>> round(_burn_rate(98, 2, 0.99), 6)
    2.0
    """
    if not bad:
        return 0.0
    return bad / (good + bad) / (1 - good_ratio)


def _urgency_of(burn: Mapping[int, float]) -> Urgency:
    short_fast, short_slow, long_fast, long_slow = _burn_counter.WINDOWS_MIN
    if min(burn[short_fast], burn[long_fast]) >= _FAST_BURN:
        return Urgency.NOW
    if min(burn[short_slow], burn[long_slow]) >= _SLOW_BURN:
        return Urgency.SOON
    return Urgency.NONE


def _urgency_rank(row: BurnRow) -> int:
    return list(Urgency).index(row.urgency)
