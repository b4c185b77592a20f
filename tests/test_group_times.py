"""Times of a group's messages fit each other at every size."""

import msgspec
import pytest

from carobslip import expertmap

SIZES = range(1, 257)


@pytest.mark.parametrize('size', SIZES)
def test_belief_outlives_the_loss_of_one_message(size):
    times = expertmap.group_times(size)
    assert times.report_fresh_ms >= 3 * times.report_period_ms
    assert times.probe_after_ms >= 2 * times.report_period_ms
    assert times.rank_timeout_ms > times.report_fresh_ms
    assert times.load_valid_ms >= 2 * times.load_period_ms
    assert times.avoid_ms >= 2 * times.load_period_ms


@pytest.mark.parametrize('size', SIZES)
def test_some_ranks_report_counts(size):
    interval = expertmap.group_times(size).counting_interval
    counting = [rank for rank in range(size) if rank % interval == 0]
    assert min(size, 12) <= len(counting) <= 24


def test_coordinator_gets_no_more_reports_per_second_as_a_group_grows():
    for size in SIZES:
        period_ms = expertmap.group_times(size).report_period_ms
        assert size * 1000 / period_ms <= 120.001


@pytest.mark.parametrize(
    'change',
    [
        {'report_fresh_ms': 200},
        {'probe_after_ms': 150},
        {'probe_after_ms': 600},
        {'rank_timeout_ms': 400},
        {'load_valid_ms': 300},
        {'avoid_ms': 300},
    ],
    ids=str,
)
def test_contradicting_times_are_refused(change):
    times = expertmap.group_times(8)
    with pytest.raises(ValueError, match=r'expire|probed'):
        msgspec.structs.replace(times, **change)
