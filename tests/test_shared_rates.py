"""Rates that entries share while they start, stop and disagree.

No view of the others is right at all times, so the sum over all entries has to
keep to the bound of a target in any of them.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carobslip import forwarding
from tests.fakes import rate_fleet

#: 1.5 x 14 + 5 and 1.5 x 36 + 5 requests a second.
BOUNDS_RPS = (26.0, 59.0)
PLAY_S = 14


def play(fleet, plan, *, send=rate_fleet.Process.send, seconds=PLAY_S):
    """Plays changes, each a pair of seconds and a name of a method."""
    for at_s, change, number, length_s in plan:

        def happen(at_s=at_s, change=change, number=number, length_s=length_s):
            running = sorted(
                process.name
                for process in fleet.processes.values()
                if process.name in process.view
            )
            if len(running) < 2:
                return
            name = running[number % len(running)]
            if change in {'stop', 'kill'}:
                getattr(fleet, change)(name)
            elif change == 'freeze':
                fleet.freeze(name, 1000 * length_s)
            elif change == 'split' and not fleet.sides:
                part = 1 + number % (len(running) - 1)
                fleet.split(running[:part], 1000 * length_s)
            elif change == 'join':
                fleet.join(f'new-{at_s}-{number}')

        fleet.later(1000 * at_s, happen)
    fleet.run(seconds, send)
    return fleet


def plans(*changes):
    change = st.tuples(
        st.floats(3.0, 9.0),
        st.sampled_from(changes),
        st.integers(0, 99),
        st.floats(1.0, 5.0),
    )
    return st.lists(change, min_size=1, max_size=3)


@pytest.mark.parametrize('is_contended', [True, False])
@given(
    seed=st.integers(0, 10**6),
    entries=st.integers(2, 7),
    bound_rps=st.sampled_from(BOUNDS_RPS),
    plan=plans('stop', 'kill', 'join', 'freeze', 'split'),
)
@settings(max_examples=60, deadline=None, derandomize=True, database=None)
def test_sum_of_shares_at_a_cold_target_keeps_to_its_rate(
    is_contended, seed, entries, bound_rps, plan
):
    fleet = rate_fleet.Fleet(
        seed=seed,
        entries=entries,
        bound_rps=bound_rps,
        is_contended=is_contended,
    )
    play(fleet, plan)
    assert fleet.most_within(1000.0) <= bound_rps


# Without a broker the shares of those that stay grew while one still sent.
@pytest.mark.parametrize('change', ['stop', 'kill', 'freeze', 'join'])
@pytest.mark.parametrize('is_contended', [True, False])
@pytest.mark.parametrize('entries', [2, 3, 5])
def test_one_change_keeps_to_the_rate(entries, is_contended, change):
    for number in range(entries):
        fleet = rate_fleet.Fleet(
            seed=number,
            entries=entries,
            bound_rps=59.0,
            is_contended=is_contended,
        )
        play(fleet, [(4.0, change, number, 2.0)])
        assert fleet.most_within(1000.0) <= 59


@pytest.mark.parametrize('is_contended', [True, False])
def test_settled_fleet_uses_most_of_the_rate(is_contended):
    fleet = rate_fleet.Fleet(
        seed=1, entries=3, bound_rps=59.0, is_contended=is_contended
    )
    fleet.run(10, rate_fleet.Process.send)
    late = [one for one in fleet.moments_ms if one > fleet.clock.ms - 5000]
    assert len(late) >= 0.55 * 59 * 5


@given(
    seed=st.integers(0, 10**6),
    entries=st.integers(2, 7),
    rate_rps=st.sampled_from([1.0, 4.0, 20.0]),
    plan=plans('stop', 'kill', 'join'),
)
@settings(max_examples=60, deadline=None, derandomize=True, database=None)
def test_sum_of_permits_keeps_to_a_named_rate(seed, entries, rate_rps, plan):
    fleet = rate_fleet.Fleet(
        seed=seed, entries=entries, bound_rps=0.0, is_contended=False
    )

    def send(process):
        limit = forwarding.NamedLimit(
            rate_rps=rate_rps, named_ms=fleet.clock.ms
        )
        return process.send_by_permit(limit)

    play(fleet, plan, send=send)
    # The rule excuses machines that have been restarted.
    counted = fleet.most_within(4000.0, without=fleet.restarted)
    assert counted <= 1.5 * 4 * rate_rps + 5


# With one change at a time the requests of all entries are counted.
@pytest.mark.parametrize('change', ['stop', 'kill', 'join'])
@pytest.mark.parametrize('rate_rps', [1.0, 4.0, 20.0])
def test_one_change_keeps_to_a_named_rate(rate_rps, change):
    for number in range(5):
        fleet = rate_fleet.Fleet(
            seed=number, entries=5, bound_rps=0.0, is_contended=False
        )

        def send(process, clock=fleet.clock):
            limit = forwarding.NamedLimit(rate_rps=rate_rps, named_ms=clock.ms)
            return process.send_by_permit(limit)

        play(fleet, [(4.0, change, number, 2.0)], send=send)
        assert fleet.most_within(4000.0) <= 1.5 * 4 * rate_rps + 5
