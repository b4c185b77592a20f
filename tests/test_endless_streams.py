"""Streams without end take no turn from other requests, and are given up."""

import asyncio

import pytest

from carobslip import forwarding, verdicts
from tests.fakes import forwarding as fakes
from tests.fakes import virtual

PART_BYTES = 16_384
#: What a target may send after its last new event, and a part in transit.
SURPLUS_MAX_BYTES = 1_048_576 + 2 * PART_BYTES
FIRST = b'id: 1\ndata: x\n\n'

# name: what a target repeats without end after its first event
ENDLESS = {
    'empty lines': b'\n',
    'empty lines with returns': b'\r\n',
    'comments': b':\n\n',
    'events without a number': b'data: x\n\n',
    'fields without meaning': b'a\n\n',
    'the same event': FIRST,
    'events of another stream': b'id: 0\n\n',
    'half of an event': b'data: x\n',
}


class EndlessAnswer(fakes.FakeAnswer):
    """A stream that goes on without end, as fast as it is read."""

    def __init__(self, repeated):
        super().__init__(is_event_stream=True)
        self._part = repeated * (PART_BYTES // len(repeated))
        self.sent_bytes = 0

    async def chunks(self):
        yield FIRST
        while True:
            self.sent_bytes += len(self._part)
            yield self._part


@pytest.mark.parametrize('name', ENDLESS)
def test_stream_without_new_events_is_given_up_within_a_bound(name):
    async def scenario():
        endless = EndlessAnswer(ENDLESS[name])
        entry = fakes.Entry([endless], held=fakes.table())
        outcome, caller = await entry.send('/once/x')
        assert outcome.verdict is verdicts.Verdict.MAY_HAVE_RUN
        assert not caller.is_whole
        assert caller.body.startswith(FIRST)
        assert endless.sent_bytes <= SURPLUS_MAX_BYTES

    virtual.run(scenario)


class CountedSleeps:
    """Counts how often other tasks get a turn."""

    def __init__(self):
        self.turns = 0

    async def run(self):
        while True:
            await asyncio.sleep(0.001)
            self.turns += 1


@pytest.mark.parametrize('size', [1, 3, 9])
def test_events_of_one_part_leave_turns_to_other_requests(size):
    async def scenario():
        count = 4000
        part = b''.join(
            b'id: %d\n%b\n' % (number, b'data: x\n' * size)
            for number in range(1, count + 1)
        )
        entry = fakes.Entry(
            [fakes.FakeAnswer(parts=(part,), is_event_stream=True)],
            held=fakes.table(),
        )
        others = CountedSleeps()
        running = asyncio.ensure_future(others.run())
        _outcome, caller = await entry.send('/once/x')
        running.cancel()
        assert caller.body == part
        assert others.turns >= count / 100

    virtual.run(scenario)


def test_empty_lines_stay_with_the_event_before_them():
    splitter = forwarding.EventSplitter()
    parts = [b'id: 1\n\n\n\n', b'\n\nid', b': 2\r\n\r', b'\n\r\n', b'rest']
    events = [event for part in parts for event in splitter.feed(part)]
    assert [event.number for event in events] == [1, None, 2]
    assert b''.join(event.raw for event in events) + splitter.rest == (
        b''.join(parts)
    )


def test_number_of_many_digits_is_no_number():
    splitter = forwarding.EventSplitter()
    events = list(splitter.feed(b'id: %b\n\n' % (b'9' * 5000)))
    assert [event.number for event in events] == [None]
