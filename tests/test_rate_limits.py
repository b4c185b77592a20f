"""Rates that targets name in their answers."""

import pytest

from carobslip import forwarding, observability
from tests.fakes import forwarding as fakes
from tests.fakes import virtual

TARGET = 'drafts-0'

# name: (values in the answer, rate)
VALUES = {
    'none': ((), None),
    'decimal': (('1.25',), 1.25),
    'whole, with spaces': ((' 3 ',), 3.0),
    'zero': (('0',), 0.0),
    'nonsense': (('soon',), None),
    'empty': (('',), None),
    'negative': (('-1',), None),
    'not a number': (('nan',), None),
    'infinite': (('inf',), None),
    'two, the lower one holds': (('4', '2.5'), 2.5),
    'two, one is nonsense': (('x', '2.5'), 2.5),
    'very long': (('9' * 10_000,), None),
}


@pytest.mark.parametrize('name', VALUES)
def test_rate_is_read_from_answers(name):
    named, rate_rps = VALUES[name]

    async def scenario():
        answer = fakes.FakeAnswer(rate_limits=named)
        entry = fakes.Entry([answer], held=fakes.table(), count=1)
        _outcome, caller = await entry.send('/note/x')
        assert caller.is_whole
        known = entry.forwarder.admission.permits.limits.find(TARGET)
        assert (None if known is None else known.rate_rps) == rate_rps

    virtual.run(scenario)


class Clock:
    def __init__(self):
        self.ms = 0.0

    def now_ms(self):
        return self.ms


def limits_after(*answers):
    """Returns what is known after answers (named, sent, arrived, success)."""
    clock = Clock()
    limits = forwarding.RateLimits(clock=clock, log=observability.EventLog())
    for named, sent_ms, arrived_ms, is_success in answers:
        clock.ms = arrived_ms
        limits.note_answer(
            TARGET, named, started_ms=sent_ms, is_success=is_success
        )
    known = limits.find(TARGET)
    return None if known is None else known.rate_rps


NAMED = (('2',), 0, 100, True)

# name: (answers, rate that is known then)
SEQUENCES = {
    'another rate': ([NAMED, (('3',), 200, 300, True)], 3.0),
    'an answer without it': ([NAMED, ((), 200, 300, True)], None),
    'an answer without it, sent before': ([NAMED, ((), 50, 300, True)], 2.0),
    'a failure without it': ([NAMED, ((), 200, 300, False)], 2.0),
    'nonsense': ([NAMED, (('x',), 200, 300, True)], 2.0),
    'named by a failure': ([(('2',), 0, 100, False)], 2.0),
}


@pytest.mark.parametrize('name', SEQUENCES)
def test_rate_holds_for_as_long_as_answers_name_it(name):
    answers, rate_rps = SEQUENCES[name]
    assert limits_after(*answers) == rate_rps


def test_nothing_is_kept_of_targets_that_are_gone():
    async def scenario():
        answer = fakes.FakeAnswer(rate_limits=('0.5',))
        entry = fakes.Entry([answer], held=fakes.table(), count=1)
        await entry.send('/note/x')
        permits = entry.forwarder.admission.permits
        assert not await permits.may_send(TARGET)
        assert permits.is_blocked(TARGET)
        permits.drop_unlisted([])
        assert permits.limits.find(TARGET) is None
        assert not permits._blocked_until_ms

    virtual.run(scenario)
