"""Guards against slots that are used twice, lost or left unused.

Entries ask the broker of a service for its slots. Messages are lost, and entries
end, pause or are cut off while requests wait.
"""

import asyncio
import random
import types

import pytest

from carobslip import (
    control,
    directory,
    forwarding,
    identifiers,
    membership,
    observability,
    slotbroker,
    verdicts,
)
from carobslip.processes import _entry_slots, _load_reception
from tests.fakes import forwarding as fakes
from tests.fakes import host, slot_entries, virtual

Event = observability.Event


async def wait_for(task, within_s):
    """Returns the result of a task that must end soon."""
    done, _pending = await asyncio.wait([task], timeout=within_s)
    assert done, 'no decision'
    return task.result()


@host.virtual
async def test_slot_that_becomes_free_is_used_by_another_entry_at_once():
    fleet = slot_entries.SlotFleet()
    broker, one, two = await fleet.start()
    place = await wait_for(one.ask(), 0.01)
    waiting = two.ask()
    await asyncio.sleep(0.1)
    own = broker.ask()
    await asyncio.sleep(0.1)
    assert not waiting.done()
    one.admission.release(place)
    place = await wait_for(waiting, 0.01)
    two.admission.release(place)
    await wait_for(own, 0.01)
    # Nothing is repeated without need.
    assert fleet.sent == {'AskSlot': 2, 'PushSlot': 1, 'ReleaseSlots': 2}


@host.virtual
async def test_service_that_is_not_contended_causes_no_message():
    fleet = slot_entries.SlotFleet()
    _broker, one, _two = await fleet.start()
    place = await wait_for(one.ask(service=slot_entries.OTHER), 0.01)
    waiting = one.ask(service=slot_entries.OTHER, wait_ms=200)
    assert one.admission.waiting(slot_entries.OTHER) == 0
    await asyncio.sleep(0.05)
    assert one.admission.waiting(slot_entries.OTHER) == 1
    one.admission.release(place)
    assert not isinstance(await wait_for(waiting, 0.06), forwarding.Refusal)
    assert not fleet.sent


def _refuse_as_older_version(fleet, broker):
    for kind in (control.AskSlot, control.WithdrawSlot):
        broker.node._handlers.pop(kind)


def _cut_off(fleet, broker):
    for entry in fleet.entries:
        if entry is not broker:
            fleet.network.cut(entry.host.name, broker.host.name)


def _wake_from_pause(fleet, broker):
    broker.server._is_current = lambda: False


def _break(fleet, broker):
    broker.broker.ask = broker.broker.queue.pop


@pytest.mark.parametrize(
    'fail', [_refuse_as_older_version, _cut_off, _wake_from_pause, _break]
)
def test_entry_decides_itself_while_the_broker_is_silent(fail):
    async def scenario():
        fleet = slot_entries.SlotFleet(count=3)
        broker, one, _two = await fleet.start()
        fail(fleet, broker)
        for _request in range(3):
            place = await wait_for(one.ask(), 0.1)
            assert not isinstance(place, forwarding.Refusal)
        assert fleet.sent['AskSlot'] == 1
        assert len(one.events(Event.BROKER_SILENT)) == 1
        await asyncio.sleep(0.6)
        await wait_for(one.ask(wait_ms=50), 0.5)
        assert fleet.sent['AskSlot'] == 2

    host.run_virtual(scenario())


@host.virtual
async def test_entry_whose_own_broker_fails_decides_itself():
    fleet = slot_entries.SlotFleet()
    broker, _one, _two = await fleet.start()
    _break(fleet, broker)
    place = await wait_for(broker.ask(), 0.01)
    assert not isinstance(place, forwarding.Refusal)
    assert broker.events(Event.BROKER_SILENT)


@host.virtual
async def test_suspicion_alone_does_not_split_the_queue():
    fleet = slot_entries.SlotFleet(count=3)
    broker, one, _two = await fleet.start()
    fleet.suspects.add(broker.record.instance)
    one.choice.note_members_changed()
    assert one.choice.find(slot_entries.SERVICE) == broker.record
    _cut_off(fleet, broker)
    await wait_for(one.ask(), 0.2)
    assert one.choice.find(slot_entries.SERVICE) in fleet.members
    assert one.choice.find(slot_entries.SERVICE) != broker.record


