"""What callers get of forwarded requests, and how often targets run them."""

import asyncio

import pytest

from carobslip import configuration, identifiers, targets, verdicts
from tests.fakes import forwarding as fakes
from tests.fakes import virtual

RAN = verdicts.Verdict.RAN
NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
Reason = verdicts.Reason


def refusal():
    return fakes.FakeAnswer(status=503, has_not_run=True)


# name: (path, script, verdict, runs, sends)
ATTEMPTS = {
    'booking is answered': ('/book/x', [fakes.FakeAnswer()], RAN, 1, 1),
    'booking whose answer is lost': ('/book/x', ['lost'], MAY_HAVE_RUN, 1, 1),
    'booking refused with proof goes on': (
        '/book/x',
        [refusal(), fakes.FakeAnswer()],
        RAN,
        1,
        2,
    ),
    'booking refused everywhere': (
        '/book/x',
        [refusal(), refusal(), refusal(), refusal(), fakes.FakeAnswer()],
        NOT_RUN,
        0,
        4,
    ),
    'booking refused for a moment': (
        '/book/x',
        [refusal(), refusal(), fakes.FakeAnswer()],
        RAN,
        1,
        3,
    ),
    'look-up refused and lost once': (
        '/look/x',
        [refusal(), 'lost', fakes.FakeAnswer()],
        RAN,
        2,
        3,
    ),
    'look-up refused and lost twice': (
        '/look/x',
        [refusal(), 'lost', 'lost', fakes.FakeAnswer()],
        MAY_HAVE_RUN,
        2,
        3,
    ),
    'booking that was not sent goes on': (
        '/book/x',
        ['refused connection', fakes.FakeAnswer()],
        RAN,
        1,
        2,
    ),
    'booking at another start of a target': (
        '/book/x',
        [fakes.FakeAnswer(status=421, is_other_target=True)],
        RAN,
        1,
        2,
    ),
    'booking whose answer breaks off': (
        '/book/x',
        [fakes.FakeAnswer(broken=True)],
        MAY_HAVE_RUN,
        1,
        1,
    ),
    'booking that fails is told as it is': (
        '/book/x',
        [fakes.FakeAnswer(status=500)],
        RAN,
        1,
        1,
    ),
    'look-up whose answer is lost': (
        '/look/x',
        ['lost', fakes.FakeAnswer()],
        RAN,
        2,
        2,
    ),
    'look-up that fails goes to another': (
        '/look/x',
        [fakes.FakeAnswer(status=500), fakes.FakeAnswer()],
        RAN,
        2,
        2,
    ),
    'look-up that fails twice is told as it is': (
        '/look/x',
        [fakes.FakeAnswer(status=500), fakes.FakeAnswer(status=500)],
        RAN,
        2,
        2,
    ),
    'look-up lost twice': ('/look/x', ['lost', 'lost'], MAY_HAVE_RUN, 2, 2),
    'stream that may not go on breaks': (
        '/once/x',
        [fakes.broken_events(1, 2)],
        MAY_HAVE_RUN,
        1,
        1,
    ),
    'stream that may not go on is not sent twice': (
        '/once/x',
        ['lost'],
        MAY_HAVE_RUN,
        1,
        1,
    ),
}


@pytest.mark.parametrize('name', ATTEMPTS)
def test_attempts(name):
    path, script, verdict, runs, sends = ATTEMPTS[name]

    async def story():
        entry = fakes.Entry(script, held=fakes.table())
        outcome, caller = await entry.send(path)
        assert outcome.verdict is verdict
        assert len(entry.port.runs) == runs
        assert len(entry.port.calls) == sends
        assert caller.is_whole is (verdict is RAN)
        if verdict is NOT_RUN:
            assert outcome.retry_after_ms

    virtual.play(story)


# name: (path, key, reason)
REFUSALS = {
    'unknown route': ('/else/x', fakes.KEY, Reason.UNKNOWN_ROUTE),
    'part of a prefix': ('/boo/x', fakes.KEY, Reason.UNKNOWN_ROUTE),
    'unknown key': ('/book/x', 'wrong', Reason.UNKNOWN_KEY),
    'no key': ('/book/x', None, Reason.UNKNOWN_KEY),
}


