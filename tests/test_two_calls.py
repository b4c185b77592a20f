"""Streams whose targets stall, disconnect and reject in random order."""

import asyncio
import collections
import random

import pytest

from carobslip import verdicts
from tests.fakes import forwarding as fakes
from tests.fakes import virtual

EVENTS = 12
#: Limit of the route in the fake routing table.
ATTEMPTS_MAX = 2


class RandomPort(fakes.FakePort):
    """Targets that send a stream's events and fail at random."""

    def __init__(self, generator):
        super().__init__([])
        self.random = generator
        self.arrived = []

    def answer_to(self, call):
        chance = self.random.random()
        if chance < 0.08:
            return 'refused connection'
        if chance < 0.16:
            return 'lost'
        if chance < 0.22:
            return 'hangs'
        if chance < 0.3:
            return fakes.FakeAnswer(status=503, has_not_run=True)
        if chance < 0.36:
            return fakes.FakeAnswer(status=500)
        first = 1 if call.last_event is None else int(call.last_event) + 1
        steps = []
        for number in range(first, EVENTS + 1):
            if self.random.random() < 0.2:
                steps.append(self.random.choice([0.1, 0.35, 0.5, 2.0]))
            steps.append(number)
        answer = fakes.events_with_pauses(*steps)
        if self.random.random() < 0.2:
            keep = self.random.randrange(len(answer._parts) + 1)
            answer._parts = answer._parts[:keep]
            answer._broken = True
        return answer

    def call(self, call):
        step = self.answer_to(call)
        self.script = [step]
        if step != 'refused connection':
            self.arrived.append(call.request.request_id)
        return super().call(call)


async def toggle_stalls(entry, generator):
    """Marks random targets as stalled or as working."""
    while True:
        await asyncio.sleep(generator.uniform(0.01, 0.3))
        names = [record.target for record in entry.book.records]
        chosen = generator.sample(names, generator.randint(1, len(names)))
        is_stalled = generator.random() < 0.7
        entry.forwarder.stalls.store_report(chosen, is_stalled=is_stalled)


async def send(entry, number, generator):
    sending = asyncio.ensure_future(
        entry.send('/note/x', request_id=f'r{number}'),
    )
    if generator.random() < 0.2:
        await asyncio.sleep(generator.uniform(0, 2))
        sending.cancel()
    await asyncio.wait([sending])
    return None if sending.cancelled() else sending.result()


def is_contiguous(body):
    count = body.count(b'id: ')
    return body == b''.join(
        b'id: %d\ndata: x\n\n' % number for number in range(1, count + 1)
    )


@pytest.mark.parametrize('seed', [*range(40), 527])
def test_streams_have_no_gap_and_slots_are_released(seed):
    async def scenario():
        generator = random.Random(seed)
        entry = fakes.Entry([], held=fakes.table(), count=4, slots=3)
        port = RandomPort(generator)
        entry.port = port
        entry.forwarder._attempts._port = port
        toggling = asyncio.ensure_future(toggle_stalls(entry, generator))
        results = await asyncio.gather(
            *(send(entry, number, generator) for number in range(10)),
        )
        toggling.cancel()
        await asyncio.sleep(0.1)
        for result in results:
            if result is None:
                continue
            outcome, caller = result
            is_event_answer = caller.body.startswith(b'id: ')
            if is_event_answer:
                assert is_contiguous(caller.body)
                is_ran = outcome.verdict is verdicts.Verdict.RAN
                assert is_ran is caller.is_whole
                if caller.is_whole:
                    assert caller.body.count(b'id: ') == EVENTS
        for record in entry.book.records:
            assert entry.loads.own_requests(record.target) == 0
        assert len(asyncio.all_tasks()) == 1
        arrivals = collections.Counter(port.arrived)
        repeats = sum(count - 1 for count in arrivals.values())
        assert repeats <= len(entry.budget._repeats[fakes.SERVICE])
        assert max(collections.Counter(port.runs).values()) <= ATTEMPTS_MAX

    virtual.run(scenario)