@host.virtual
async def test_requests_that_wait_at_a_broker_that_ends_are_asked_at_the_next():
    fleet = slot_entries.SlotFleet(count=2)
    broker, one, two = await fleet.start()
    places = [await wait_for(one.ask(), 0.01) for _slot in range(2)]
    waiting = [one.ask(), two.ask()]
    await asyncio.sleep(0.05)
    fleet.end(broker)
    for entry in (one, two):
        # The next broker knows from the reports that nothing is free.
        entry.broker.free.clear()
    await asyncio.sleep(0.6)
    next_broker = min(
        (one, two),
        key=lambda entry: entry.record != one.choice.find(slot_entries.SERVICE),
    )
    assert len(next_broker.broker.queue) == 2
    next_broker.broker.free += [place.target for place in places]
    assert len(one.broker.outcomes) + len(two.broker.outcomes) == 0
    for task in waiting:
        assert not isinstance(await wait_for(task, 0.3), forwarding.Refusal)


@host.virtual
async def test_requests_wait_no_longer_after_a_broker_has_ended_unnoticed():
    fleet = slot_entries.SlotFleet()
    broker, one, _two = await fleet.start()
    place = await wait_for(one.ask(), 0.01)
    asked_ms = one.clock.now_ms()
    waiting = one.ask(wait_ms=900)
    await asyncio.sleep(0.05)
    broker.host.kill()
    await asyncio.sleep(0.4)
    assert one.events(Event.BROKER_SILENT)
    refusal = await wait_for(waiting, 2)
    assert isinstance(refusal, forwarding.Refusal)
    assert one.clock.now_ms() - asked_ms <= 960
    one.admission.release(place)


@host.virtual
async def test_slots_of_an_entry_that_ends_are_used_by_others():
    fleet = slot_entries.SlotFleet()
    _broker, one, two = await fleet.start()
    await wait_for(one.ask(), 0.01)
    waiting = two.ask()
    await asyncio.sleep(0.05)
    fleet.end(one)
    await wait_for(waiting, 0.01)


@host.virtual
async def test_entry_that_wakes_from_a_pause_does_not_use_old_grants():
    fleet = slot_entries.SlotFleet()
    broker, one, two = await fleet.start()
    place = await wait_for(two.ask(), 0.01)
    waiting = one.ask(wait_ms=3000)
    await asyncio.sleep(0.1)
    one.host.freeze()
    two.admission.release(place)
    await asyncio.sleep(1)
    assert broker.broker.leases
    # Another request waits for the slot that the pause keeps unused.
    next_one = two.ask(wait_ms=3000)
    one.host.thaw()
    await wait_for(next_one, 0.1)
    assert not waiting.done()
    assert one.events(Event.GRANT_NOT_USED)


@host.virtual
async def test_halves_of_a_partition_start_at_most_twice_the_capacity():
    fleet = slot_entries.SlotFleet(entries=6, count=2, slots=2)
    await fleet.start()
    halves = fleet.entries[:3], fleet.entries[3:]
    for one in halves[0]:
        for other in halves[1]:
            fleet.network.cut(one.host.name, other.host.name)
    for half in halves:
        for entry in half:
            entry.members = [other.record for other in half]
            entry.choice.note_members_changed()
    asked = [
        entry.ask(wait_ms=300)
        for entry in fleet.entries
        for _request in range(5)
    ]
    places = await asyncio.gather(*asked)
    started = [
        place for place in places if not isinstance(place, forwarding.Refusal)
    ]
    assert 4 <= len(started) <= 8


@host.virtual
async def test_lost_messages_leave_no_slot_unused():
    fleet = slot_entries.SlotFleet()
    broker, one, two = await fleet.start()
    place = await wait_for(one.ask(), 0.01)
    waiting = two.ask()
    await asyncio.sleep(0.05)
    fleet.lost.update(('ReleaseSlots', 'PushSlot'))
    one.admission.release(place)
    place = await wait_for(waiting, 0.7)
    two.admission.release(place)
    await asyncio.sleep(0.1)
    assert broker.broker.free
    assert not broker.broker.leases


@host.virtual
async def test_message_that_arrives_twice_does_not_return_a_slot_in_use():
    fleet = slot_entries.SlotFleet()
    broker, one, two = await fleet.start()
    fleet.network.repeat_ratio = 1.0
    place = await wait_for(one.ask(), 0.01)
    waiting = two.ask()
    await asyncio.sleep(0.3)
    one.admission.release(place)
    await wait_for(waiting, 0.01)
    await asyncio.sleep(0.5)
    assert len(broker.broker.leases) == 1


@host.virtual
async def test_request_waits_at_one_broker_only():
    fleet = slot_entries.SlotFleet()
    broker, one, two = await fleet.start()
    await wait_for(one.ask(), 0.01)
    waiting = one.ask()
    await asyncio.sleep(0.05)
    one.members = [two.record]
    one.choice.note_members_changed()
    two.broker.free.clear()
    await asyncio.sleep(0.4)
    assert len(two.broker.queue) == 1
    assert not broker.broker.queue
    assert not waiting.done()