@pytest.mark.parametrize('name', REFUSALS)
def test_refusals(name):
    path, key, reason = REFUSALS[name]

    async def story():
        entry = fakes.Entry(held=fakes.table())
        outcome, _caller = await entry.send(path, api_key=key)
        assert (outcome.verdict, outcome.reason) == (NOT_RUN, reason)
        assert not entry.port.calls

    virtual.play(story)


def test_public_route_needs_no_key_and_names_no_team():
    async def story():
        entry = fakes.Entry(held=fakes.table())
        outcome, _caller = await entry.send('/open/x', api_key=None)
        assert outcome.verdict is RAN
        assert entry.port.calls[0].team is None

    virtual.play(story)


def test_team_of_the_key_is_told_to_the_target():
    async def story():
        entry = fakes.Entry(held=fakes.table())
        await entry.send('/book/x')
        assert entry.port.calls[0].team == fakes.TEAM

    virtual.play(story)


def test_key_is_served_only_while_the_configuration_is_surely_new():
    async def story():
        entry = fakes.Entry(held=fakes.table())
        await asyncio.sleep(4.4)
        outcome, _caller = await entry.send('/book/x')
        assert outcome.verdict is RAN
        await asyncio.sleep(0.2)
        for path in ('/book/x', '/else/x'):
            outcome, _caller = await entry.send(path)
            assert outcome.verdict is NOT_RUN
            assert outcome.reason is Reason.NOT_CURRENT
        outcome, _caller = await entry.send('/open/x')
        assert outcome.verdict is RAN
        entry.holder.confirm(entry.clock.now_ms())
        outcome, _caller = await entry.send('/book/x')
        assert outcome.verdict is RAN

    virtual.play(story)


def test_request_waits_for_the_configuration_of_a_starting_entry():
    async def story():
        entry = fakes.Entry()
        asyncio.get_running_loop().call_later(0.2, entry.adopt, fakes.table())
        outcome, _caller = await entry.send('/book/x')
        assert outcome.verdict is RAN

    virtual.play(story)


def test_starting_entry_refuses_rather_than_deny():
    async def story():
        entry = fakes.Entry()
        outcome, _caller = await entry.send('/book/x')
        assert outcome.reason is Reason.NO_CONFIGURATION
        assert outcome.retry_after_ms

    virtual.play(story)


def test_woken_entry_refuses_until_it_has_refreshed():
    async def story():
        entry = fakes.Entry(held=fakes.table())
        entry.is_current = False
        outcome, _caller = await entry.send('/book/x')
        assert (outcome.verdict, outcome.reason) == (NOT_RUN, Reason.PAUSED)

    virtual.play(story)


def test_stream_goes_on_at_another_target_within_one_answer():
    async def story():
        script = [
            fakes.broken_events(1, 2, rest=b'id: 3\ndata: ha'),
            fakes.events(3, 4),
        ]
        entry = fakes.Entry(script, held=fakes.table())
        outcome, caller = await entry.send('/note/x')
        assert outcome.verdict is RAN
        assert caller.is_whole
        whole = b''.join(b'id: %d\ndata: x\n\n' % one for one in (1, 2, 3, 4))
        assert caller.body == whole
        first, second = entry.port.calls
        assert (first.last_event, second.last_event) == (None, '2')
        assert first.target != second.target

    virtual.play(story)


def test_stream_with_a_gap_is_never_completed():
    async def story():
        script = [fakes.broken_events(1, 2), fakes.events(4, 5)]
        entry = fakes.Entry(script, held=fakes.table())
        outcome, caller = await entry.send('/note/x')
        assert outcome.verdict is MAY_HAVE_RUN
        assert not caller.is_whole
        assert b'id: 4' not in caller.body

    virtual.play(story)


