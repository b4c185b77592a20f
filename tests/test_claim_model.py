"""Exhaustive search of the claim protocol; each rule is necessary."""

import pytest

from tests.models import claims

#: Rounds that each guard may open, and the total of replacements.
SPACES = {
    'three guards, one round each, two replaced': ((1, 1, 1), 2),
    'three guards, a second round, two replaced': ((2, 1, 0), 2),
    'three guards, two with a second round': ((2, 2, 0), 0),
    'four guards, two claim, one replaced': ((1, 1, 0, 0), 1),
}


@pytest.mark.parametrize('name', SPACES)
def test_no_state_has_two_runs(name):
    rounds_max, replaced_max = SPACES[name]
    search = claims.Search(
        claims.Rules(), rounds_max=rounds_max, replaced_max=replaced_max
    )
    assert not search.find_double_run()
    assert search.runs_seen == 1
    assert search.states > 5000


@pytest.mark.parametrize('rule', claims.rule_names())
def test_omitting_a_rule_allows_two_runs(rule):
    search = claims.Search(
        claims.Rules(**{rule: False}), rounds_max=(2, 1, 0), replaced_max=1
    )
    assert search.find_double_run()