@host.virtual
async def test_request_whose_caller_left_is_not_started():
    fleet = slot_entries.SlotFleet()
    broker, one, two = await fleet.start()
    place = await wait_for(two.ask(), 0.01)
    waiting = one.ask()
    await asyncio.sleep(0.05)
    ticket = next(iter(broker.broker.queue))
    fleet.lost.update(('WithdrawSlot',))
    waiting.cancel()
    await asyncio.sleep(0.01)
    two.admission.release(place)
    await asyncio.sleep(0.5)
    assert not broker.broker.leases
    late = slotbroker.SlotGranted(ticket=ticket, lease='late', target='t0')
    await one.node.ask(
        one.record.control_address,
        control.PushSlot(granted=(late,)),
        answer=control.Noted,
        timeout_ms=50,
    )
    assert one.events(Event.GRANT_NOT_USED)
    assert not one.exchange._held


@host.virtual
async def test_queued_requests_are_refused_when_a_stop_is_near():
    fleet = slot_entries.SlotFleet()
    broker, one, _two = await fleet.start()
    await wait_for(one.ask(), 0.01)
    waiting = one.ask()
    resumed = one.ask(may_have_run=True)
    await asyncio.sleep(0.05)
    one.admission.close()
    refusal = await wait_for(waiting, 0.01)
    assert refusal.reason == 'no new requests'
    await asyncio.sleep(0.05)
    assert len(broker.broker.queue) == 1
    assert not resumed.done()


@host.virtual
async def test_target_that_the_entry_avoids_is_neither_asked_for_nor_used():
    fleet = slot_entries.SlotFleet(count=2)
    broker, one, _two = await fleet.start()
    one.loads.avoid('t0', 500)
    place = await wait_for(one.ask(), 0.01)
    assert place.target == 't1'
    assert not one.events(Event.GRANT_NOT_USED)
    waiting = one.ask(wait_ms=200)
    await asyncio.sleep(0.05)
    one.loads.avoid('t1', 500)
    one.admission.release(place)
    assert isinstance(await wait_for(waiting, 0.3), forwarding.Refusal)
    assert one.events(Event.GRANT_NOT_USED)
    assert len(broker.broker.free) == 2


class FakeSlotPort:
    """Grants every request a target that it does not exclude, after a wait."""

    instance = data_centre = 'here'

    def __init__(self):
        self.demands = []
        self.granted = 0
        self.has_granted = asyncio.Event()
        self.outcomes = []

    def new_ticket(self):
        return f'ticket-{len(self.demands)}'

    async def acquire(self, demand):
        self.demands.append(demand)
        await asyncio.sleep(0.2)
        self.granted += 1
        self.has_granted.set()
        names = {'drafts-0', 'drafts-1'} - set(demand.excluded)
        return forwarding.Assignment(
            decision=slotbroker.SlotGranted(
                ticket=demand.ticket, lease=demand.ticket, target=min(names)
            ),
            broker='there',
            known_ms=asyncio.get_running_loop().time() * 1000,
        )

    def release(self, assignment, outcome):
        self.outcomes.append(outcome)


def test_broker_learns_how_a_request_used_its_slot():
    async def scenario():
        port = FakeSlotPort()
        entry = fakes.Entry(
            [fakes.events_with_pauses(0.3, 1, 2, 3)],
            held=fakes.contended_table(),
            slots_port=port,
        )
        outcome, _caller = await entry.send(
            '/note/x', prompt_tokens=2**40, answer_tokens_hint=7
        )
        assert outcome.verdict is verdicts.Verdict.RAN
        demand, ended = port.demands[0], port.outcomes[0]
        assert demand.on_time_left_ms == 500
        assert demand.patience_left_ms == 8000
        assert (demand.team, demand.priority) == (fakes.TEAM, 2)
        assert (demand.prompt_tokens, demand.answer_tokens_hint) == (2**31, 7)
        assert ended.result is slotbroker.SlotResult.SERVED
        assert ended.events == 3
        # Without the wait for the slot.
        assert 300 <= ended.first_event_ms <= 350
        assert 300 <= ended.took_ms <= 400
        assert entry.port.calls[0].urgency == 8
        # The other service is not contended.
        await entry.send('/look/x')
        assert entry.port.calls[1].urgency is None
        assert len(port.demands) == 1

    virtual.run(scenario)


@pytest.mark.parametrize('turns', range(5))
def test_slot_is_returned_if_the_caller_leaves_as_it_is_granted(turns):
    async def scenario():
        port = FakeSlotPort()
        entry = fakes.Entry(
            ['hangs'], held=fakes.contended_table(), slots_port=port
        )
        sending = asyncio.ensure_future(entry.send('/once/x'))
        await port.has_granted.wait()
        for _turn in range(turns):
            await asyncio.sleep(0)
        sending.cancel()
        await asyncio.wait([sending])
        assert len(port.outcomes) == 1

    virtual.run(scenario)