def test_events_that_come_twice_are_passed_on_once():
    async def story():
        script = [fakes.broken_events(1, 2), fakes.events(1, 2, 3)]
        entry = fakes.Entry(script, held=fakes.table())
        _outcome, caller = await entry.send('/note/x')
        assert caller.body.count(b'id: 2') == 1
        assert caller.is_whole

    virtual.play(story)


def test_error_of_the_second_target_does_not_follow_the_first_answer():
    async def story():
        script = [fakes.broken_events(1), fakes.FakeAnswer(status=500)]
        entry = fakes.Entry(script, held=fakes.table())
        outcome, caller = await entry.send('/note/x')
        assert outcome.verdict is MAY_HAVE_RUN
        assert not caller.is_whole

    virtual.play(story)


def test_caller_that_leaves_cancels_the_call():
    async def story():
        entry = fakes.Entry(['hangs'], held=fakes.table())
        sending = asyncio.ensure_future(entry.send('/note/x'))
        await asyncio.sleep(0.1)
        sending.cancel()
        await asyncio.wait([sending])
        assert len(entry.port.cancelled) == 1
        assert entry.loads.own_of(entry.port.calls[0].target) == 0

    virtual.play(story)


def test_time_left_is_never_more_than_the_caller_or_the_route_gives():
    async def story():
        entry = fakes.Entry([refusal()], held=fakes.table())
        await entry.send('/book/x', patience_ms=600)
        await entry.send('/book/x', patience_ms=60_000)
        first, second, third = (one.time_left_ms for one in entry.port.calls)
        assert first <= 600
        assert second < first
        assert third <= 8000

    virtual.play(story)


def test_hanging_target_ends_with_the_time_limit_as_doubt():
    async def story():
        entry = fakes.Entry(['hangs'], held=fakes.table())
        outcome, _caller = await entry.send('/book/x', patience_ms=600)
        assert outcome.verdict is MAY_HAVE_RUN
        assert outcome.reason is Reason.REPLY_TIMEOUT
        assert entry.clock.now_ms() <= 601

    virtual.play(story)


def test_repeats_stay_within_the_share_of_this_entry():
    async def story():
        entry = fakes.Entry(['lost'] * 200, held=fakes.table())
        entry.entries = 4
        for _number in range(40):
            entry.loads.forget_missing(())
            await entry.send('/look/x')
        repeats = len(entry.port.calls) - 40
        # A quarter of 20 extra, and a fifth of the requests, less the margin.
        assert 0 < repeats <= 0.7 * (40 * 0.2 + 20 / 4)

    virtual.play(story)


def test_withdrawn_data_centre_and_leaving_targets_get_nothing():
    async def story():
        west = identifiers.DataCentreId('west')
        entry = fakes.Entry(held=fakes.table())
        entry.book.apply(
            targets.TargetSnapshot(
                records=(
                    fakes.record('a', fakes.DESK, data_centre=west),
                    fakes.record(
                        'b',
                        fakes.DESK,
                        state=targets.TargetState.DRAINING,
                    ),
                    fakes.record('c', fakes.DESK),
                ),
                revision=2,
            ),
        )
        entry.adopt(
            fakes.table(),
            out=(
                configuration.Withdrawal(
                    reason='taken out by a test', data_centre=west
                ),
            ),
            version=2,
        )
        for _number in range(8):
            await entry.send('/book/x')
        assert {call.target for call in entry.port.calls} == {'c'}

    virtual.play(story)


def test_stream_leaves_a_group_that_stands_still():
    async def story():
        script = [fakes.broken_events(1, 2), fakes.events(3, 4)]
        script[0]._broken = False
        script[0]._parts += (b'',) * 1000
        entry = fakes.Entry(script, held=fakes.table())
        sending = asyncio.ensure_future(entry.send('/note/x'))
        await asyncio.sleep(0.5)
        first = entry.port.calls[0].target
        entry.forwarder.stalls.note([first], is_stalled=True)
        entry.loads.avoid(first, 500)
        outcome, caller = await sending
        assert outcome.verdict is RAN
        assert caller.is_whole
        assert [call.last_event for call in entry.port.calls] == [None, '2']

    virtual.play(story)


