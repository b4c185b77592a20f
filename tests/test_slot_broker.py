"""Decisions on slots under contention, in virtual time."""

import itertools
import random

import pytest

from carobslip import slotbroker
from tests.fakes import slot_load, slot_policies

STALLS = ((0, 3000.0, 4500.0), (1, 8000.0, 9500.0))
#: Differences between shares of about 600 callers that chance explains: the
#: standard deviation is 0.02.
CHANCE = 0.03


def surge(priority, now_ms):
    """Least urgent work at 2.3 times its rate, then the most urgent at 1.9."""
    is_surge = (
        4000 <= now_ms < 10_000 and priority == 2,
        7000 <= now_ms < 11_000 and priority == 0,
    )
    return slot_load.RATES[priority] * (
        2.3 * is_surge[0] + 1.9 * is_surge[1] or 1
    )


def play(policy=slot_policies.make_broker, *, seconds=14, **changes):
    load = slot_load.Load(
        seconds=seconds,
        entries=changes.pop('entries', 38),
        seed=changes.pop('seed', 1),
    )
    for name, change in changes.items():
        setattr(load, name, change)
    return load.play(policy(load))


def share(load, result=1, where=lambda caller: True):
    """Returns the part of some callers that had at least a result."""
    chosen = [
        caller.result >= result for caller in load.callers if where(caller)
    ]
    return sum(chosen) / len(chosen)


def by_class(load, result):
    return [
        share(load, result, lambda caller, one=one: caller.priority == one)
        for one in range(3)
    ]


class Scene:
    """A broker with few targets, and a clock."""

    def __init__(self, count=1, slots=1, **ports):
        self.now, self.numbers = 0.0, itertools.count(1)
        self.log = slot_policies.SilentLog()
        self.listed = slot_policies.records(count, slots)
        self.restart(**ports)

    def restart(self, **ports):
        self.broker = slot_policies.make_broker(
            self,
            listed=self.listed,
            log=self.log,
            seed=next(self.numbers),
            **ports,
        )

    def now_ms(self):
        return self.now

    def ask(self, ticket=None, **fields):
        fields = {
            'entry': 'entry-1',
            'data_centre': 'dc-0',
            'priority': 0,
            'on_time_left_ms': 400.0,
            'wait_left_ms': 1200.0,
            'patience_left_ms': 10_000.0,
            **fields,
        }
        ticket = ticket or f'ticket-{next(self.numbers)}'
        return self.broker.ask(
            slotbroker.SlotDemand(ticket=ticket, service='chat', **fields)
        )

    def fill(self, count=1):
        return [self.ask() for _ in range(count)]

    def end(self, granted, result='served', **fields):
        fields = {
            'took_ms': 2000.0,
            'first_event_ms': 100.0,
            'events': 23,
            **fields,
        }
        self.broker.release(
            slotbroker.SlotOutcome(
                lease=granted.lease,
                target=granted.target,
                result=slotbroker.SlotResult(result),
                **fields,
            )
        )

    def advance(self, passed_ms=0.0):
        self.now += passed_ms
        return self.broker.advance()

    def order(self, granted, count):
        """Returns the tickets in the order in which they start."""
        started = []
        for _ in range(count):
            self.end(granted)
            granted = next(filter(is_granted, self.advance()))
            started.append(granted.ticket)
        return started


def is_granted(decision):
    return isinstance(decision, slotbroker.SlotGranted)


def is_refused(decision):
    return isinstance(decision, slotbroker.SlotRefused)


# Orders by arrival alone let a surge of the least urgent class delay all others;
# equal shares waste slots of entries with little demand.
@pytest.mark.parametrize('entries', [7, 38, 100])
def test_surges_and_stalls_do_not_delay_the_most_urgent_class(entries):
    changes = {'rate': surge, 'stalls': STALLS, 'entries': entries}
    brokered = play(**changes)
    first_come = play(
        lambda load: slot_policies.FixedShares(load, 1), **changes
    )
    equal = play(
        lambda load: slot_policies.FixedShares(load, entries), **changes
    )
    for other in (first_come, equal):
        assert share(brokered, 2) > share(other, 2)
        assert by_class(brokered, 2)[0] > by_class(other, 2)[0] + 0.1
    assert by_class(brokered, 1)[0] > 0.95


