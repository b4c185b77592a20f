"""The members that each process of a large fleet monitors."""

import collections

import pytest

from carobslip import identifiers, membership


def fleet_of(size):
    return [identifiers.InstanceId(f'node-{number}') for number in range(size)]


def reached_within(graph, start, steps):
    known = {start}
    for _step in range(steps):
        known |= {peer for member in known for peer in graph[member]}
    return known


@pytest.mark.parametrize('size', [1, 2, 9])
def test_small_fleet_monitors_everyone(size):
    members = fleet_of(size)
    for own in members:
        expected = set(members) - {own}
        assert membership.monitored_members(own, members) == expected


@pytest.mark.parametrize('size', [10, 60, 290, 800])
def test_each_member_has_few_peers_and_enough_monitors(size):
    members = fleet_of(size)
    graph = {own: membership.monitored_members(own, members) for own in members}
    monitors = collections.Counter(
        peer for monitored in graph.values() for peer in monitored
    )
    assert max(map(len, graph.values())) <= membership.RINGS
    # One member may be the successor on several rings.
    assert min(monitors[own] for own in members) >= 4
    assert max(monitors.values()) <= membership.RINGS


@pytest.mark.parametrize('size', [60, 290, 800])
def test_news_reach_a_large_fleet_in_few_steps(size):
    members = fleet_of(size)
    graph = {own: membership.monitored_members(own, members) for own in members}
    assert reached_within(graph, members[0], steps=6) == set(members)


def test_loss_of_a_third_of_the_fleet_leaves_the_rest_connected():
    members = fleet_of(290)
    alive = [name for number, name in enumerate(members) if number % 3]
    graph = {own: membership.monitored_members(own, alive) for own in alive}
    assert reached_within(graph, alive[0], steps=6) == set(alive)
