"""What the next target may add to a stream that broke off after it had begun."""

import pytest

from carobslip import verdicts
from tests.fakes import forwarding as fakes
from tests.fakes import virtual

BEGUN = b'id: 1\ndata: x\n\nid: 2\ndata: x\n\n'


def stream(*parts, status=200):
    return fakes.FakeAnswer(status=status, parts=parts, is_event_stream=True)


# name: answer of the next target, which must add nothing to the stream
FOREIGN = {
    'error as JSON': fakes.FakeAnswer(status=500, parts=(b'{"error": 1}',)),
    'error as a stream': stream(b'id: 3\ndata: error\n\n', status=500),
    'error at the gateway': fakes.FakeAnswer(status=502, parts=(b'bad',)),
    'refusal': fakes.FakeAnswer(status=503, has_not_run=True),
    'refusal as a stream': fakes.FakeAnswer(
        status=503,
        has_not_run=True,
        is_event_stream=True,
        parts=(b'id: 3\ndata: x\n\n',),
    ),
    'another target': fakes.FakeAnswer(status=421, is_other_target=True),
    'success that is no stream': fakes.FakeAnswer(),
    'unnumbered event': stream(b'data: error\n\n'),
    'unnumbered event before the next': stream(
        b'data: error\n\n', b'id: 3\ndata: x\n\n'
    ),
    'head of an error': stream(
        b'HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror'
    ),
    'stream that begins again': stream(
        *(b'id: %d\ndata: x\n\n' % number for number in (1, 2, 3))
    ),
    'stream that repeats the last event': stream(
        b'id: 2\ndata: x\n\n', b'id: 3\ndata: x\n\n'
    ),
    'stream with a gap': stream(b'id: 4\ndata: x\n\n'),
}


def numbered(*numbers):
    return b''.join(b'id: %d\ndata: x\n\n' % number for number in numbers)


@pytest.mark.parametrize('size', [1, 2, 70])
def test_events_before_a_gap_in_one_part_reach_the_caller(size):
    before = numbered(*range(1, size + 1))
    after = numbered(size + 1)

    async def scenario():
        entry = fakes.Entry(
            [stream(before + numbered(size + 2)), stream(after)],
            held=fakes.table(),
        )
        _outcome, caller = await entry.send('/note/x')
        assert caller.body == before + after
        assert caller.is_whole

    virtual.run(scenario)


@pytest.mark.parametrize('name', FOREIGN)
def test_only_a_continuation_is_added_to_a_stream_that_has_begun(name):
    async def scenario():
        entry = fakes.Entry(
            [fakes.broken_events(1, 2), FOREIGN[name], *[FOREIGN[name]] * 3],
            held=fakes.table(),
        )
        outcome, caller = await entry.send('/note/x')
        assert caller.body == BEGUN
        assert not caller.is_whole
        assert outcome.verdict is verdicts.Verdict.MAY_HAVE_RUN

    virtual.run(scenario)


NEXT = b'id: 3\ndata: x\n\n'

# name: (answer of the next target, what it adds to the stream)
CONTINUATIONS = {
    'next event': (stream(NEXT), NEXT),
    'comment first': (stream(b': alive\n\n', NEXT), b': alive\n\n' + NEXT),
    'in pieces': (stream(b'id: 3\nda', b'ta: x\n', b'\n'), NEXT),
    'unnumbered event later': (
        stream(NEXT, b'data: y\n\n'),
        NEXT + b'data: y\n\n',
    ),
    'end of a stream that broke off after its last event': (stream(), b''),
}


@pytest.mark.parametrize('name', CONTINUATIONS)
def test_continuation_of_a_stream_ends_as_complete(name):
    answer, added = CONTINUATIONS[name]

    async def scenario():
        entry = fakes.Entry(
            [fakes.broken_events(1, 2), answer],
            held=fakes.table(),
        )
        outcome, caller = await entry.send('/note/x')
        assert caller.body == BEGUN + added
        assert caller.is_whole
        assert outcome.verdict is verdicts.Verdict.RAN

    virtual.run(scenario)
