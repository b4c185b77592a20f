"""Which parts of prompts are held responsible for crashes."""

import asyncio

import msgspec
import pytest

from carobslip import crashes, observability, verdicts
from tests.fakes import forwarding as fakes
from tests.fakes import virtual

MINUTE_MS = 60_000.0


def crash(start, *prompts, at_ms=0.0, cleared=(), proven=(), begun=()):
    known = crashes.Crash(start=start, known_ms=at_ms)
    known.begun = set(begun)
    known.prompts = set(prompts)
    known.cleared = set(cleared)
    known.proven = set(proven)
    return known


# name: (crashes, parts of each cause)
CAUSES = {
    'one crash': ([crash('t1', ('a', 'b'))], []),
    'common part of two crashes': (
        [crash('t1', ('a', 'd')), crash('t2', ('b', 'd'), at_ms=900)],
        [{'d'}],
    ),
    'same prompt twice': (
        [crash('t1', ('a', 'd')), crash('t2', ('a', 'd'), at_ms=900)],
        [{'a', 'd'}],
    ),
    'a third crash tells the part': (
        [
            crash('t1', ('a', 'd')),
            crash('t2', ('a', 'd'), at_ms=900),
            crash('t3', ('b', 'd'), at_ms=1800),
        ],
        [{'d'}],
    ),
    'part of an answered request is left out': (
        [
            crash('t1', ('a', 'd'), cleared=('a',)),
            crash('t2', ('a', 'd'), at_ms=900),
        ],
        [{'d'}],
    ),
    'answered after both crashes': (
        [
            crash('t1', ('a',), cleared=('a',)),
            crash('t2', ('a',), at_ms=900, cleared=('a',)),
        ],
        [],
    ),
    'at the same moment': (
        [crash('t1', ('a',)), crash('t2', ('a',), at_ms=100)],
        [],
    ),
    'answered shortly before': (
        [
            crash('t1', ('a',), proven=('a',)),
            crash('t2', ('a',), at_ms=900),
        ],
        [],
    ),
    'answered before, and four crashes': (
        [
            crash(f't{number}', ('a',), at_ms=900.0 * number, proven=('a',))
            for number in range(4)
        ],
        [{'a'}],
    ),
    'common part of two crashes after the first event': (
        [
            crash('t1', begun=[('a', 'd')]),
            crash('t2', begun=[('b', 'd')], at_ms=900),
        ],
        [],
    ),
    'common part of three crashes after the first event': (
        [
            crash('t1', begun=[('a', 'd')]),
            crash('t2', begun=[('b', 'd')], at_ms=900),
            crash('t3', begun=[('a', 'd')], at_ms=1800),
        ],
        [{'d'}],
    ),
    'answered before, and five crashes after the first event': (
        [
            crash(
                f't{number}',
                begun=[('a',)],
                at_ms=900.0 * number,
                proven=('a',),
            )
            for number in range(5)
        ],
        [],
    ),
    'crashes after the first event at the same moment': (
        [crash(f't{number}', begun=[('a',)]) for number in range(5)],
        [],
    ),
    'content of two crashes after the first event': (
        [
            crash('t1', begun=[('content=1',)]),
            crash('t2', begun=[('content=1',)], at_ms=900),
        ],
        [{'content=1'}],
    ),
    'bystander of explained crashes': (
        [
            crash('t1', ('d',), ('s',)),
            crash('t2', ('d',), at_ms=900),
            crash('t3', ('s',), at_ms=1800),
            crash('t4', ('d',), at_ms=2700),
        ],
        [{'d'}],
    ),
    'two parts': (
        [
            crash('t1', ('d',)),
            crash('t2', ('e',), at_ms=900),
            crash('t3', ('d',), at_ms=1800),
            crash('t4', ('e',), at_ms=2700),
        ],
        [{'d'}, {'e'}],
    ),
}


