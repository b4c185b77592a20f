"""Guards against streams that end inside an event and are passed on as complete."""

import pytest

from carobslip import verdicts
from tests.fakes import forwarding as fakes
from tests.fakes import virtual

WHOLE = b''.join(b'id: %d\ndata: x\n\n' % number for number in (1, 2))


def ending(*numbers, rest):
    """Returns a stream that ends in order after some events and ``rest``."""
    answer = fakes.events(*numbers)
    answer._parts += (rest,)
    return answer


# name: (path, answers, whether the caller gets a complete stream)
ENDS = {
    'inside an event, resumed': (
        '/note/x',
        [ending(1, rest=b'id: 2\nda'), fakes.events(2)],
        True,
    ),
    'inside the first event': (
        '/note/x',
        [ending(rest=b'id: 1\nda'), fakes.events(1, 2)],
        True,
    ),
    'after one line end': (
        '/note/x',
        [ending(1, rest=b'id: 2\ndata: x\n'), fakes.events(2)],
        True,
    ),
    'inside an event, twice': (
        '/note/x',
        [ending(1, rest=b'id: 2\nda'), ending(rest=b'id: 2\nd')],
        False,
    ),
    'inside an event, not resumable': (
        '/once/x',
        [ending(1, rest=b'id: 2\nda'), fakes.events(2)],
        False,
    ),
    'before the first event': (
        '/note/x',
        [ending(rest=b''), fakes.events(1, 2)],
        True,
    ),
    'before the first event, not resumable': (
        '/once/x',
        [ending(rest=b'')],
        False,
    ),
    'after whole events': ('/once/x', [fakes.events(1, 2)], True),
}


@pytest.mark.parametrize('name', ENDS)
def test_stream_that_ends_inside_an_event_is_not_complete(name):
    path, answers, is_whole = ENDS[name]

    async def scenario():
        entry = fakes.Entry(answers, held=fakes.table())
        outcome, caller = await entry.send(path)
        assert caller.is_whole is is_whole
        assert (outcome.verdict is verdicts.Verdict.RAN) is is_whole
        assert WHOLE.startswith(caller.body)
        if is_whole:
            assert caller.body == WHOLE

    virtual.run(scenario)