# name: step of the target, result
ENDS = {
    'not reached': ('refused connection', 'UNREACHABLE'),
    'lost': ('lost', 'FAILED'),
    'error': (fakes.FakeAnswer(status=500), 'FAILED'),
    'refused': (fakes.FakeAnswer(status=503, has_not_run=True), 'NOT_RUN'),
    'caller leaves': ('hangs', 'CANCELLED'),
}


@pytest.mark.parametrize('name', ENDS)
def test_slot_is_returned_however_its_use_ends(name):
    async def scenario():
        step, result = ENDS[name]
        port = FakeSlotPort()
        entry = fakes.Entry(
            [step], held=fakes.contended_table(), slots_port=port
        )
        await entry.send('/once/x', patience_ms=600)
        assert port.outcomes[0].result.name == result
        assert len(port.outcomes) == port.granted
        for record in entry.book.records:
            assert entry.loads.own_requests(record.target) == 0

    virtual.run(scenario)


@host.virtual
async def test_slots_are_kept_for_an_entry_that_leaves_until_it_has_ended():
    fleet = slot_entries.SlotFleet(entries=2)
    own, other = fleet.entries
    member = _Member(own, other.record)
    slots = _entry_slots.EntrySlots(
        member=member,
        candidates=lambda _service: fleet.records,
        cold_rps=lambda _service: 0,
        contended=frozenset,
        pass_figures=lambda _service: None,
        context=forwarding.ProcessContext(
            clock=own.clock,
            generator=random.Random(1),
            log=own.log,
            metrics=observability.NoMetrics(),
        ),
    )
    granted = slots.server.ask(_demand(other, ticket='other'))
    assert isinstance(granted, slotbroker.SlotGranted)
    member.update(other.record, control.MemberState.LEAVING)
    waiting = asyncio.ensure_future(
        slots.port.acquire(_demand(own, may_have_run=True))
    )
    await asyncio.sleep(0.1)
    assert not waiting.done()
    member.update(other.record, control.MemberState.DEAD)
    assignment = await wait_for(waiting, 0.05)
    assert isinstance(assignment.decision, slotbroker.SlotGranted)
    await slots.close()


def _demand(entry, ticket='own', **changes):
    return slotbroker.SlotDemand(
        ticket=ticket,
        service=slot_entries.SERVICE,
        entry=entry.record.instance,
        data_centre=entry.record.data_centre,
        priority=0,
        on_time_left_ms=1000,
        wait_left_ms=1000,
        patience_left_ms=8000,
        **changes,
    )


class _Member:
    """What an entry knows of itself and of another one."""

    def __init__(self, own, other):
        self.record = own.record
        self.node = own.node
        self.pause_detector = types.SimpleNamespace(is_current=lambda: True)
        self.on_members = lambda: None
        self.table = membership.MemberTable(
            own=self._update(own.record, control.MemberState.ALIVE),
            on_changed=lambda _update: self.on_members(),
        )
        self.fleet = directory.Directory(is_usable=self.table.is_usable)
        for record in (own.record, other):
            self.fleet.add(record)
            self.table.add_listed(record)

    def _update(self, record, state):
        return control.MemberUpdate(
            record=record,
            incarnation=identifiers.Incarnation(1),
            counter=0,
            state=state,
        )

    def update(self, record, state):
        self.table.merge(self._update(record, state))


class RecordingServer:
    """Records what a broker learns from reports."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda targets, *_times, **_named: self.calls.append(
            (name, targets)
        )


@host.virtual
async def test_broker_learns_the_loads_of_contended_services_only():
    entry = fakes.Entry(held=fakes.contended_table(), count=1)
    own = slot_entries.SlotFleet(entries=1).entries[0]
    server = RecordingServer()
    _load_reception.GroupLoadReceiver(
        node=own.node,
        registry=entry.book,
        loads=entry.loads,
        forwarder=entry.forwarder,
        server=server,
        entries=lambda: 1,
        log=own.log,
    )
    members = tuple(one.address for one in entry.book.records)

    async def report(*, is_open):
        load = control.GroupLoad(
            group='g',
            is_open=is_open,
            members_digest=1,
            valid_ms=500,
            avoid_ms=500,
            requests=(3, 3),
            members=members,
        )
        await own.node._handlers[control.GroupLoad](load, own.node.origin)

    for is_open in (True, False, True):
        await report(is_open=is_open)
    loads = ('note_loads', [('drafts-0', 3)])
    names = ['drafts-0']
    assert server.calls == [
        loads,
        ('avoid', names),
        loads,
        ('clear_avoidance', names),
        loads,
    ]
    assert entry.loads.load_of('desk-0') == 3
