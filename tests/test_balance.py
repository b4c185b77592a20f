"""Tests that layouts are rebalanced within their bounds."""

import random

import pytest

from carobslip import expertmap


def initial_layout(ranks, sets, experts):
    ranks_of_set = tuple(
        tuple(expert for expert in range(experts) if expert % ranks == rank)
        for rank in range(ranks)
    )
    return tuple(ranks_of_set for _number in range(sets))


def skewed_load(generator, sets, experts):
    return [
        [generator.random() ** -1.2 for _expert in range(experts)]
        for _set in range(sets)
    ]


# name: (ranks, sets, experts per set, places per rank)
SIZES = {
    '8 ranks': (8, 6, 64, 11),
    '32 ranks': (32, 12, 128, 5),
}


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('name', SIZES)
def test_new_layouts_lose_no_expert_exceed_no_bound_and_reduce_skew(name, seed):
    ranks, sets, experts, places = SIZES[name]
    tokens = skewed_load(random.Random(seed), sets, experts)
    bounds = expertmap.BalanceBounds(places_per_rank=places)
    layout = initial_layout(ranks, sets, experts)
    skews = []
    for _switch in range(20):
        plan = expertmap.balance(layout, tokens, bounds)
        if plan is None:
            break
        skews.append(plan.skew_after)
        for after in plan.layout:
            held = [expert for rank in after for expert in rank]
            assert set(held) == set(range(experts))
            assert all(len(rank) <= places for rank in after)
        for rank in range(ranks):
            gained = sum(
                len(set(after[rank]) - set(before[rank]))
                for before, after in zip(layout, plan.layout, strict=True)
            )
            assert gained <= 1
        assert plan.skew_after < plan.skew_before
        layout = plan.layout
    assert skews[-1] < 0.75 * skews[0]


def test_even_load_causes_no_copies():
    layout = initial_layout(8, 6, 64)
    even = [[1.0] * 64 for _set in range(6)]
    bounds = expertmap.BalanceBounds(places_per_rank=11)
    assert expertmap.balance(layout, even, bounds) is None


def test_slow_rank_is_not_given_an_equal_share():
    layout = initial_layout(4, 1, 16)
    even = [[1.0] * 16]
    bounds = expertmap.BalanceBounds(places_per_rank=8)
    slowdowns = [3.0, 1.0, 1.0, 1.0]
    for _switch in range(6):
        plan = expertmap.balance(layout, even, bounds, slowdowns)
        if plan is None:
            break
        layout = plan.layout
    shares = dict.fromkeys(range(4), 0.0)
    for expert in range(16):
        holders = [rank for rank in range(4) if expert in layout[0][rank]]
        for rank in holders:
            shares[rank] += 1 / len(holders)
    assert shares[0] < 0.6 * max(shares.values())


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(
    ('ranks', 'sets', 'experts', 'places', 'copies', 'skew_max'),
    [(32, 12, 128, 5, 2, 1.4), (96, 16, 192, 3, 1, 1.6)],
)
def test_layout_of_a_large_group_reaches_its_target_skew(
    seed, ranks, sets, experts, places, copies, skew_max
):
    generator = random.Random(seed)
    tokens = [
        [generator.random() ** -0.5 for _expert in range(experts)]
        for _set in range(sets)
    ]
    bounds = expertmap.BalanceBounds(
        places_per_rank=places,
        copies_per_rank=copies,
    )
    layout = initial_layout(ranks, sets, experts)
    for _switch in range(4 // copies):
        plan = expertmap.balance(layout, tokens, bounds)
        layout = plan.layout
    assert plan.skew_after <= skew_max


@pytest.mark.parametrize(
    ('size', 'expert_copy_ms', 'new_experts_max', 'copies'),
    [
        (8, 147, 4, 1),
        (32, 36, 2, 2),
        (96, 18, 2, 1),
        (32, 18, 0, 1),
        (8, 0, 3, 3),
        (256, 500, 5, 1),
    ],
)
def test_copies_of_a_switch_fit_its_time_and_the_bound_of_the_engines(
    size, expert_copy_ms, new_experts_max, copies
):
    allowed = expertmap.copies_per_switch(
        size=size,
        expert_copy_ms=expert_copy_ms,
        new_experts_max=new_experts_max,
    )
    assert allowed == copies
