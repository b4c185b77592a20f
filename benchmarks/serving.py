"""Service while a data centre is withdrawn and under overload; virtual time.

Runs the production classes on simulated connections and targets. The product
and the naive version receive the same arrivals.
"""

import asyncio
import collections
import random

from tests import naive
from tests.fakes import cluster as clusters
from tests.fakes import host as hosts

from carobslip import verdicts

SEED = 17
ENGINES = 16
ENTRIES = 7
WORK_S = 0.1
TARGET_CONCURRENCY = 4
LATE_AFTER_S = 2.0


async def new_cluster(*, with_naive: bool) -> clusters.Cluster:
    document = clusters.document()
    members = [f'desk-{n}' for n in (1, 2, 3)]
    document['services']['booking']['targets'] = members
    cluster = clusters.Cluster(SEED, document)
    for number in range(ENGINES):
        await cluster.add_guard(
            f'engine-{number}', 'drafting', clusters.DATA_CENTRES[number % 3]
        )
    for number, name in enumerate(members):
        await cluster.add_guard(name, 'booking', clusters.DATA_CENTRES[number])
    for number in range(ENTRIES):
        await cluster.add_entry(
            f'entry-{number}', clusters.DATA_CENTRES[number % 3]
        )
    for target in cluster.targets.values():
        target.work_s, target.capacity = WORK_S, TARGET_CONCURRENCY
    if with_naive:
        naive.make_naive(cluster)
    await asyncio.sleep(3)
    return cluster


class Tally:
    """Outcomes of requests, by kind."""

    def __init__(self) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.durations: list[float] = []

    async def send(self, cluster, entry: str, number: int, team: str) -> None:
        is_booking = number % 4 == 0
        loop = asyncio.get_running_loop()
        started = loop.time()
        reply = await cluster.request(
            entry,
            service='booking' if is_booking else 'drafting',
            repeatable=not is_booking,
            key=cluster.new_key() if is_booking else None,
            body=b'%d' % number,
            timeout_ms=4000,
            team=team,
        )
        duration_s = loop.time() - started
        kind = 'booking' if is_booking else 'draft'
        outcome = reply.verdict.value if reply.verdict else 'lost'
        if reply.verdict is verdicts.Verdict.RAN and duration_s > LATE_AFTER_S:
            outcome = 'late'
        self.outcomes[f'{kind} {outcome}'] += 1
        self.durations.append(duration_s)


async def send_requests(
    cluster, tally: Tally, rate: float, seconds: float, generator
) -> list[asyncio.Task]:
    """Sends requests at a mean rate, without waiting for replies."""
    sent = []
    for number in range(int(rate * seconds)):
        await asyncio.sleep(generator.expovariate(rate))
        entry = f'entry-{generator.randrange(ENTRIES)}'
        team = 'large' if generator.random() < 0.8 else 'small'
        work = tally.send(cluster, entry, number, team)
        sent.append(asyncio.ensure_future(work))
    return sent


async def withdraw_and_restore(*, with_naive: bool) -> dict[str, float]:
    """Withdraws york for ten seconds under load."""
    cluster = await new_cluster(with_naive=with_naive)
    generator = random.Random(SEED)
    tally = Tally()
    loop = asyncio.get_running_loop()
    sent = await send_requests(cluster, tally, 150, 5, generator)
    out_at = loop.time()
    cluster.out('york')
    sent += await send_requests(cluster, tally, 150, 10, generator)
    last = last_call_start(cluster, 'york')
    cluster.out()
    sent += await send_requests(cluster, tally, 150, 5, generator)
    await asyncio.gather(*sent)
    outcomes = dict(tally.outcomes)
    outcomes['doubled'] = sum(n > 1 for n in cluster.runs_by_key().values())
    outcomes['s until no new work'] = round(max(0.0, last - out_at), 2)
    outcomes['most at one target'] = max(
        target.highest_in_progress for target in cluster.targets.values()
    )
    return outcomes


def last_call_start(cluster: clusters.Cluster, data_centre: str) -> float:
    """Returns the start of the last call to a target of a data centre."""
    return max(
        (
            started
            for member in cluster.members.values()
            if member.guard and member.record.data_centre == data_centre
            for started in cluster.targets[member.record.target].started_s
        ),
        default=0.0,
    )


async def overload(factor: float, *, with_naive: bool) -> dict[str, float]:
    """Sends a multiple of the rate that the fleet can serve."""
    cluster = await new_cluster(with_naive=with_naive)
    tally = Tally()
    generator = random.Random(SEED)
    # Three quarters of the requests are drafts, whose rate the engines limit.
    capacity_rps = ENGINES * TARGET_CONCURRENCY / WORK_S / 0.75 / 2
    sent = await send_requests(
        cluster, tally, factor * capacity_rps, 6, generator
    )
    await asyncio.gather(*sent)
    good = sum(
        n for outcome, n in tally.outcomes.items() if outcome.endswith(' ran')
    )
    return {
        'good share of offered': round(good / len(sent), 3),
        'good a second': round(good / 6, 1),
        **tally.outcomes,
    }


def main() -> None:
    """Prints the tables."""
    print(f'a data centre leaves and returns, seed {SEED}')
    for name, with_naive in (('ours', False), ('naive', True)):
        outcomes = hosts.run_virtual(
            withdraw_and_restore(with_naive=with_naive), seed=SEED
        )
        print(f'  {name}: {dict(sorted(outcomes.items()))}')
    print(f'overload, seed {SEED}')
    for factor in (0.5, 1.0, 2.0, 3.0):
        for name, with_naive in (('ours', False), ('naive', True)):
            outcomes = hosts.run_virtual(
                overload(factor, with_naive=with_naive), seed=SEED
            )
            print(f'  {factor} {name}: {dict(sorted(outcomes.items()))}')


if __name__ == '__main__':
    main()