def test_booking_stays_at_a_group_that_stands_still():
    async def story():
        entry = fakes.Entry(['hangs'], held=fakes.table())
        sending = asyncio.ensure_future(entry.send('/book/x', patience_ms=900))
        await asyncio.sleep(0.1)
        first = entry.port.calls[0].target
        entry.forwarder.stalls.note([first], is_stalled=True)
        outcome, _caller = await sending
        assert outcome.verdict is MAY_HAVE_RUN
        assert len(entry.port.calls) == 1

    virtual.play(story)


def test_a_stalled_stream_keeps_its_place_until_it_has_another():
    async def story():
        entry = fakes.Entry(['hangs', 'hangs'], held=fakes.table(), slots=1)
        sending = asyncio.ensure_future(entry.send('/note/x'))
        await asyncio.sleep(0.1)
        first = entry.port.calls[0].target
        other = {'drafts-0': 'drafts-1', 'drafts-1': 'drafts-0'}[first]
        entry.loads.note_start(other)
        entry.forwarder.stalls.note([first], is_stalled=True)
        entry.loads.avoid(first, 500)
        await asyncio.sleep(0.3)
        assert len(entry.port.calls) == 1
        entry.loads.note_end(other)
        await asyncio.sleep(0.1)
        assert len(entry.port.calls) == 2
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        assert entry.loads.own_of(first) == 0
        assert entry.loads.own_of(other) == 0

    virtual.play(story)


def whole_stream(last):
    """Returns what a caller has of a stream that is complete."""
    return b''.join(b'id: %d\ndata: x\n\n' % one for one in range(1, last + 1))


async def stall(entry, *, after_s, again_s=0.2, seconds=2.0):
    """Tells an entry, again and again, that the first target stands still."""
    await asyncio.sleep(after_s)
    target = entry.port.calls[0].target
    for _number in range(int(seconds / again_s)):
        entry.forwarder.stalls.note([target], is_stalled=True)
        entry.loads.avoid(target, 500)
        await asyncio.sleep(again_s)


def test_stream_is_not_given_up_for_a_target_that_cannot_be_reached():
    async def story():
        script = [
            fakes.events_with_pauses(1, 2, 1.2, 3, 4),
            'refused connection',
            'refused connection',
        ]
        entry = fakes.Entry(script, held=fakes.table(), count=3)
        news = asyncio.ensure_future(stall(entry, after_s=0.3))
        outcome, caller = await entry.send('/note/x')
        news.cancel()
        assert outcome.verdict is RAN
        assert caller.is_whole
        assert caller.body == whole_stream(4)

    virtual.play(story)


def test_stream_is_not_given_up_for_a_target_that_rejects_it():
    async def story():
        script = [fakes.events_with_pauses(1, 2, 1.2, 3), refusal(), refusal()]
        entry = fakes.Entry(script, held=fakes.table(), count=3)
        news = asyncio.ensure_future(stall(entry, after_s=0.3))
        outcome, caller = await entry.send('/note/x')
        news.cancel()
        assert outcome.verdict is RAN
        assert caller.body == whole_stream(3)

    virtual.play(story)


@pytest.mark.parametrize('streams', [12, 40])
def test_no_more_streams_are_given_up_than_may_be_repeated(streams):
    async def story():
        script = [
            fakes.events_with_pauses(1, 2, 1.4, 3, 4) for _one in range(streams)
        ]
        script += [fakes.events(3, 4) for _one in range(streams)]
        entry = fakes.Entry(script, held=fakes.table(), slots=streams)
        entry.entries = 9
        entry.loads.note_total(identifiers.TargetId('drafts-0'), 0)
        entry.loads.avoid(identifiers.TargetId('drafts-1'), 200)
        sends = [
            asyncio.ensure_future(
                entry.send('/note/x', request_id=f'r{number}'),
            )
            for number in range(streams)
        ]
        await asyncio.sleep(0.3)
        assert {call.target for call in entry.port.calls} == {'drafts-0'}
        entry.loads.note_total(identifiers.TargetId('drafts-1'), 0)
        await stall(entry, after_s=0)
        ends = await asyncio.gather(*sends)
        assert [one.verdict for one, _caller in ends] == [RAN] * streams
        bodies = {caller.body for _one, caller in ends}
        assert bodies == {whole_stream(4)}
        # A ninth of 20 extra, and a fifth of the requests.
        repeats = len(entry.port.calls) - streams
        assert repeats <= streams * 0.2 + 20 / 9

    virtual.play(story)


