"""Outcomes of forwarded requests, and how often targets run them."""

import asyncio

import pytest

from carobslip import (
    configuration,
    forwarding,
    identifiers,
    targets,
    verdicts,
)
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
    'booking refused as not run is sent again': (
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
    'booking refused twice is sent again after a pause': (
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
    'booking without a connection is sent again': (
        '/book/x',
        ['refused connection', fakes.FakeAnswer()],
        RAN,
        1,
        2,
    ),
    'booking at another incarnation of a target': (
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
    'booking that fails keeps the error of the target': (
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
    'look-up that fails is sent to another target': (
        '/look/x',
        [fakes.FakeAnswer(status=500), fakes.FakeAnswer()],
        RAN,
        2,
        2,
    ),
    'look-up that fails twice keeps the error of the target': (
        '/look/x',
        [fakes.FakeAnswer(status=500), fakes.FakeAnswer(status=500)],
        RAN,
        2,
        2,
    ),
    'look-up lost twice': ('/look/x', ['lost', 'lost'], MAY_HAVE_RUN, 2, 2),
    'stream that is not resumable breaks off': (
        '/once/x',
        [fakes.broken_events(1, 2)],
        MAY_HAVE_RUN,
        1,
        1,
    ),
    'stream that is not resumable is not sent twice': (
        '/once/x',
        ['lost'],
        MAY_HAVE_RUN,
        1,
        1,
    ),
}


@pytest.mark.parametrize('name', ATTEMPTS)
def test_attempts_end_with_the_right_verdict_and_number_of_runs(name):
    path, script, verdict, runs, sends = ATTEMPTS[name]

    async def scenario():
        entry = fakes.Entry(script, held=fakes.table())
        outcome, caller = await entry.send(path)
        assert outcome.verdict is verdict
        assert len(entry.port.runs) == runs
        assert len(entry.port.calls) == sends
        assert caller.is_whole is (verdict is RAN)
        if verdict is NOT_RUN:
            assert outcome.retry_after_ms

    virtual.run(scenario)


# name: (path, key, reason)
REFUSALS = {
    'unknown route': ('/else/x', fakes.KEY, Reason.UNKNOWN_ROUTE),
    'part of a prefix': ('/boo/x', fakes.KEY, Reason.UNKNOWN_ROUTE),
    'unknown key': ('/book/x', 'wrong', Reason.UNKNOWN_KEY),
    'no key': ('/book/x', None, Reason.UNKNOWN_KEY),
}


@pytest.mark.parametrize('name', REFUSALS)
def test_request_without_route_or_key_is_refused_unsent(name):
    path, key, reason = REFUSALS[name]

    async def scenario():
        entry = fakes.Entry(held=fakes.table())
        outcome, _caller = await entry.send(path, api_key=key)
        assert (outcome.verdict, outcome.reason) == (NOT_RUN, reason)
        assert not entry.port.calls

    virtual.run(scenario)


def test_public_route_needs_no_key_and_names_no_team():
    async def scenario():
        entry = fakes.Entry(held=fakes.table())
        outcome, _caller = await entry.send('/open/x', api_key=None)
        assert outcome.verdict is RAN
        assert entry.port.calls[0].team is None

    virtual.run(scenario)


def test_team_of_the_key_is_sent_to_the_target():
    async def scenario():
        entry = fakes.Entry(held=fakes.table())
        await entry.send('/book/x')
        assert entry.port.calls[0].team == fakes.TEAM

    virtual.run(scenario)


def test_key_is_served_only_while_the_configuration_is_confirmed():
    async def scenario():
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

    virtual.run(scenario)


def test_known_key_is_served_under_an_old_configuration_if_operators_allow_it():
    # Guards against: sound requests are refused while the store is away.
    async def scenario():
        entry = fakes.Entry(held=fakes.table())
        entry.forwarder.rules = forwarding.ForwardingRules(
            key_age_max_ms=4500, refuses_old_keys=False
        )
        await asyncio.sleep(4.6)
        outcome, _caller = await entry.send('/book/x')
        assert outcome.verdict is RAN
        outcome, _caller = await entry.send('/book/x', api_key='unknown')
        assert outcome.reason is Reason.NOT_CURRENT

    virtual.run(scenario)


def test_request_waits_for_the_configuration_of_a_starting_entry():
    async def scenario():
        entry = fakes.Entry()
        asyncio.get_running_loop().call_later(0.2, entry.adopt, fakes.table())
        outcome, _caller = await entry.send('/book/x')
        assert outcome.verdict is RAN

    virtual.run(scenario)


def test_starting_entry_refuses_without_denying_the_route():
    async def scenario():
        entry = fakes.Entry()
        outcome, _caller = await entry.send('/book/x')
        assert outcome.reason is Reason.NO_CONFIGURATION
        assert outcome.retry_after_ms

    virtual.run(scenario)


def test_entry_refuses_after_a_pause_until_it_is_current():
    async def scenario():
        entry = fakes.Entry(held=fakes.table())
        entry.is_current = False
        outcome, _caller = await entry.send('/book/x')
        assert (outcome.verdict, outcome.reason) == (NOT_RUN, Reason.PAUSED)

    virtual.run(scenario)


def test_broken_stream_resumes_at_another_target_in_one_answer():
    async def scenario():
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

    virtual.run(scenario)


def test_stream_with_a_gap_is_never_completed():
    async def scenario():
        script = [fakes.broken_events(1, 2), fakes.events(4, 5)]
        entry = fakes.Entry(script, held=fakes.table())
        outcome, caller = await entry.send('/note/x')
        assert outcome.verdict is MAY_HAVE_RUN
        assert not caller.is_whole
        assert b'id: 4' not in caller.body

    virtual.run(scenario)


def test_duplicate_events_are_forwarded_once():
    async def scenario():
        script = [fakes.broken_events(1, 2), fakes.events(3, 3, 4, 3)]
        entry = fakes.Entry(script, held=fakes.table())
        _outcome, caller = await entry.send('/note/x')
        assert caller.body == fakes.numbered(1, 2, 3, 4)
        assert caller.is_whole

    virtual.run(scenario)


def test_error_of_the_second_target_is_not_appended_to_a_begun_answer():
    async def scenario():
        script = [fakes.broken_events(1), fakes.FakeAnswer(status=500)]
        entry = fakes.Entry(script, held=fakes.table())
        outcome, caller = await entry.send('/note/x')
        assert outcome.verdict is MAY_HAVE_RUN
        assert not caller.is_whole

    virtual.run(scenario)


def test_disconnect_of_the_caller_cancels_the_call():
    async def scenario():
        entry = fakes.Entry(['hangs'], held=fakes.table())
        sending = asyncio.ensure_future(entry.send('/note/x'))
        await asyncio.sleep(0.1)
        sending.cancel()
        await asyncio.wait([sending])
        assert len(entry.port.cancelled) == 1
        assert entry.loads.own_requests(entry.port.calls[0].target) == 0

    virtual.run(scenario)


def test_time_left_exceeds_neither_patience_nor_route_timeout():
    async def scenario():
        entry = fakes.Entry([refusal()], held=fakes.table())
        await entry.send('/book/x', patience_ms=600)
        await entry.send('/book/x', patience_ms=60_000)
        first, second, third = (one.time_left_ms for one in entry.port.calls)
        assert first <= 600
        assert second < first
        assert third <= 8000

    virtual.run(scenario)


def test_hanging_target_ends_at_the_time_limit_as_may_have_run():
    async def scenario():
        entry = fakes.Entry(['hangs'], held=fakes.table())
        outcome, _caller = await entry.send('/book/x', patience_ms=600)
        assert outcome.verdict is MAY_HAVE_RUN
        assert outcome.reason is Reason.REPLY_TIMEOUT
        assert entry.clock.now_ms() <= 601

    virtual.run(scenario)


def test_stream_that_sends_a_byte_now_and_then_ends_at_the_time_limit():
    async def scenario():
        answer = fakes.events(1)
        answer._parts += (1.0, b':') * 600
        entry = fakes.Entry([answer], held=fakes.table())
        outcome, caller = await entry.send('/note/x', patience_ms=60_000)
        assert outcome.verdict is MAY_HAVE_RUN
        assert not caller.is_whole
        assert entry.clock.now_ms() <= 8001
        assert entry.port.cancelled == [entry.port.calls[0].target]

    virtual.run(scenario)


def test_slow_stream_that_sends_whole_events_is_not_cut():
    async def scenario():
        answer = fakes.events_with_pauses(1, 1.5, 2, 1.5, 3, 1.5, 4)
        entry = fakes.Entry([answer], held=fakes.table())
        outcome, caller = await entry.send('/note/x', patience_ms=60_000)
        assert outcome.verdict is RAN
        assert caller.is_whole
        assert len(entry.port.calls) == 1

    virtual.run(scenario)


def test_repeats_stay_within_the_share_of_this_entry():
    async def scenario():
        entry = fakes.Entry(['lost'] * 200, held=fakes.table())
        entry.entries = 4
        for _number in range(40):
            entry.loads.drop_unlisted(())
            await entry.send('/look/x')
        repeats = len(entry.port.calls) - 40
        # A quarter of 20 extra repeats and a fifth of the requests, less the
        # margin.
        assert 0 < repeats <= 0.7 * (40 * 0.2 + 20 / 4)

    virtual.run(scenario)


def test_withdrawn_data_centre_and_draining_targets_get_no_requests():
    async def scenario():
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

    virtual.run(scenario)


def test_stream_moves_away_from_a_stalled_group():
    async def scenario():
        script = [fakes.broken_events(1, 2), fakes.events(3, 4)]
        script[0]._broken = False
        script[0]._parts += (b'',) * 1000
        entry = fakes.Entry(script, held=fakes.table())
        sending = asyncio.ensure_future(entry.send('/note/x'))
        await asyncio.sleep(0.5)
        first = entry.port.calls[0].target
        entry.forwarder.stalls.store_report([first], is_stalled=True)
        entry.loads.avoid(first, 500)
        outcome, caller = await sending
        assert outcome.verdict is RAN
        assert caller.is_whole
        assert [call.last_event for call in entry.port.calls] == [None, '2']

    virtual.run(scenario)


def test_booking_is_not_repeated_when_its_group_stalls():
    async def scenario():
        entry = fakes.Entry(['hangs'], held=fakes.table())
        sending = asyncio.ensure_future(entry.send('/book/x', patience_ms=900))
        await asyncio.sleep(0.1)
        first = entry.port.calls[0].target
        entry.forwarder.stalls.store_report([first], is_stalled=True)
        outcome, _caller = await sending
        assert outcome.verdict is MAY_HAVE_RUN
        assert len(entry.port.calls) == 1

    virtual.run(scenario)


def test_stalled_stream_keeps_its_slot_until_another_is_free():
    async def scenario():
        entry = fakes.Entry(['hangs', 'hangs'], held=fakes.table(), slots=1)
        sending = asyncio.ensure_future(entry.send('/note/x'))
        await asyncio.sleep(0.1)
        first = entry.port.calls[0].target
        other = {'drafts-0': 'drafts-1', 'drafts-1': 'drafts-0'}[first]
        entry.loads.note_start(other)
        entry.forwarder.stalls.store_report([first], is_stalled=True)
        entry.loads.avoid(first, 500)
        await asyncio.sleep(0.3)
        assert len(entry.port.calls) == 1
        entry.loads.note_end(other)
        await asyncio.sleep(0.1)
        assert len(entry.port.calls) == 2
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        assert entry.loads.own_requests(first) == 0
        assert entry.loads.own_requests(other) == 0

    virtual.run(scenario)


def whole_stream(last):
    """Returns the body of a complete stream of ``last`` events."""
    return b''.join(b'id: %d\ndata: x\n\n' % one for one in range(1, last + 1))


async def stall(entry, *, after_s, again_s=0.2, seconds=2.0):
    """Repeatedly reports the first target as stalled."""
    await asyncio.sleep(after_s)
    target = entry.port.calls[0].target
    for _number in range(int(seconds / again_s)):
        entry.forwarder.stalls.store_report([target], is_stalled=True)
        entry.loads.avoid(target, 500)
        await asyncio.sleep(again_s)


def test_stalled_call_survives_an_unreachable_second_target():
    async def scenario():
        script = [
            fakes.events_with_pauses(1, 2, 1.2, 3, 4),
            'refused connection',
            'refused connection',
        ]
        entry = fakes.Entry(script, held=fakes.table(), count=3)
        reports = asyncio.ensure_future(stall(entry, after_s=0.3))
        outcome, caller = await entry.send('/note/x')
        reports.cancel()
        assert outcome.verdict is RAN
        assert caller.is_whole
        assert caller.body == whole_stream(4)

    virtual.run(scenario)


def test_stalled_call_survives_a_rejection_by_the_second_target():
    async def scenario():
        script = [fakes.events_with_pauses(1, 2, 1.2, 3), refusal(), refusal()]
        entry = fakes.Entry(script, held=fakes.table(), count=3)
        reports = asyncio.ensure_future(stall(entry, after_s=0.3))
        outcome, caller = await entry.send('/note/x')
        reports.cancel()
        assert outcome.verdict is RAN
        assert caller.body == whole_stream(3)

    virtual.run(scenario)


@pytest.mark.parametrize('streams', [12, 40])
def test_second_calls_of_stalled_streams_stay_within_the_budget(streams):
    async def scenario():
        script = [
            fakes.events_with_pauses(1, 2, 1.4, 3, 4) for _one in range(streams)
        ]
        script += [fakes.events(3, 4) for _one in range(streams)]
        entry = fakes.Entry(script, held=fakes.table(), slots=streams)
        entry.entries = 9
        entry.loads.store_report(
            identifiers.TargetId('drafts-0'), 0, valid_ms=1500
        )
        entry.loads.avoid(identifiers.TargetId('drafts-1'), 200)
        sends = [
            asyncio.ensure_future(
                entry.send('/note/x', request_id=f'r{number}'),
            )
            for number in range(streams)
        ]
        await asyncio.sleep(0.3)
        assert {call.target for call in entry.port.calls} == {'drafts-0'}
        entry.loads.store_report(
            identifiers.TargetId('drafts-1'), 0, valid_ms=1500
        )
        await stall(entry, after_s=0)
        ends = await asyncio.gather(*sends)
        assert [one.verdict for one, _caller in ends] == [RAN] * streams
        bodies = {caller.body for _one, caller in ends}
        assert bodies == {whole_stream(4)}
        # A ninth of the 20 extra repeats, and a fifth of the requests.
        repeats = len(entry.port.calls) - streams
        assert repeats <= streams * 0.2 + 20 / 9

    virtual.run(scenario)


def test_late_stall_report_does_not_move_a_working_stream():
    async def scenario():
        steps = [step for number in range(1, 21) for step in (number, 0.1)]
        entry = fakes.Entry(
            [fakes.events_with_pauses(*steps)],
            held=fakes.table(),
        )
        reports = asyncio.ensure_future(stall(entry, after_s=0.25))
        outcome, caller = await entry.send('/note/x')
        reports.cancel()
        assert outcome.verdict is RAN
        assert caller.body == whole_stream(20)
        assert len(entry.port.calls) == 1

    virtual.run(scenario)


def test_second_call_is_cancelled_when_the_first_target_resumes():
    async def scenario():
        script = [
            fakes.events_with_pauses(1, 2, 0.9, 3, 0.4, 4, 5),
            fakes.events_with_pauses(0.6, 3, 4, 5),
        ]
        entry = fakes.Entry(script, held=fakes.table())
        reports = asyncio.ensure_future(stall(entry, after_s=0.3))
        outcome, caller = await entry.send('/note/x')
        reports.cancel()
        assert outcome.verdict is RAN
        assert caller.body == whole_stream(5)
        first, second = (call.target for call in entry.port.calls)
        assert entry.port.cancelled == [second]
        assert entry.loads.own_requests(first) == 0
        assert entry.loads.own_requests(second) == 0

    virtual.run(scenario)


def test_first_call_is_cancelled_when_the_second_target_sends_first():
    async def scenario():
        script = [
            fakes.events_with_pauses(1, 2, 5.0, 3),
            fakes.events_with_pauses(0.1, 3, 3.0, 4),
        ]
        entry = fakes.Entry(script, held=fakes.table())
        reports = asyncio.ensure_future(stall(entry, after_s=0.3))
        sending = asyncio.ensure_future(entry.send('/note/x'))
        await asyncio.sleep(0.9)
        first, second = entry.port.calls
        assert second.last_event == '2'
        assert entry.port.cancelled == [first.target]
        outcome, caller = await sending
        reports.cancel()
        assert outcome.verdict is RAN
        assert caller.body == whole_stream(4)

    virtual.run(scenario)


def test_disconnect_of_the_caller_cancels_the_calls_at_both_targets():
    async def scenario():
        entry = fakes.Entry(['hangs', 'hangs'], held=fakes.table())
        sending = asyncio.ensure_future(entry.send('/note/x'))
        await stall(entry, after_s=0.1, seconds=0.8)
        assert len(entry.port.calls) == 2
        assert not entry.port.cancelled
        sending.cancel()
        await asyncio.wait([sending])
        targets_called = {call.target for call in entry.port.calls}
        assert set(entry.port.cancelled) == targets_called
        assert all(entry.loads.own_requests(one) == 0 for one in targets_called)

    virtual.run(scenario)


def test_error_of_the_second_target_does_not_replace_a_late_answer():
    async def scenario():
        late = fakes.FakeAnswer(parts=(1.5, b'late'))
        script = [late, fakes.FakeAnswer(status=500), fakes.FakeAnswer()]
        entry = fakes.Entry(script, held=fakes.table(), count=3)
        reports = asyncio.ensure_future(stall(entry, after_s=0.1))
        outcome, caller = await entry.send('/look/x')
        reports.cancel()
        assert outcome.verdict is RAN
        assert (caller.head.status, caller.body) == (200, b'late')
        assert len(entry.port.calls) == 2

    virtual.run(scenario)


def test_lost_stream_is_not_refused_because_of_a_long_queue():
    async def scenario():
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
        entry.forwarder.admission.recheck_queues()
        outcome, caller = await sending
        assert outcome.verdict is RAN
        assert caller.body == whole_stream(4)

    virtual.run(scenario)


def test_reservation_of_an_unreached_target_is_used_for_the_next():
    async def scenario():
        script = ['lost', 'refused connection', fakes.FakeAnswer()]
        entry = fakes.Entry(script, held=fakes.table(), count=3)
        # With this many entries, one repeat is left.
        entry.entries = 14
        outcome, _caller = await entry.send('/look/x')
        assert outcome.verdict is RAN
        assert len(entry.port.calls) == 3

    virtual.run(scenario)


def test_broken_stream_resumes_after_an_unreachable_target():
    async def scenario():
        script = [
            fakes.broken_events(1, 2),
            'refused connection',
            fakes.events(3, 4),
        ]
        entry = fakes.Entry(script, held=fakes.table(), count=3, slots=1)
        await asyncio.sleep(1)
        # Past the limit for a first start, but shortly after the last event.
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

    virtual.run(scenario)


def test_failures_beyond_the_budget_keep_the_error_of_the_target():
    async def scenario():
        failures = [fakes.FakeAnswer(status=500) for _one in range(6)]
        entry = fakes.Entry(failures, held=fakes.table())
        # With this many entries, one repeat is left.
        entry.entries = 14
        sends = [
            asyncio.ensure_future(entry.send('/look/x', request_id=f'r{one}'))
            for one in range(4)
        ]
        ends = await asyncio.gather(*sends)
        assert [outcome.verdict for outcome, _caller in ends] == [RAN] * 4
        assert {caller.head.status for _outcome, caller in ends} <= {200, 500}
        assert len(entry.port.calls) == 5

    virtual.run(scenario)


def test_begun_stream_without_numbers_is_not_sent_again():
    async def scenario():
        broken = fakes.broken_events()
        broken._parts = (b'data: a\n\n', b'data: b\n\n')
        again = fakes.events()
        again._parts = (b'data: a\n\n', b'data: b\n\n', b'data: c\n\n')
        entry = fakes.Entry([broken, again], held=fakes.table())
        outcome, caller = await entry.send('/note/x')
        assert outcome.verdict is MAY_HAVE_RUN
        assert caller.body == b'data: a\n\ndata: b\n\n'
        assert not caller.is_whole

    virtual.run(scenario)


def test_begun_stream_without_numbers_has_no_second_call():
    async def scenario():
        first = fakes.events()
        first._parts = (b'data: a\n\n', 5.0, b'data: b\n\n')
        second = fakes.events()
        second._parts = (b'data: a\n\n', b'data: b\n\n')
        entry = fakes.Entry([first, second], held=fakes.table())
        reports = asyncio.ensure_future(stall(entry, after_s=0.3))
        outcome, caller = await entry.send('/note/x')
        reports.cancel()
        assert outcome.verdict is RAN
        assert caller.body == b'data: a\n\ndata: b\n\n'

    virtual.run(scenario)