# The guaranteed grants of the least urgent class, or its longer objective in a
# stall, would make it better served than a more urgent one.
@pytest.mark.parametrize(
    'factors', [(4, 1, 1), (1, 5, 1), (3, 3, 3), (4, 1, 0.3)]
)
def test_no_class_is_served_better_than_a_more_urgent_one(factors):
    load = play(
        seconds=24,
        rate=lambda priority, now_ms: (
            slot_load.RATES[priority] * factors[priority]
        ),
        stalls=STALLS,
    )
    served, on_time = by_class(load, 1), by_class(load, 2)
    for urgent, other in itertools.pairwise(range(3)):
        assert served[urgent] > served[other] - CHANCE
        assert on_time[urgent] > on_time[other] - CHANCE
    assert served[2] >= max(served) / 4


# Without shares by work, the requests of a team that grows fill the queue.
def test_a_large_team_does_not_starve_small_teams():
    changes = {
        'rate': lambda priority, now_ms: 1.6 * slot_load.RATES[priority],
        'team_rate': lambda team, now_ms: (
            10 if team == 0 and now_ms > 4000 else 1
        ),
    }
    brokered = play(**changes)
    first_come = play(
        lambda load: slot_policies.FixedShares(load, 1), **changes
    )

    def small(caller):
        return caller.team > 3 and caller.arrived_ms > 4000

    assert share(brokered, 2, small) > 0.85
    assert share(brokered, 2, small) > share(first_come, 2, small) + 0.3


# An order by expected work within a team would put off its large requests, and
# credit by expected work would prefer them when they return.
@pytest.mark.parametrize('factors', [(1.4, 1.4, 1.4), (1, 1, 10)])
def test_the_largest_requests_are_served_as_often_as_the_others(factors):
    load = play(
        seconds=24,
        rate=lambda priority, now_ms: (
            factors[priority] * surge(priority, now_ms)
        ),
    )
    sizes = sorted(caller.events for caller in load.callers)
    limit = sizes[int(0.9 * len(sizes))]
    large = share(load, 1, lambda caller: caller.events >= limit)
    others = share(load, 1, lambda caller: caller.events < limit)
    assert abs(large - others) < 0.1 * others


# If early retries gained anything, every client would retry at once.
def test_callers_that_retry_at_once_are_served_less_often():
    load = play(
        rate=lambda priority, now_ms: 1.8 * slot_load.RATES[priority],
        delay=lambda caller, refused: (
            10.0
            if caller.number % 2 and caller.asked < 4
            else refused.retry_after_ms
        ),
    )
    at_once = share(load, 2, lambda caller: caller.number % 2)
    as_told = share(load, 2, lambda caller: not caller.number % 2)
    assert at_once <= as_told + CHANCE
    assert share(load, 1, lambda caller: caller.number % 2) <= CHANCE + share(
        load, 1, lambda caller: not caller.number % 2
    )


# A caller that obeys its retry delay would otherwise start over at the end.
def test_a_caller_that_returns_as_told_goes_before_new_ones():
    scene = Scene()
    (held,) = scene.fill()
    refused = scene.ask(content_digest=5, wait_left_ms=1.0)
    scene.ask(content_digest=6, wait_left_ms=1.0)
    fields = {'wait_left_ms': 60_000.0, 'on_time_left_ms': 60_000.0}
    scene.ask('new', **fields)
    assert is_refused(scene.ask('too soon', content_digest=6, **fields))
    scene.now += refused.retry_after_ms
    scene.ask('as told', content_digest=5, **fields)
    assert scene.order(held, 2) == ['as told', 'new']


# Copies of a refused request would all gain its precedence.
def test_only_one_request_returns_for_a_refusal():
    scene = Scene()
    (held,) = scene.fill()
    refused = scene.ask(content_digest=5, wait_left_ms=1.0)
    scene.now += refused.retry_after_ms
    fields = {'wait_left_ms': 60_000.0, 'on_time_left_ms': 60_000.0}
    scene.ask('new', **fields)
    scene.ask('first copy', content_digest=5, **fields)
    scene.ask('second copy', content_digest=5, **fields)
    assert scene.order(held, 3) == ['first copy', 'new', 'second copy']