def test_late_news_does_not_move_a_stream_that_goes_on():
    async def story():
        steps = [step for number in range(1, 21) for step in (number, 0.1)]
        entry = fakes.Entry(
            [fakes.events_with_pauses(*steps)],
            held=fakes.table(),
        )
        news = asyncio.ensure_future(stall(entry, after_s=0.25))
        outcome, caller = await entry.send('/note/x')
        news.cancel()
        assert outcome.verdict is RAN
        assert caller.body == whole_stream(20)
        assert len(entry.port.calls) == 1

    virtual.play(story)


def test_stream_whose_first_target_goes_on_first_stays_there():
    async def story():
        script = [
            fakes.events_with_pauses(1, 2, 0.9, 3, 0.4, 4, 5),
            fakes.events_with_pauses(0.6, 3, 4, 5),
        ]
        entry = fakes.Entry(script, held=fakes.table())
        news = asyncio.ensure_future(stall(entry, after_s=0.3))
        outcome, caller = await entry.send('/note/x')
        news.cancel()
        assert outcome.verdict is RAN
        assert caller.body == whole_stream(5)
        first, second = (call.target for call in entry.port.calls)
        assert entry.port.cancelled == [second]
        assert entry.loads.own_of(first) == 0
        assert entry.loads.own_of(second) == 0

    virtual.play(story)


def test_call_is_taken_back_when_the_second_target_goes_on():
    async def story():
        script = [
            fakes.events_with_pauses(1, 2, 5.0, 3),
            fakes.events_with_pauses(0.1, 3, 3.0, 4),
        ]
        entry = fakes.Entry(script, held=fakes.table())
        news = asyncio.ensure_future(stall(entry, after_s=0.3))
        sending = asyncio.ensure_future(entry.send('/note/x'))
        await asyncio.sleep(0.9)
        first, second = entry.port.calls
        assert second.last_event == '2'
        assert entry.port.cancelled == [first.target]
        outcome, caller = await sending
        news.cancel()
        assert outcome.verdict is RAN
        assert caller.body == whole_stream(4)

    virtual.play(story)


def test_caller_that_leaves_cancels_the_calls_at_both_targets():
    async def story():
        entry = fakes.Entry(['hangs', 'hangs'], held=fakes.table())
        sending = asyncio.ensure_future(entry.send('/note/x'))
        await stall(entry, after_s=0.1, seconds=0.8)
        assert len(entry.port.calls) == 2
        assert not entry.port.cancelled
        sending.cancel()
        await asyncio.wait([sending])
        targets_called = {call.target for call in entry.port.calls}
        assert set(entry.port.cancelled) == targets_called
        assert all(entry.loads.own_of(one) == 0 for one in targets_called)

    virtual.play(story)


def test_look_up_is_answered_by_the_first_of_two_targets_that_answers():
    async def story():
        late = fakes.FakeAnswer(parts=(1.5, b'late'))
        script = [late, fakes.FakeAnswer(status=500), fakes.FakeAnswer()]
        entry = fakes.Entry(script, held=fakes.table(), count=3)
        news = asyncio.ensure_future(stall(entry, after_s=0.1))
        outcome, caller = await entry.send('/look/x')
        news.cancel()
        assert outcome.verdict is RAN
        assert (caller.head.status, caller.body) == (200, b'late')
        assert len(entry.port.calls) == 2

    virtual.play(story)


