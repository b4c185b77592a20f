"""Another writer's unreadable entry stands in the list of engines.

Afterwards the engines of the service are replaced one after the other.
"""

import asyncio
import collections
import pathlib

from review.standins import bookings, deployment, engine

_INTERVAL_S = 0.1
_ENTRY_AT_S = 3.0
_FIRST_REPLACED_AT_S = 6.0
_REPLACED_EACH_S = 3.0
#: How long an engine serves after its report was accepted.
_SERVES_S = 5.0
_TRAFFIC_S = 24.0
_DRAIN_S = deployment.BOUNDS['drain_ms'] / 1000
#: Objects in each other, each without the fields of an entry.
_DEPTH = 2000
_UNREADABLE = b'{"other":' * _DEPTH + b'0' + b'}' * _DEPTH
_LATE_S = 18.0


async def play(record: deployment.Record, *, has_trouble: bool) -> bool:
    """Plays the case; tells whether the rule was broken."""
    site = bookings.Bookings(record, entries=2)
    left_s: dict[str, float] = {}
    loop = asyncio.get_running_loop()
    began_s = 0.0
    try:
        await site.start()
        began_s = loop.time()
        if has_trouble:
            loop.call_later(_ENTRY_AT_S, _write_entry, site)
        replacing = asyncio.ensure_future(_replace_all(site, left_s))
        number = 0
        while loop.time() - began_s < _TRAFFIC_S:
            entry = site.fleet.entries[number % len(site.fleet.entries)]
            site.send_later(entry)
            number += 1
            await asyncio.sleep(_INTERVAL_S)
        await replacing
    finally:
        await site.finish()
    site.write_record()
    late = [
        run
        for run in site.runs
        if run.engine in left_s and run.at_s > left_s[run.engine] + _DRAIN_S
    ]
    for run in late:
        after_s = run.at_s - left_s[run.engine]
        record.write(
            f'{run.request_id} reached {run.engine} {after_s:.1f} s after its '
            f'report was accepted'
        )
    statuses = collections.Counter(
        sent.answer.status or sent.answer.fault
        for sent in site.sent
        if sent.sent_s - began_s > _LATE_S
    )
    record.write(f'answers once all engines are replaced: {dict(statuses)}')
    record.write(f'runs at engines that had left: {len(late)}')
    return bool(late)


def _write_entry(site: bookings.Bookings) -> None:
    site.store.put('servers/i-other', _UNREADABLE)
    site.record.write(f'another writer wrote {len(_UNREADABLE)} bytes')


async def _replace_all(
    site: bookings.Bookings, left_s: dict[str, float]
) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(_FIRST_REPLACED_AT_S)
    leaving = []
    for old in list(site.engines):
        fresh = site.new_engine(len(site.engines))
        await fresh.start()
        site.engines.append(fresh)
        old.drain()
        left_s[old.name] = loop.time()
        site.record.write(f'{fresh.name} started, {old.name} is draining')
        leaving.append(asyncio.ensure_future(_leave(site, old)))
        await asyncio.sleep(_REPLACED_EACH_S)
    await asyncio.wait(leaving)


async def _leave(site: bookings.Bookings, old: engine.Engine) -> None:
    await asyncio.sleep(_SERVES_S)
    await old.leave()
    site.record.write(f'{old.name} ended')


if __name__ == '__main__':
    deployment.main(play, pathlib.Path(__file__).parent)