# A request that cannot be on time would take the slot of one that can.
def test_requests_that_may_have_run_and_then_those_on_time_start_first():
    scene = Scene()
    (held,) = scene.fill()
    fields = {'wait_left_ms': 60_000.0}
    scene.ask('late', on_time_left_ms=0.0, **fields)
    scene.ask('less urgent', priority=1, on_time_left_ms=9000.0, **fields)
    scene.ask('urgent', on_time_left_ms=9000.0, **fields)
    scene.ask('resent', priority=2, on_time_left_ms=0.0, may_have_run=True)
    scene.now += 30
    assert scene.order(held, 4) == ['resent', 'urgent', 'less urgent', 'late']


# Priorities of teams would hide those of routes where all teams have the same one.
def test_routes_order_the_requests_of_teams_of_equal_priority():
    scene = Scene()
    running = scene.ask()
    for ticket, priority, route_priority in (
        ('team less urgent', 2, 0),
        ('route less urgent', 1, 2),
        ('route urgent', 1, 0),
        ('team urgent', 0, 2),
    ):
        scene.ask(
            ticket,
            priority=priority,
            route_priority=route_priority,
            on_time_left_ms=60_000.0,
            wait_left_ms=60_000.0,
            patience_left_ms=90_000.0,
        )
    scene.now += 30
    assert scene.order(running, 4) == [
        'team urgent',
        'route urgent',
        'route less urgent',
        'team less urgent',
    ]


# A request without a chance would use up the time in which its caller retries.
def test_a_request_is_refused_when_more_urgent_ones_make_it_hopeless():
    scene = Scene(slots=5)
    scene.fill(5)
    scene.now += 1100
    waiting = scene.ask('less urgent', priority=1)
    assert isinstance(waiting, slotbroker.SlotQueued)
    for _ in range(3):
        assert not is_refused(
            scene.ask(on_time_left_ms=5000.0, wait_left_ms=5000.0)
        )
    decisions = scene.advance(30)
    assert [one.ticket for one in decisions if is_refused(one)] == [
        'less urgent'
    ]


# Callers that leave before their delay ends, or return all together, are lost.
def test_retry_delays_fit_the_patience_and_more_urgent_callers_return_first():
    scene = Scene(slots=5)
    scene.fill(5)
    for priority in (0, 0, 1, 1, 1, 2, 2, 2):
        scene.ask(priority=priority, on_time_left_ms=9e4, wait_left_ms=9e4)
    delays = {
        priority: [
            scene.ask(
                priority=priority, wait_left_ms=0.0, patience_left_ms=60_000.0
            ).retry_after_ms
            for _ in range(50)
        ]
        for priority in range(3)
    }
    means = [sum(one) / len(one) for one in delays.values()]
    assert means == sorted(means)
    assert all(min(one) >= 400 for one in delays.values())
    assert all(max(one) > 1.3 * min(one) for one in delays.values())
    impatient = [
        scene.ask(wait_left_ms=0.0, patience_left_ms=900.0) for _ in range(50)
    ]
    assert max(one.retry_after_ms for one in impatient) <= 300


# A team that understates its requests would get more work done than others.
def test_hints_that_are_far_too_low_gain_nothing():
    def liar(caller):
        return 1 if caller.team == 0 else caller.events

    changes = {
        'seconds': 20,
        'rate': lambda priority, now_ms: 2 * slot_load.RATES[priority],
        'team_rate': lambda team, now_ms: 1 + team,
    }
    honest, lying = play(**changes), play(hint=liar, **changes)

    def work(load):
        return sum(
            one.events for one in load.callers if one.team == 0 and one.result
        )

    assert work(lying) < 1.1 * work(honest)


# An entry that repeats its message would take a second slot; a delayed message
# would take a slot that nobody uses.
def test_repeated_and_delayed_messages_take_no_slot():
    scene = Scene(slots=2)
    granted = scene.ask('one')
    assert scene.ask('one') == granted
    scene.end(granted)
    scene.end(granted)
    assert is_refused(scene.ask('one'))
    scene.broker.withdraw('two')
    assert is_refused(scene.ask('two'))
    assert [is_granted(one) for one in scene.fill(3)] == [True, True, False]
    assert scene.broker.entry_of('one') == 'entry-1'


