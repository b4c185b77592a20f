"""Every fault at every step of serving, with one seed per cell."""

import pytest

from tests.matrix import faults, serving


@pytest.mark.parametrize('fault', faults.FAULTS)
@pytest.mark.parametrize('step', serving.STEPS)
def test_no_second_run_and_no_wrong_verdict(step, fault):
    serving.run_cell(step, fault)


#: Cells in which the naive version violates a guarantee, one per kind.
NAIVE_FAILURES = {
    'a second run after a lost reply': ('run', 'cut guard to entry'),
    'a second run elsewhere while the first hangs': ('run', 'target hangs'),
    'a second run for a key that was answered': ('replay', 'guard killed'),
}


@pytest.mark.parametrize('name', NAIVE_FAILURES)
def test_naive_version_violates_a_guarantee(name):
    step, fault = NAIVE_FAILURES[name]
    with pytest.raises(AssertionError):
        serving.run_cell(step, fault, with_naive=True)
