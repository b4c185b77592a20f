"""An engine sends interim responses without end instead of an answer."""

import asyncio
import pathlib

from review.standins import bookings, deployment, http, unanswered

_TRAFFIC_S = 16.0
_INTERVAL_S = 0.04
_FLOOD_AT_S = 5.0
_INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
_INTERIMS_AT_ONCE = 500
#: 100 Mbit/s; the link of an entry's machine takes 1,000.
_FLOOD_BYTES_PER_S = 12.5e6


async def play(record: deployment.Record, *, has_trouble: bool) -> bool:
    """Plays the case; tells whether the rule was broken."""
    site = bookings.Bookings(
        record,
        entries=2,
        timeout_ms=unanswered.TIMEOUT_S * 1000,
        patience_ms=int(unanswered.PATIENCE_S * 1000),
    )
    try:
        await site.start()
        if has_trouble:
            _make_faulty(site)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + _TRAFFIC_S
        number = 0
        while loop.time() < until_s:
            entry = site.fleet.entries[number % len(site.fleet.entries)]
            site.send_later(entry)
            number += 1
            await asyncio.sleep(_INTERVAL_S)
    finally:
        await site.finish()
    site.write_record()
    return unanswered.count_unanswered(site, record)


def _make_faulty(site: bookings.Bookings) -> None:
    """Makes one engine send one answer without end."""
    loop = asyncio.get_running_loop()
    due_s = loop.time() + _FLOOD_AT_S
    faulty = site.engines[0]
    is_done = False

    def floods(request: http.Request) -> bool:
        nonlocal is_done
        if is_done or loop.time() < due_s:
            return False
        is_done = True
        name = request.headers['x-request-id']
        site.record.write(f'{faulty.name} answers {name} without end')
        return True

    faulty.floods = floods
    faulty.flood = _INTERIM * _INTERIMS_AT_ONCE
    faulty.flood_bytes_per_s = _FLOOD_BYTES_PER_S


if __name__ == '__main__':
    deployment.main(play, pathlib.Path(__file__).parent)