@pytest.mark.parametrize('name', CAUSES)
def test_crashes_are_explained_by_common_parts(name):
    known, expected = CAUSES[name]
    found = crashes.find_causes(known).causes
    assert sorted(sorted(one.parts) for one in found) == sorted(
        sorted(parts) for parts in expected
    )


class Clock:
    """Time that a test sets."""

    def __init__(self):
        self.ms = 0.0

    def now_ms(self):
        return self.ms

    def wall_ms(self):
        return int(self.ms)


class Process:
    def __init__(self, position=0):
        self.clock = Clock()
        self.ledger = crashes.CrashLedger(
            clock=self.clock, log=observability.EventLog()
        )
        self.gate = crashes.PromptGate(
            ledger=self.ledger,
            clock=self.clock,
            position=lambda _parts: position,
        )

    def learn_from(self, other):
        self.ledger.merge(other.ledger.records(), source='peer')

    def holds(self, *prompt):
        return self.gate.find_hold(prompt) is not None


def convicted():
    process = Process()
    process.ledger.note_crash('t1', ('a', 'd'))
    process.clock.ms = 6000.0
    process.ledger.note_crash('t2', ('b', 'd'))
    return process


def test_part_of_a_crash_is_held_back_until_its_group_is_back():
    process = Process()
    process.ledger.note_crash('t1', ('a', 'd'))
    assert process.holds('a', 'd')
    assert not process.holds('a')
    assert not process.holds('d')
    process.clock.ms = 5100.0
    assert not process.holds('a', 'd')


def test_one_request_at_a_time_is_tried_afterwards():
    process = Process()
    process.ledger.note_crash('t1', ('d',))
    process.clock.ms = 5100.0
    with process.gate.sending(('d', 'x')):
        assert process.holds('d')
    assert not process.holds('d')


def test_answer_clears_the_parts_of_its_request():
    process = Process()
    process.ledger.note_crash('t1', ('a', 'd'))
    process.ledger.note_answered(('a',))
    assert process.holds('d')
    process.ledger.note_answered(('d',))
    assert not process.holds('a', 'd')


def test_parts_that_were_just_answered_are_not_held_back():
    process = Process()
    process.ledger.note_answered(('a',))
    process.clock.ms = 1000.0
    process.ledger.note_crash('t1', ('a',))
    assert not process.holds('a')
    assert not process.ledger.is_suspect('t1', ('a',))


def test_convicted_parts_are_held_back_longer_after_each_crash():
    process = convicted()
    process.clock.ms += MINUTE_MS - 100
    assert process.holds('d', 'x')
    process.clock.ms += 200
    assert not process.holds('d', 'x')
    process.ledger.note_crash('t3', ('d', 'x'))
    process.clock.ms += 2 * MINUTE_MS - 100
    assert process.holds('d', 'y')
    process.clock.ms += 200
    assert not process.holds('d', 'y')


def test_other_parts_at_a_crash_are_free_once_it_is_explained():
    process = convicted()
    assert not process.holds('a')
    assert not process.holds('b')


def test_answer_after_the_time_ends_a_conviction():
    process = convicted()
    process.clock.ms += MINUTE_MS + 100
    process.ledger.note_answered(('d', 'x'))
    assert process.ledger.causes == []
    assert not process.holds('d')


def test_entries_try_convicted_parts_one_after_the_other():
    first, second = convicted(), Process(position=1)
    second.clock.ms = first.clock.ms
    second.learn_from(first)
    for process in (first, second):
        process.clock.ms += MINUTE_MS + 100
    assert not first.holds('d')
    assert second.holds('d')


def test_processes_agree_in_whatever_order_they_learn():
    first, second = Process(), Process()
    first.ledger.note_crash('t1', ('a', 'd'))
    second.ledger.note_crash('t1', ('b',))
    second.ledger.note_answered(('b',))
    first.clock.ms = second.clock.ms = 900.0
    second.ledger.note_crash('t2', ('c', 'd'))
    first.learn_from(second)
    second.learn_from(first)
    first.learn_from(second)
    assert first.ledger.digest == second.ledger.digest != 0
    assert [cause.parts for cause in first.ledger.causes] == [{'d'}]
    assert [cause.parts for cause in second.ledger.causes] == [{'d'}]


