"""All entries are killed while the store is back from an older copy.

The copy is from before a key was taken away.
"""

import asyncio
import pathlib

from review.standins import bookings, deployment

_OTHER = 'tenant-b'
_TAKEN = 'key-taken-away'
_INTERVAL_S = 0.1
_TAKEN_INTERVAL_S = 0.02
#: Times from the start of traffic.
_COPIED_S = 3.0
_REVOKED_S = 4.0
_AWAY_S = 9.3
_BACK_S = 9.8
_KILLED_S = 9.9
_WRITTEN_AGAIN_S = 11.3
_TRAFFIC_S = 14.0
_REVOKE_S = deployment.BOUNDS['revoke_ms'] / 1000


async def play(record: deployment.Record, *, has_trouble: bool) -> bool:
    """Plays the case; tells whether the rule was broken."""
    site = bookings.Bookings(record, entries=3)
    revoked_s = 0.0
    try:
        await site.start()
        keys = {bookings.TENANT: [bookings.KEY], _OTHER: ['other', _TAKEN]}
        with_key = bookings.configuration(11, keys)
        keys = keys | {_OTHER: ['other']}
        without_key = bookings.configuration(14, keys)
        site.store.put('op/config', with_key)
        sending = asyncio.ensure_future(_send(site))
        loop = asyncio.get_running_loop()
        began_s = loop.time()

        async def wait_until(at_s: float) -> None:
            await asyncio.sleep(began_s + at_s - loop.time())

        await wait_until(_COPIED_S)
        copy = site.store.copy()
        await wait_until(_REVOKED_S)
        site.store.put('op/config', without_key)
        revoked_s = loop.time()
        record.write('the key is taken away, confirmed')
        if has_trouble:
            await wait_until(_AWAY_S)
            site.store.leave()
            record.write('the store is away')
            await wait_until(_BACK_S)
            site.store.restore(copy)
            for one in site.engines:
                one.write_beat()
            record.write('the store is back, in a new era')
            await wait_until(_KILLED_S)
            for entry in site.fleet.entries:
                site.fleet.kill(entry)
                record.write(f'{entry.name} is killed')
            for entry in site.fleet.entries:
                site.fleet.start(entry)
            await wait_until(_WRITTEN_AGAIN_S)
            site.store.put('op/config', without_key)
            record.write('the operators have written again')
        await sending
    finally:
        await site.finish()
    site.write_record()
    ran = {run.request_id: run for run in site.runs}
    late = [
        sent
        for sent in site.sent
        if sent.key == _TAKEN
        and sent.sent_s > revoked_s + _REVOKE_S
        and sent.request_id in ran
    ]
    for sent in late:
        after_s = sent.sent_s - revoked_s
        record.write(
            f'{sent.request_id} sent {after_s:.2f} s after the key was taken '
            f'away, ran'
        )
    record.write(f'requests with the key that ran too late: {len(late)}')
    return bool(late)


async def _send(site: bookings.Bookings) -> None:
    loop = asyncio.get_running_loop()
    until_s = loop.time() + _TRAFFIC_S
    number = 0
    while loop.time() < until_s:
        entries = site.fleet.entries
        if number % 5 == 0:
            site.send_later(entries[number // 5 % len(entries)])
        site.send_later(entries[0], key=_TAKEN)
        number += 1
        await asyncio.sleep(_TAKEN_INTERVAL_S)


if __name__ == '__main__':
    deployment.main(play, pathlib.Path(__file__).parent)
