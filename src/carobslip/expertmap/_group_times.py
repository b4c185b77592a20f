"""Periods and timeouts of a group's control messages, by group size."""

import functools
from typing import Final

import msgspec

#: Period of the reports of a group of up to _PERIOD_RANKS ranks. Larger groups
#: have a longer period, so that a coordinator gets at most the same number of
#: reports per second over its low-bandwidth link.
_PERIOD_MS: Final = 100.0
_PERIOD_RANKS: Final = 12
#: Periods between two load messages to entries.
_LOAD_PERIODS: Final = 2
#: Ranks of a group that report expert counts. Requests are spread evenly over
#: the ranks, so the counts of some of them show the popularity of all experts.
_COUNTING_RANKS: Final = 12
#: Shortest time between two switches, per rank: each switch costs a coordinator
#: some messages with every rank.
_SWITCH_MS_PER_RANK: Final = 35.0
#: Report periods, or load periods, within each time. A single lost message
#: changes no belief.
_PROBE_PERIODS: Final = 2.5
_FRESH_PERIODS: Final = 3.5
_RANK_TIMEOUT_PERIODS: Final = 5
_LOAD_VALID_PERIODS: Final = 2.5
_AVOID_PERIODS: Final = 2.5
#: Lower limits, for small groups with short periods.
_PROBE_MIN_MS: Final = 250.0
_FRESH_MIN_MS: Final = 500.0
_RANK_TIMEOUT_MIN_MS: Final = 1000.0
_LOAD_VALID_MIN_MS: Final = 1500.0
_AVOID_MIN_MS: Final = 500.0
#: Renewals that must fit into the time for which a report or load counts.
_REPORT_RENEWALS_MIN: Final = 3
_LOAD_RENEWALS_MIN: Final = 2


class GroupTimes(msgspec.Struct, frozen=True, kw_only=True):
    """Times that depend on each other.

    Attributes:
        report_period_ms: Time between two reports of a rank.
        load_period_ms: Time between two load messages to an entry.
        probe_after_ms: A rank that is silent for this long is probed directly.
        report_fresh_ms: A rank counts as healthy for this long after a report.
        rank_timeout_ms: A group counts as broken once a rank is silent for this
            long.
        load_valid_ms: Entries use a load for this long.
        avoid_ms: Entries avoid a stalled group for this long after a load
            message that reports the stall.
        switch_interval_ms: Shortest time between the starts of two switches.
        counting_interval: Every rank whose number is a multiple of this reports
            expert counts.
    """

    report_period_ms: float
    load_period_ms: float
    probe_after_ms: float
    report_fresh_ms: float
    rank_timeout_ms: float
    load_valid_ms: float
    avoid_ms: float
    switch_interval_ms: float
    counting_interval: int

    def __post_init__(self) -> None:
        shortest_ms = min(self.load_valid_ms, self.avoid_ms)
        if shortest_ms < _LOAD_RENEWALS_MIN * self.load_period_ms:
            raise ValueError('loads expire before they are renewed')
        period_ms = self.report_period_ms
        if self.report_fresh_ms < _REPORT_RENEWALS_MIN * period_ms:
            raise ValueError('reports expire before they are renewed')
        is_probed_late = 2 * period_ms < self.probe_after_ms
        is_lost_late = self.probe_after_ms < self.report_fresh_ms
        is_broken_late = self.report_fresh_ms < self.rank_timeout_ms
        if not (is_probed_late and is_lost_late and is_broken_late):
            raise ValueError('silent ranks are not first probed, then lost')


@functools.cache
def group_times(size: int) -> GroupTimes:
    """Returns the times of a group.

    Args:
        size: Ranks in the group.
    """
    period_ms = _PERIOD_MS * max(1.0, size / _PERIOD_RANKS)
    load_period_ms = _LOAD_PERIODS * period_ms
    return GroupTimes(
        report_period_ms=period_ms,
        load_period_ms=load_period_ms,
        probe_after_ms=max(_PROBE_MIN_MS, _PROBE_PERIODS * period_ms),
        report_fresh_ms=max(_FRESH_MIN_MS, _FRESH_PERIODS * period_ms),
        rank_timeout_ms=max(
            _RANK_TIMEOUT_MIN_MS,
            _RANK_TIMEOUT_PERIODS * period_ms,
        ),
        load_valid_ms=max(
            _LOAD_VALID_MIN_MS,
            _LOAD_VALID_PERIODS * load_period_ms,
        ),
        avoid_ms=max(_AVOID_MIN_MS, _AVOID_PERIODS * load_period_ms),
        switch_interval_ms=_SWITCH_MS_PER_RANK * size,
        counting_interval=max(1, size // _COUNTING_RANKS),
    )