# Reports are up to a second old; counted as they arrive, they would hide
# requests of others or count own requests twice.
@pytest.mark.parametrize('seed', range(3))
def test_old_reports_do_not_hide_the_requests_of_others(seed):
    chance, scene = random.Random(seed), Scene(slots=5)
    own, shown, peaks = [], [(0.0, 2)], []
    for _ in range(2000):
        scene.now += chance.uniform(0, 60)
        shown = [one for one in shown if one[0] >= scene.now - 1000]
        total = chance.choice(shown)[1] if shown else len(own) + 2
        scene.broker.store_report('t-0', total, valid_ms=1500.0)
        peaks = [one for one in peaks if one[0] >= scene.now - 1000]
        peak = max([len(own), *(one for _, one in peaks)])
        granted = scene.ask(wait_left_ms=0.0)
        if is_granted(granted):
            own.append(granted)
            assert len(own) <= 5 - max(0, total - peak)
        elif own and chance.random() < 0.5:
            peaks.append((scene.now, len(own)))
            scene.end(own.pop(chance.randrange(len(own))))
        shown.append((scene.now, len(own) + 2))


# After a decline of own leases, requests of others look like own ones.
def test_requests_of_others_are_counted_while_own_leases_decline():
    scene = Scene(slots=5)
    scene.broker.store_report('t-0', 2, valid_ms=1500.0)
    own = scene.fill(3)
    for _ in range(12):
        scene.now += 200
        if own:
            scene.end(own.pop())
        scene.broker.store_report('t-0', len(own) + 2, valid_ms=1500.0)
    assert [is_granted(one) for one in scene.fill(4)] == [True] * 3 + [False]


# Requests of others that have ended would keep their slots in use.
def test_slots_that_others_have_left_are_granted_at_the_next_report():
    scene = Scene(slots=5)
    scene.broker.store_report('t-0', 5, valid_ms=1500.0)
    assert not is_granted(scene.ask(wait_left_ms=0.0))
    scene.broker.store_report('t-0', 1, valid_ms=1500.0)
    assert [is_granted(one) for one in scene.fill(5)] == [True] * 4 + [False]


# A broker that starts anew has no leases, while requests of the former one run.
def test_a_new_broker_counts_requests_of_the_former_one():
    scene = Scene(slots=5)
    scene.fill(4)
    scene.restart()
    scene.broker.store_report('t-0', 4, valid_ms=1500.0)
    assert [is_granted(one) for one in scene.fill(3)] == [True, False, False]
    scene.broker.store_report('t-0', 5, valid_ms=1500.0)
    scene.now += 600
    scene.broker.store_report('t-0', 5, valid_ms=1500.0)
    assert not is_granted(scene.ask())


# Two halves of a partition have a broker each, and see the same free slots.
def test_two_brokers_start_at_most_twice_the_free_slots_of_a_report():
    halves = Scene(slots=5), Scene(slots=5)
    for half in halves:
        half.broker.store_report('t-0', 2, valid_ms=1500.0)
    granted = [is_granted(one) for half in halves for one in half.fill(6)]
    assert granted.count(True) == 2 * 3
    for half in halves:
        half.broker.store_report('t-0', 8, valid_ms=1500.0)
        half.end(half.ask('ticket-2'))
        half.now += 1100
        half.broker.store_report('t-0', 6, valid_ms=1500.0)
        assert not is_granted(half.ask())


# A slot of an entry that is gone, or whose release was lost, would stay in use.
def test_leases_end_with_their_entry_and_with_their_time():
    scene = Scene(slots=2)
    scene.ask(entry='gone')
    scene.ask(entry='entry-1', patience_left_ms=5000.0)
    assert not is_granted(scene.ask('waits', entry='gone'))
    scene.broker.drop_entries(['entry-1'])
    assert is_granted(scene.ask('next'))
    assert scene.broker.waiting('chat') == 0
    scene.advance(6900)
    assert not is_granted(scene.ask(wait_left_ms=0.0))
    scene.advance(200)
    assert is_granted(scene.ask())
    codes = [event.code for event, _ in scene.log.lines]
    assert codes.count(432) == 2


