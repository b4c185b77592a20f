"""An engine runs a booking and its answer is lost with a reset."""

import asyncio
import collections
import pathlib

from review.standins import bookings, deployment, http

_TRAFFIC_S = 16.0
_INTERVAL_S = 0.1
#: ``answer_lost``: from when on, for how long, and one answer of how many.
_LOST_FROM_S = 5.0
_LOST_FOR_S = 4.0
_LOST_ONE_OF = 5


async def play(record: deployment.Record, *, has_trouble: bool) -> bool:
    """Plays the case; tells whether the rule was broken."""
    site = bookings.Bookings(record, entries=2)
    try:
        await site.start()
        await _play(site, has_trouble=has_trouble)
    finally:
        await site.finish()
    site.write_record()
    runs = collections.Counter(run.request_id for run in site.runs)
    twice = {name: count for name, count in runs.items() if count > 1}
    statuses = collections.Counter(sent.answer.status for sent in site.sent)
    record.write(f'sent={len(site.sent)} ran={len(runs)} {dict(statuses)}')
    record.write(f'ran more than once: {twice}')
    return bool(twice)


async def _play(site: bookings.Bookings, *, has_trouble: bool) -> None:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    lossy = site.engines[0]
    answers = 0

    def loses(request: http.Request) -> bool:
        nonlocal answers
        since_s = loop.time() - began_s - _LOST_FROM_S
        if not has_trouble or not 0 <= since_s < _LOST_FOR_S:
            return False
        answers += 1
        is_lost = answers % _LOST_ONE_OF == 1
        if is_lost:
            name = request.headers['x-request-id']
            site.record.write(f'answer of {name} lost at {lossy.name}')
        return is_lost

    lossy.loses = loses
    number = 0
    while loop.time() - began_s < _TRAFFIC_S:
        entry = site.fleet.entries[number % len(site.fleet.entries)]
        site.send_later(entry, method='PUT')
        number += 1
        await asyncio.sleep(_INTERVAL_S)


if __name__ == '__main__':
    deployment.main(play, pathlib.Path(__file__).parent)
