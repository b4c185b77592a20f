"""A target that says in an answer that it leaves gets no further requests."""

import asyncio

import pytest
from users_platform import engine_calls

from carobslip import clocks, observability, targets, verdicts
from tests import test_kept_connections as kept
from tests import test_users_platform as platforms
from tests.fakes import forwarding as fakes
from tests.fakes import virtual

READY = targets.TargetState.READY


def leaving(answer):
    answer.is_leaving = True
    return answer


# name: answer of the target that leaves
ANSWERS = {
    'success': lambda: fakes.FakeAnswer(),
    'failure': lambda: fakes.FakeAnswer(status=500),
    'refusal': lambda: fakes.FakeAnswer(status=503, has_not_run=True),
    'stream': lambda: fakes.events(1, 2),
    'broken stream': lambda: fakes.broken_events(1, 2),
    'broken answer': lambda: fakes.FakeAnswer(broken=True),
}


@pytest.mark.parametrize('path', ['/book/x', '/look/x', '/note/x', '/once/x'])
@pytest.mark.parametrize('name', ANSWERS)
def test_target_that_says_that_it_leaves_gets_no_further_request(name, path):
    async def scenario():
        entry = fakes.Entry(
            [leaving(ANSWERS[name]())], held=fakes.table(), count=3
        )
        await entry.send(path)
        left = entry.port.calls[0].target
        await asyncio.gather(*(entry.send(path) for _number in range(20)))
        later = [call.target for call in entry.port.calls[1:]]
        assert len(later) >= 20
        assert left not in later

    virtual.run(scenario)


def test_answer_of_another_start_at_the_address_excludes_no_target():
    async def scenario():
        answer = leaving(fakes.FakeAnswer(status=421, is_other_target=True))
        entry = fakes.Entry([answer], held=fakes.table(), count=2)
        outcome, _caller = await entry.send('/look/x')
        assert outcome.verdict is verdicts.Verdict.RAN
        called = entry.port.calls[0]
        record = entry.book.find(called.target)
        assert not entry.book.is_leaving(record)

    virtual.run(scenario)


def test_request_is_not_held_when_all_targets_leave():
    async def scenario():
        answers = [leaving(fakes.FakeAnswer()) for _number in range(2)]
        entry = fakes.Entry(answers, held=fakes.table(), count=2)
        for _number in range(2):
            await entry.send('/book/x')
        outcome, _caller = await entry.send('/book/x', patience_ms=600)
        assert outcome.verdict is verdicts.Verdict.NOT_RUN
        assert len(entry.port.calls) == 2

    virtual.run(scenario)


def record(**changes):
    return fakes.record('a', fakes.DESK, **{'started_wall_ms': 5, **changes})


def listed(**changes):
    return targets.TargetChange(
        target='a', record=record(**changes), revision=3
    )


UNLISTED = targets.TargetChange(target='a', record=None, revision=3)
LOST = targets.TargetListLost(fault='down')
RESTORED = targets.TargetListRestored(revision=2)

# name: (updates of the list after the target has left, whether it is usable)
UPDATES = {
    'still ready': ([listed(sequence=9)], False),
    'list lost': ([LOST], False),
    'list restored': ([LOST, RESTORED, listed(sequence=9)], False),
    'listed again': ([UNLISTED, listed(sequence=9)], False),
    'snapshot': (
        [targets.TargetSnapshot(records=(record(sequence=9),), revision=3)],
        False,
    ),
    'another address': ([listed(sequence=9, address='b:1')], False),
    'earlier start': ([listed(started_wall_ms=4, sequence=9)], False),
    'later start': ([listed(started_wall_ms=6)], True),
    'later start after an outage': (
        [LOST, RESTORED, listed(started_wall_ms=6)],
        True,
    ),
}


@pytest.mark.parametrize('name', UPDATES)
def test_leaving_outlives_the_list_and_ends_with_a_later_start(name):
    updates, is_usable = UPDATES[name]

    async def scenario():
        book = targets.TargetRegistry(
            clock=clocks.LoopClock(epoch_ms=0), log=observability.EventLog()
        )
        book.apply(listed())
        assert book.usable(fakes.DESK, ())
        book.note_leaving(record())
        assert not book.usable(fakes.DESK, ())
        for update in updates:
            book.apply(update)
        assert bool(book.usable(fakes.DESK, ())) is is_usable

    virtual.run(scenario)


# name: (headers of an answer, whether the engine leaves)
HEADERS = {
    'leaving': (b'Server-Leaving: 1\r\n', True),
    'in other letters': (b'server-leaving:1 \r\n', True),
    'not leaving': (b'Server-Leaving: 0\r\n', False),
    'no number': (b'Server-Leaving: yes\r\n', False),
    'empty': (b'Server-Leaving:\r\n', False),
    'absent': (b'', False),
}


@pytest.mark.parametrize('status', [b'200 OK', b'500 X', b'503 X'])
@pytest.mark.parametrize('name', HEADERS)
async def test_leaving_is_read_from_every_answer(name, status):
    line, is_leaving = HEADERS[name]
    head = kept.WHOLE.replace(b'200 OK', status)
    answer = head.replace(b'Content-Length', line + b'Content-Length')
    engine = kept.ScriptedEngine([(answer, b'')])
    calls = engine_calls.EngineCalls()
    call = platforms._call(await engine.start())
    async with calls.call(call) as received:
        assert received.is_leaving is is_leaving
    await calls.close()
    engine.stop()
