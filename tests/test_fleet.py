"""Configuration, membership, draining and pauses in a simulated fleet."""

import asyncio

import msgspec
import pytest

from carobslip import (
    configuration,
    control,
    directory,
    identifiers,
    membership,
    verdicts,
)
from tests.fakes import cluster as clusters
from tests.fakes import host as hosts

RAN = verdicts.Verdict.RAN

#: Requests may queue up to the timeout of their callers.
LONG_QUEUE_WAIT = {'queue_wait_max_ms': 20_000}


def versions(cluster: clusters.Cluster) -> set[int]:
    return {
        member.fleet.holder.version
        for member in cluster.members.values()
        if not member.host.dead
    }


async def _large_fleet(size: int) -> clusters.Cluster:
    cluster = clusters.Cluster(3, clusters.document())
    for number in range(size):
        data_centre = clusters.DATA_CENTRES[number % 3]
        await cluster.add_entry(f'entry-{number}', data_centre)
    await asyncio.sleep(5)
    return cluster


@hosts.virtual
async def test_configuration_change_reaches_all_instances_within_three_seconds():
    cluster = await _large_fleet(60)
    cluster.publish(address_ttl_ms=5000)
    await asyncio.sleep(3)
    assert versions(cluster) == {2}


@hosts.virtual
async def test_only_a_few_instances_watch_the_service():
    cluster = await _large_fleet(30)
    before = cluster.platform.reads
    await asyncio.sleep(60)
    # Six watchers renew a watch every 5 s and poll the list every 0.5 s; the
    # other 24 instances read rarely.
    reads_per_s = (cluster.platform.reads - before) / 60
    assert reads_per_s < 30


@hosts.virtual
async def test_version_never_decreases_when_the_service_is_stale():
    cluster = await clusters.small_cluster()
    old = cluster.platform.text
    cluster.publish(address_ttl_ms=5000)
    await asyncio.sleep(3)
    cluster.platform.stale_text = old
    cluster.kill('guard-desk-1')
    await asyncio.sleep(1)
    await cluster.restart('guard-desk-1')
    await asyncio.sleep(10)
    assert versions(cluster) == {2}


@hosts.virtual
async def test_invalid_document_does_not_replace_the_valid_one():
    cluster = await clusters.small_cluster()
    cluster.publish(services={'booking': {'kind': 'plain', 'targets': []}})
    await asyncio.sleep(3)
    assert versions(cluster) == {1}
    faults = [m.fleet.holder.last_fault for m in cluster.members.values()]
    assert any('$.services' in fault for fault in faults), faults


@hosts.virtual
async def test_split_fleet_converges_on_the_highest_version_when_healed():
    cluster = await clusters.small_cluster()
    left = ['guard-desk-1', 'entry-1', 'guard-engine-1']
    right = [name for name in cluster.members if name not in left]
    for one in left:
        for other in right:
            cluster.network.cut(one, other)
    await asyncio.sleep(10)
    states = {update.state for update in cluster.members['entry-1'].fleet.table}
    assert control.MemberState.DEAD in states
    cluster.publish(address_ttl_ms=5000)
    cluster.network.heal()
    await asyncio.sleep(60)
    for member in cluster.members.values():
        states = {update.state for update in member.fleet.table}
        assert states == {control.MemberState.ALIVE}, member.record.instance
    assert versions(cluster) == {2}


@hosts.virtual
async def test_withdrawn_data_centre_gets_no_new_work_after_three_seconds():
    cluster = await clusters.small_cluster()
    cluster.out('leeds')
    await asyncio.sleep(3)
    ran_before = len(cluster.targets['engine-1'].ran)
    replies = [
        await cluster.request(
            'entry-1', service='drafting', repeatable=True, body=b'd'
        )
        for _ in range(20)
    ]
    assert {reply.verdict for reply in replies} == {RAN}
    assert len(cluster.targets['engine-1'].ran) == ran_before


@hosts.virtual
async def test_data_centre_toggled_within_a_second_ends_in_the_last_state():
    cluster = await clusters.small_cluster()
    cluster.out('leeds')
    await asyncio.sleep(0.3)
    cluster.out()
    await asyncio.sleep(0.3)
    cluster.out('leeds')
    await asyncio.sleep(3)
    guard = cluster.members['guard-engine-1'].guard
    assert not guard.hint().accepts_work
    cluster.out()
    await asyncio.sleep(3)
    hint = guard.hint()
    assert hint.accepts_work
    assert hint.limit == 2, 'a returning target starts cold'


@hosts.virtual
async def test_drain_completes_running_work_and_accepts_no_more():
    cluster = await clusters.small_cluster(defaults=LONG_QUEUE_WAIT)
    for target in ('engine-1', 'engine-2'):
        cluster.targets[target].work_s = 1.0
    running = [
        asyncio.ensure_future(
            cluster.request(
                'entry-1', service='drafting', repeatable=True, body=b'%d' % n
            )
        )
        for n in range(4)
    ]
    await asyncio.sleep(0.3)
    member = cluster.members['guard-engine-1']
    member.guard.start_drain()
    await member.fleet.announce_leaving()
    replies = await asyncio.gather(*running)
    assert {reply.verdict for reply in replies} == {RAN}
    ran = len(cluster.targets['engine-1'].ran)
    await cluster.request('entry-1', service='drafting', repeatable=True)
    assert len(cluster.targets['engine-1'].ran) == ran
    assert member.guard.is_idle


