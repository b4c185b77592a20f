"""Service while a data centre leaves, and under overload; virtual time.

The same classes as in production, on simulated connections and targets. Ours
and the naive version see the same arrivals.
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
BEARABLE = 4
GOOD_S = 2.0


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
        target.work_s, target.capacity = WORK_S, BEARABLE
    if with_naive:
        naive.make_naive(cluster)
    await asyncio.sleep(3)
    return cluster


class Tally:
    """Ends of requests, by kind."""

    def __init__(self) -> None:
        self.ends: collections.Counter[str] = collections.Counter()
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
        end = reply.verdict.value if reply.verdict else 'lost'
        if reply.verdict is verdicts.Verdict.RAN and duration_s > GOOD_S:
            end = 'late'
        self.ends[f'{kind} {end}'] += 1
        self.durations.append(duration_s)


async def offer(
    cluster, tally: Tally, rate: float, seconds: float, generator
) -> list[asyncio.Task]:
    """Sends requests at a rate, open loop."""
    sent = []
    for number in range(int(rate * seconds)):
        await asyncio.sleep(generator.expovariate(rate))
        entry = f'entry-{generator.randrange(ENTRIES)}'
        team = 'large' if generator.random() < 0.8 else 'small'
        work = tally.send(cluster, entry, number, team)
        sent.append(asyncio.ensure_future(work))
    return sent


async def leave_and_return(*, with_naive: bool) -> dict[str, float]:
    """Takes york out for ten seconds under load."""
    cluster = await new_cluster(with_naive=with_naive)
    generator = random.Random(SEED)
    tally = Tally()
    loop = asyncio.get_running_loop()
    sent = await offer(cluster, tally, 150, 5, generator)
    out_at = loop.time()
    cluster.out('york')
    sent += await offer(cluster, tally, 150, 10, generator)
    last = last_start(cluster, 'york')
    cluster.out()
    sent += await offer(cluster, tally, 150, 5, generator)
    await asyncio.gather(*sent)
    ends = dict(tally.ends)
    ends['doubled'] = sum(n > 1 for n in cluster.runs_by_key().values())
    ends['s until no new work'] = round(max(0.0, last - out_at), 2)
    ends['most at one target'] = max(
        target.highest_in_progress for target in cluster.targets.values()
    )
    return ends


def last_start(cluster: clusters.Cluster, data_centre: str) -> float:
    """Returns when the last call began at a target of a data centre."""
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
    """Offers a multiple of what the fleet bears."""
    cluster = await new_cluster(with_naive=with_naive)
    tally = Tally()
    generator = random.Random(SEED)
    # Three quarters are drafts, for which the engines are the bound.
    bears = ENGINES * BEARABLE / WORK_S / 0.75 / 2
    sent = await offer(cluster, tally, factor * bears, 6, generator)
    await asyncio.gather(*sent)
    good = sum(n for end, n in tally.ends.items() if end.endswith(' ran'))
    return {
        'good share of offered': round(good / len(sent), 3),
        'good a second': round(good / 6, 1),
        **tally.ends,
    }


def main() -> None:
    """Prints the tables."""
    print(f'a data centre leaves and returns, seed {SEED}')
    for name, with_naive in (('ours', False), ('naive', True)):
        ends = hosts.run_virtual(
            leave_and_return(with_naive=with_naive), seed=SEED
        )
        print(f'  {name}: {dict(sorted(ends.items()))}')
    print(f'overload, seed {SEED}')
    for factor in (0.5, 1.0, 2.0, 3.0):
        for name, with_naive in (('ours', False), ('naive', True)):
            ends = hosts.run_virtual(
                overload(factor, with_naive=with_naive), seed=SEED
            )
            print(f'  {factor} {name}: {dict(sorted(ends.items()))}')


if __name__ == '__main__':
    main()
