"""A caller's key runs at most once under faults."""

import asyncio

from carobslip import verdicts
from tests.fakes import cluster as clusters
from tests.fakes import host as hosts

RAN = verdicts.Verdict.RAN
NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


@hosts.virtual
async def test_same_key_through_two_entries_runs_once():
    cluster = await clusters.small_cluster()
    key = cluster.new_key()
    replies = await asyncio.gather(
        *(
            cluster.request(f'entry-{1 + n % 2}', key=key, body=b'basket')
            for n in range(6)
        )
    )
    assert cluster.runs_by_key() == {key: 1}
    assert {reply.content for reply in replies} == {b'basket'}


@hosts.virtual
async def test_second_body_for_a_key_is_a_conflict():
    cluster = await clusters.small_cluster()
    key = cluster.new_key()
    await cluster.request('entry-1', key=key, body=b'one')
    reply = await cluster.request('entry-2', key=key, body=b'two')
    assert reply.verdict is NOT_RUN
    assert reply.outcome.reason is verdicts.Reason.KEY_CONFLICT


@hosts.virtual
async def test_reply_lost_with_its_guard_is_may_have_run_not_a_second_run():
    cluster = await clusters.small_cluster()
    key = cluster.new_key()
    first = await cluster.request('entry-1', key=key)
    home = next(t for t in cluster.targets if cluster.targets[t].ran)
    cluster.kill(f'guard-{home}')
    again = await cluster.request('entry-2', key=key, timeout_ms=8000)
    await cluster.restart(f'guard-{home}')
    await asyncio.sleep(3)
    third = await cluster.request('entry-2', key=key, timeout_ms=8000)
    assert first.verdict is RAN
    assert {again.verdict, third.verdict} == {MAY_HAVE_RUN}
    assert cluster.runs_by_key() == {key: 1}


@hosts.virtual
async def test_bookings_succeed_while_one_desk_is_down():
    cluster = await clusters.small_cluster()
    cluster.kill('guard-desk-2')
    await asyncio.sleep(4)
    replies = [
        await cluster.request('entry-1', key=cluster.new_key())
        for _ in range(20)
    ]
    assert {reply.verdict for reply in replies} == {RAN}


@hosts.virtual
async def test_no_booking_without_a_majority():
    cluster = await clusters.small_cluster()
    cluster.kill('guard-desk-2')
    cluster.kill('guard-desk-3')
    await asyncio.sleep(4)
    key = cluster.new_key()
    reply = await cluster.request('entry-1', key=key)
    assert reply.verdict is MAY_HAVE_RUN
    assert cluster.runs_by_key() == {}


@hosts.virtual
async def test_opaque_key_is_in_doubt_until_the_guard_is_older_than_the_horizon():
    cluster = await clusters.small_cluster(defaults={'horizon_ms': 60_000})
    reply = await cluster.request('entry-1', key='basket-17')
    assert reply.outcome.reason is verdicts.Reason.KEY_IN_DOUBT
    await asyncio.sleep(61)
    reply = await cluster.request('entry-1', key='basket-18')
    assert reply.verdict is RAN


@hosts.virtual
async def test_key_of_an_unreachable_target_is_claimed_by_another_guard():
    cluster = await clusters.small_cluster()
    for target in ('desk-1', 'desk-2'):
        cluster.targets[target].unreachable = True
    replies = [
        await cluster.request('entry-1', key=cluster.new_key())
        for _ in range(5)
    ]
    assert {reply.verdict for reply in replies} == {RAN}
    assert len(cluster.targets['desk-3'].ran) == 5


@hosts.virtual
async def test_queued_bookings_reserve_no_memory_for_replies():
    # Memory for two replies of maximum size, and sixty queued keys.
    cluster = await clusters.small_cluster(
        defaults={
            'record_max_bytes': 250_000,
            'reply_max_bytes': 65_536,
            'concurrency_max': 2,
        }
    )
    replies = await asyncio.gather(
        *(cluster.request('entry-1', key=cluster.new_key()) for _ in range(60))
    )
    assert {reply.verdict for reply in replies} == {RAN}