# Requests would fail one after the other at a target that is down.
@pytest.mark.parametrize(
    ('results', 'avoided_ms'),
    [(['failed'], 0), (['failed', 'failed'], 1000), (['unreachable'], 500),
     (['unreachable'] * 9, 4000)],
)  # fmt: skip
def test_a_failing_target_is_avoided(results, avoided_ms):
    scene = Scene()
    for result in results:
        scene.end(scene.ask(), result, events=0)
        scene.now += 4000 * (result != 'failed' and len(results) > 1)
    scene.now -= 4000 * (len(results) > 2)
    if avoided_ms:
        scene.now += avoided_ms - 1
        assert is_refused(scene.ask(wait_left_ms=0.0))
        scene.now += 2
    assert is_granted(scene.ask())


# The five requests of a target that fail together would count as five failures in
# a row, and the target would be avoided for 4 s after it works again.
def test_requests_that_fail_together_count_as_one_failure():
    scene = Scene(slots=5)
    running = scene.fill(5)
    scene.now += 1000
    for granted in running:
        scene.end(granted, 'failed', events=0)
    assert is_granted(scene.ask())


# A target that has just recovered would get as many requests as a healthy one.
def test_an_avoided_target_is_limited_when_it_returns():
    recovered = []
    pacing = slot_policies.NoPacing()
    pacing.note_recovered = recovered.append
    scene = Scene(pacing=pacing)
    scene.end(scene.ask(), 'unreachable', events=0)
    assert recovered == ['t-0']


# Each report of a stalled group would write a line for each target at each entry.
def test_a_stall_is_written_once():
    scene = Scene()
    for _ in range(5):
        scene.broker.avoid('t-0', 3000.0)
        scene.now += 500
    assert [event.code for event, _ in scene.log.lines].count(433) == 1


# A stalled group would take requests that the others could answer in time.
def test_a_stalled_target_gets_nothing_until_it_is_cleared():
    scene = Scene(count=2, slots=5)
    scene.broker.avoid('t-0', 3000.0)
    scene.end(scene.ask(), 'served')
    assert {one.target for one in scene.fill(5)} == {'t-1'}
    scene.broker.clear_avoidance('t-0')
    assert scene.ask().target == 't-0'
    assert not is_granted(scene.ask(excluded=('t-0',)))


# Placement by load alone gives slow targets as much as fast ones.
def test_slow_targets_get_fewer_requests():
    scene = Scene(count=5, slots=5)
    for _ in range(8):
        scene.now += 200
        for granted in scene.fill(5):
            slowness = 4 if granted.target == 't-0' else 1
            scene.end(granted, took_ms=2000.0 * slowness)
    assert [one.target for one in scene.fill(13)].count('t-0') <= 1


# In a lock-step group, the answers of all targets are as slow as the slowest.
def test_targets_that_report_a_slow_pace_get_fewer_requests():
    scene = Scene(count=5, slots=5)
    scene.broker.store_pace('t-0', 3.45, valid_ms=1000.0)
    assert [one.target for one in scene.fill(13)].count('t-0') <= 1


# Traffic between data centres costs money.
def test_targets_in_the_same_data_centre_are_preferred_at_similar_load():
    scene = Scene(count=4, slots=5)
    chosen = [scene.ask(data_centre='dc-1').target for _ in range(6)]
    assert {'t-1', 't-3'} >= set(chosen[:2])
    assert set(chosen) & {'t-0', 't-2'}


# Callers choose tickets, teams and contents; memory must not grow with them.
def test_memory_is_bounded_under_many_tickets_teams_and_digests():
    scene = Scene(slots=5)
    for number in range(100_000):
        scene.now += 0.2
        scene.ask(
            f'{number}',
            team=f'team-{number}',
            content_digest=number + 1,
            priority=number % 300,
            wait_left_ms=1e6 if number % 3 else 0.0,
            on_time_left_ms=1e6,
            may_have_run=number % 7 == 0,
        )
    broker = scene.broker
    assert broker.waiting('chat') <= 4096
    state = broker._services['chat']
    assert len(broker._tickets._ended) <= 4096
    assert len(broker._scheduler.returns) <= 4096
    assert len(state.costs._teams) <= 64
    assert len(state.queue._shares) <= 16
    assert max(len(one._accounts) for one in state.queue._shares.values()) <= 64
    assert len(scene.log.lines) <= 20 * 22 * 2