def test_peer_that_answered_a_part_vouches_for_it():
    asking, other = Process(), Process()
    other.ledger.note_answered(('a',))
    asking.clock.ms = other.clock.ms = 1000.0
    asking.ledger.note_crash('t1', ('a',))
    other.learn_from(asking)
    asking.learn_from(other)
    assert not asking.ledger.is_suspect('t1', ('a',))


def test_flood_of_crashes_does_not_push_out_a_convicted_part():
    process = convicted()
    for number in range(1000):
        process.clock.ms += 50
        process.ledger.note_crash(f'f{number}', (f'p{number}',))
    assert process.holds('d')
    assert len(process.ledger.records()) == crashes.CRASHES_MAX


def test_flood_of_prompts_at_one_crash_is_bounded():
    process = Process()
    for number in range(1000):
        process.ledger.note_crash('t1', (f'p{number}',))
    (record,) = process.ledger.records()
    assert len(record.prompts) == 16


def test_crashes_are_forgotten_after_an_hour():
    process = convicted()
    process.clock.ms += 61 * MINUTE_MS
    process.ledger.note_crash('t9', ('z',))
    assert [record.start for record in process.ledger.records()] == ['t9']


def test_crashes_from_before_the_start_of_a_process_count():
    process = Process()
    process.ledger.merge(
        (
            crashes.CrashRecord(start='t1', age_ms=9000, prompts=(('d',),)),
            crashes.CrashRecord(start='t2', age_ms=5000, prompts=(('d',),)),
        ),
        source='peer',
    )
    assert process.holds('d')
    assert len(process.ledger.causes) == 1


def test_start_of_a_target_with_the_longest_id_can_be_sent_to_peers():
    listed = fakes.record('i' * 200, fakes.SERVICE, started_wall_ms=10**13)
    sent = crashes.CrashRecord(
        start=crashes.start_of(listed), age_ms=0, prompts=(('d',),)
    )
    encoded = msgspec.msgpack.encode(sent)
    assert msgspec.msgpack.decode(encoded, type=crashes.CrashRecord) == sent


def test_requests_without_parts_are_never_held_back():
    process = convicted()
    assert process.gate.find_hold(()) is None


@pytest.mark.parametrize('is_gone', [True, False])
def test_only_a_request_whose_target_has_ended_is_not_sent_again(is_gone):
    async def scenario():
        entry = fakes.Entry(['lost', fakes.events(1)], held=fakes.table())

        async def answer(_record):
            return is_gone

        entry.port.is_gone = answer
        outcome, caller = await entry.send('/note/x', shared_parts=('p',))
        assert len(entry.port.calls) == (1 if is_gone else 2)
        assert caller.is_whole is not is_gone
        if is_gone:
            assert outcome.verdict is verdicts.Verdict.MAY_HAVE_RUN

    virtual.run(scenario)


def test_proven_request_is_sent_again_after_a_crash():
    async def scenario():
        entry = fakes.Entry(
            [fakes.events(1), 'lost', fakes.events(1)], held=fakes.table()
        )

        async def is_gone(_record):
            return True

        entry.port.is_gone = is_gone
        await entry.send('/note/x', shared_parts=('p',))
        _outcome, caller = await entry.send('/note/x', shared_parts=('p',))
        assert caller.is_whole

    virtual.run(scenario)


def test_request_with_events_is_resumed_after_a_crash():
    async def scenario():
        entry = fakes.Entry(
            [fakes.broken_events(1, 2), fakes.events(3)], held=fakes.table()
        )

        async def is_gone(_record):
            return True

        entry.port.is_gone = is_gone
        _outcome, caller = await entry.send('/note/x', shared_parts=('p',))
        assert caller.is_whole
        (record,) = entry.ledger.records()
        assert record.prompts == ()
        assert record.begun == (('p',),)
        # The rest of an answer says nothing about its begin.
        assert record.cleared == ()

    virtual.run(scenario)