@hosts.virtual
async def test_resumed_entry_does_not_run_work_dispatched_before_its_pause_twice():
    cluster = await clusters.small_cluster()
    key = cluster.new_key()
    host = cluster.members['entry-1'].host
    cluster.network.observe = lambda kind, *_: (
        host.freeze() if kind == 'VoteRequest' else None
    )
    cluster.network.extra_delay_s['entry-1', 'guard-desk-1'] = 10
    cluster.network.extra_delay_s['entry-1', 'guard-desk-2'] = 10
    cluster.network.extra_delay_s['entry-1', 'guard-desk-3'] = 10
    pending = asyncio.ensure_future(
        cluster.request('entry-1', key=key, timeout_ms=30_000)
    )
    await asyncio.sleep(15)
    host.thaw()
    cluster.network.heal()
    reply = await pending
    assert cluster.runs_by_key().get(key, 0) <= 1
    if reply.verdict is verdicts.Verdict.NOT_RUN:
        assert key not in cluster.runs_by_key()


@hosts.virtual
async def test_resumed_guard_refreshes_stale_state_before_it_starts_work():
    cluster = await clusters.small_cluster()
    target = cluster.targets['engine-1']
    target.work_s = 0.5
    running = [
        asyncio.ensure_future(
            cluster.request(
                'entry-1',
                service='drafting',
                repeatable=True,
                body=b'%d' % number,
                timeout_ms=60_000,
            )
        )
        for number in range(12)
    ]
    await asyncio.sleep(0.2)
    host = cluster.members['guard-engine-1'].host
    host.freeze()
    cluster.out('leeds')
    await asyncio.sleep(8)
    started = len(target.ran)
    host.thaw()
    await asyncio.sleep(5)
    assert len(target.ran) == started, 'the woken guard started old work'
    await asyncio.gather(*running)


@pytest.mark.parametrize('lag_s', [0.0, 0.2])
def test_cold_target_is_not_overloaded(lag_s):
    async def scenario():
        cluster = await clusters.small_cluster(defaults=LONG_QUEUE_WAIT)
        target = cluster.targets['engine-1']
        cluster.targets['engine-2'].unreachable = True
        target.capacity = 4
        target.work_s = 0.05 + lag_s
        replies = await asyncio.gather(
            *(
                cluster.request(
                    'entry-1',
                    service='drafting',
                    repeatable=True,
                    body=b'%d' % number,
                    timeout_ms=20_000,
                )
                for number in range(60)
            )
        )
        assert sum(reply.verdict is RAN for reply in replies) >= 40
        assert target.highest_in_progress <= 16

    hosts.run_virtual(scenario())


def test_configuration_faults_report_line_and_path():
    cases = {
        'unknown field': (
            '{"kind": "configuration",\n"version": 1,\n"x": 2}',
            3,
        ),
        'wrong type': ('{"kind": "configuration",\n"version": "1"}', 2),
        'no reason': (
            '{"kind": "configuration", "version": 1,\n"out":\n'
            '[{"data_centre": "leeds", "reason": ""}]}',
            3,
        ),
        'not JSON': ('{"kind": "configuration",\n "version": }', 2),
    }
    for name, (text, line) in cases.items():
        with pytest.raises(configuration.InvalidDocument) as caught:
            configuration.read_configuration(text, source=name)
        assert caught.value.path.startswith('$'), name
        if name != 'unknown field':
            assert caught.value.line == line, str(caught.value)


@pytest.mark.parametrize('incarnation', [0, 5])
def test_member_refutes_its_death_again_after_lost_refutations(incarnation):
    table = membership.MemberTable(
        own=control.MemberUpdate(
            record=directory.InstanceRecord(
                instance=identifiers.InstanceId('guard-1'),
                role=directory.Role.GUARD,
                data_centre=identifiers.DataCentreId('leeds'),
                http_address='10.0.0.1:80',
                control_address='10.0.0.1:70',
            ),
            incarnation=identifiers.Incarnation(5),
            counter=0,
            state=control.MemberState.ALIVE,
        )
    )
    while table.take_updates():
        pass
    wrong = msgspec.structs.replace(
        table.own,
        incarnation=identifiers.Incarnation(incarnation),
        state=control.MemberState.DEAD,
    )
    for _ in range(3):
        table.merge(wrong)
        # All retransmissions of the refutation are lost.
        while updates := table.take_updates():
            assert updates == (table.own,)
    table.merge(wrong)
    assert table.take_updates() == (table.own,)
    assert table.own.state is control.MemberState.ALIVE