def test_stream_that_was_lost_is_not_refused_for_a_long_queue():
    async def story():
        script = [fakes.broken_events(1, 2), fakes.events(3, 4)]
        entry = fakes.Entry(script, held=fakes.table(), slots=1)
        busy = identifiers.TargetId('drafts-1')
        entry.loads.avoid(busy, 10)
        for target in ('drafts-0', busy):
            entry.loads.note_success(target, 2000)
        sending = asyncio.ensure_future(entry.send('/note/x'))
        await asyncio.sleep(0.005)
        entry.loads.note_start(busy)
        await asyncio.sleep(0.9)
        entry.loads.note_end(busy)
        entry.forwarder.admission.wake_all()
        outcome, caller = await sending
        assert outcome.verdict is RAN
        assert caller.body == whole_stream(4)

    virtual.play(story)


def test_repeat_that_reached_no_target_pays_for_the_next_one():
    async def story():
        script = ['lost', 'refused connection', fakes.FakeAnswer()]
        entry = fakes.Entry(script, held=fakes.table(), count=3)
        # So much that one repeat is left.
        entry.entries = 14
        outcome, _caller = await entry.send('/look/x')
        assert outcome.verdict is RAN
        assert len(entry.port.calls) == 3

    virtual.play(story)


def test_stream_goes_on_after_a_target_that_cannot_be_reached():
    async def story():
        script = [
            fakes.broken_events(1, 2),
            'refused connection',
            fakes.events(3, 4),
        ]
        entry = fakes.Entry(script, held=fakes.table(), count=3, slots=1)
        await asyncio.sleep(1)
        # Later than a first start may be, but soon after the last event.
        arrived_ms = entry.clock.now_ms() - 1100
        spare = identifiers.TargetId('drafts-2')
        entry.loads.note_start(spare)
        for number in range(3):
            target = identifiers.TargetId(f'drafts-{number}')
            entry.loads.note_success(target, 2000)
        sending = asyncio.ensure_future(
            entry.send('/note/x', arrived_ms=arrived_ms),
        )
        await asyncio.sleep(0.5)
        assert len(entry.port.calls) == 2
        entry.loads.note_end(spare)
        outcome, caller = await sending
        assert outcome.verdict is RAN
        assert caller.body == whole_stream(4)

    virtual.play(story)


def test_failures_that_may_not_be_repeated_are_told_as_they_are():
    async def story():
        failures = [fakes.FakeAnswer(status=500) for _one in range(6)]
        entry = fakes.Entry(failures, held=fakes.table())
        # So much that one repeat is left.
        entry.entries = 14
        sends = [
            asyncio.ensure_future(entry.send('/look/x', request_id=f'r{one}'))
            for one in range(4)
        ]
        ends = await asyncio.gather(*sends)
        assert [outcome.verdict for outcome, _caller in ends] == [RAN] * 4
        assert {caller.head.status for _outcome, caller in ends} <= {200, 500}
        assert len(entry.port.calls) == 5

    virtual.play(story)


def test_begun_stream_without_numbers_is_not_sent_again():
    async def story():
        broken = fakes.broken_events()
        broken._parts = (b'data: a\n\n', b'data: b\n\n')
        again = fakes.events()
        again._parts = (b'data: a\n\n', b'data: b\n\n', b'data: c\n\n')
        entry = fakes.Entry([broken, again], held=fakes.table())
        outcome, caller = await entry.send('/note/x')
        assert outcome.verdict is MAY_HAVE_RUN
        assert caller.body == b'data: a\n\ndata: b\n\n'
        assert not caller.is_whole

    virtual.play(story)


def test_begun_stream_without_numbers_has_no_second_call():
    async def story():
        first = fakes.events()
        first._parts = (b'data: a\n\n', 5.0, b'data: b\n\n')
        second = fakes.events()
        second._parts = (b'data: a\n\n', b'data: b\n\n')
        entry = fakes.Entry([first, second], held=fakes.table())
        news = asyncio.ensure_future(stall(entry, after_s=0.3))
        outcome, caller = await entry.send('/note/x')
        news.cancel()
        assert outcome.verdict is RAN
        assert caller.body == b'data: a\n\ndata: b\n\n'

    virtual.play(story)