def test_request_that_crashes_targets_after_an_event_stops_after_two():
    async def scenario():
        answers = [fakes.broken_events(number) for number in range(1, 9)]
        entry = fakes.Entry(answers, held=fakes.table())

        async def is_gone(_record):
            await asyncio.sleep(0.3)
            return True

        entry.port.is_gone = is_gone
        outcome, _caller = await entry.send(
            '/note/x', content_part=crashes.content_part(1)
        )
        assert len(entry.port.calls) == 2
        assert outcome.verdict is verdicts.Verdict.MAY_HAVE_RUN

    virtual.run(scenario)


def test_one_crash_amid_answers_holds_nothing_back():
    process = Process()
    process.ledger.note_crash('t1', ('a', 'd'), has_events=True)
    assert not process.holds('a', 'd')
    assert not process.ledger.is_suspect('t1', ('a', 'd'), has_events=True)
    assert process.ledger.is_suspect('t1', ('a', 'd'))


def test_processes_of_the_version_before_read_crashes_after_an_event():
    record = crashes.CrashRecord(
        start='t1', age_ms=0, prompts=(('d',),), begun=(('e',),)
    )

    class Before(msgspec.Struct, array_like=True):
        start: str
        age_ms: float
        prompts: tuple[tuple[str, ...], ...]
        cleared: tuple[str, ...] = ()
        proven: tuple[str, ...] = ()

    encoded = msgspec.msgpack.encode(record)
    assert msgspec.msgpack.decode(encoded, type=Before).prompts == (('d',),)
    old = msgspec.msgpack.encode(Before('t1', 0, (('d',),)))
    assert msgspec.msgpack.decode(old, type=crashes.CrashRecord).begun == ()


def test_held_back_request_has_not_run_and_says_when_to_return():
    async def scenario():
        entry = fakes.Entry(held=fakes.table())
        entry.ledger.note_crash('t1', ('d',))
        outcome, _caller = await entry.send('/note/x', shared_parts=('d',))
        assert outcome.verdict is verdicts.Verdict.NOT_RUN
        assert outcome.reason is verdicts.Reason.CRASHES_TARGETS
        assert 4000 < outcome.retry_after_ms <= 5000
        assert entry.port.calls == []

    virtual.run(scenario)


CONTENT = crashes.content_part(1)
OTHER = crashes.content_part(2)


def test_content_that_crashed_two_targets_is_held_back_and_nothing_beside_it():
    process = Process()
    process.ledger.note_answered(('first',))
    process.clock.ms = 1000.0
    process.ledger.note_crash('t1', ('first', CONTENT))
    assert not process.holds('first', CONTENT)
    assert not process.ledger.is_suspect('t1', ('first', CONTENT))
    process.clock.ms = 2000.0
    process.ledger.note_crash('t2', ('first', CONTENT))
    assert process.holds('first', CONTENT)
    assert process.ledger.is_suspect('t2', ('first', CONTENT))
    assert not process.holds('first', OTHER)
    assert not process.holds('first')


def test_content_of_each_request_does_not_hide_a_deadly_part():
    process = Process()
    process.ledger.note_crash('t1', ('d', CONTENT))
    assert process.holds('d', OTHER)
    process.clock.ms = 6000.0
    process.ledger.note_crash('t2', ('d', OTHER))
    assert process.holds('d', crashes.content_part(3))


def test_content_does_not_depend_on_the_identifier_of_a_request():
    async def scenario():
        entry = fakes.Entry(['lost'] * 4, held=fakes.table())

        async def is_gone(_record):
            return True

        entry.port.is_gone = is_gone
        for number in range(4):
            await entry.send(
                '/note/x', request_id=f'r{number}', content_part=CONTENT
            )
            await asyncio.sleep(1)
        assert len(entry.port.calls) == 2

    virtual.run(scenario)
