"""Single streams of three engines go on with empty lines without end."""

import asyncio
import pathlib

from review.standins import bookings, deployment, engine, http, unanswered

_TRAFFIC_S = 20.0
_INTERVAL_S = 0.04
#: One request of so many asks for a stream.
_STREAM_ONE_OF = 4
_FLOOD_AT_S = 5.0
#: ``garble``: half of the engines, one answer each.
_ENGINES = 6
_FAULTY = 3
_HEAD = {
    'X-Request-Id': 'REQUEST',
    'X-Response-Seal': '18.REQUEST',
    'Content-Type': 'text/event-stream',
}
_EMPTY_LINES = b'\n' * 16_384
#: 10 Mbit/s, the link of a ``side`` machine.
_FLOOD_BYTES_PER_S = 1.25e6


async def play(record: deployment.Record, *, has_trouble: bool) -> bool:
    """Plays the case; tells whether the rule was broken."""
    site = bookings.Bookings(
        record,
        entries=2,
        timeout_ms=unanswered.TIMEOUT_S * 1000,
        patience_ms=int(unanswered.PATIENCE_S * 1000),
        drafting=_ENGINES,
    )
    try:
        await site.start()
        for faulty in site.drafting[:_FAULTY] if has_trouble else ():
            _make_faulty(site, faulty)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + _TRAFFIC_S
        number = 0
        while loop.time() < until_s:
            entry = site.fleet.entries[number % len(site.fleet.entries)]
            if number % _STREAM_ONE_OF:
                site.send_later(entry)
            else:
                site.ask_for_notes_later(entry)
            number += 1
            await asyncio.sleep(_INTERVAL_S)
    finally:
        await site.finish()
    site.write_record()
    return unanswered.count_unanswered(site, record)


def _make_faulty(site: bookings.Bookings, faulty: engine.Engine) -> None:
    """Makes an engine send one stream without end."""
    loop = asyncio.get_running_loop()
    due_s = loop.time() + _FLOOD_AT_S
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
    faulty.flood_head = http.head_of(200, _HEAD)
    faulty.flood = _EMPTY_LINES
    faulty.flood_bytes_per_s = _FLOOD_BYTES_PER_S


if __name__ == '__main__':
    deployment.main(play, pathlib.Path(__file__).parent)
