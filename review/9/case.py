"""CONFIG at an entry that does not watch the store while the others are cut off.

Three entries of one zone. Two of them watch the store; they are partitioned from
it for some seconds, seven times. The third one has a sound path to the store all
the while. The operator moves routes to another service meanwhile.
"""

import asyncio
import pathlib
import time

import standins

OLD, NEW = 'bookings', 'bookings-two'
APPLY_S = float(standins.BOUNDS['config_apply_ms']) / 1000
#: Number and length of the cuts, the time between them, and the changes in each.
CUTS = 7
CUT_S = 4.7
BETWEEN_S = 2.5
CHANGES = 12
CHANGE_GAP_S = 0.33
ROUTES = CUTS * CHANGES
PAUSE_S = 0.05
#: The watches of an entry within this time show that it watches the store.
WATCHED_S = 3.0


def configuration(version: int, moved: int) -> dict[str, object]:
    """Returns a configuration in which the first routes have been moved."""
    return standins.configuration(
        version,
        [
            standins.route(
                f'route-{number}',
                f'/r{number}/',
                'idempotent',
                NEW if number <= moved else OLD,
                public=True,
            )
            for number in range(1, ROUTES + 1)
        ],
        [{'name': name, 'max_conns': 100} for name in (OLD, NEW)],
    )


def count_watches(link: standins.Link) -> int:
    """Returns how often an entry has lately watched the configuration."""
    oldest_s = time.monotonic() - WATCHED_S
    return sum(
        at_s >= oldest_s and 'kv-watch' in line and 'prefix=op' in line
        for at_s, line in link.calls
    )


async def scenario(record: standins.Record) -> int:
    """Plays the case; returns its exit code."""
    sent: dict[str, tuple[float, int]] = {}
    confirmed_s: dict[int, float] = {}
    late: list[str] = []
    served = 0

    async def serve(
        engine: standins.Engine,
        request: standins.Request,
        writer: asyncio.StreamWriter,
    ) -> None:
        nonlocal served
        served += 1
        sent_s, number = sent[request.request_id]
        record.note(f'run {request.request_id} by {engine.service}')
        moved_s = confirmed_s.get(number)
        is_late = moved_s is not None and sent_s > moved_s + APPLY_S
        if engine.service == OLD and is_late:
            late.append(request.request_id)
            record.note(f'{request.request_id} was run by the old service')
        await asyncio.sleep(0.01)
        writer.write(standins.answer(request, b'x' * 800))

    store = standins.Store()
    await store.start()
    version = 10
    store.put('op/config', configuration(version, 0))
    reporting = []
    for name in (OLD, NEW):
        engine = standins.Engine(f'i-{name}', name, slots=6, handler=serve)
        await engine.start()
        reporting.append(asyncio.ensure_future(engine.report_to(store)))
    links = [standins.Link(store) for _one in range(3)]
    entries = []
    for number, link in enumerate(links, start=1):
        await link.start()
        entries.append(standins.Entry(f'front-{number}', link))

    async def send(entry: standins.Entry, number: int) -> None:
        request_id = standins.new_request_id()
        sent[request_id] = time.monotonic(), number
        record.note(f'sent {request_id} on /r{number}/ to {entry.name}')
        status: object
        try:
            status, _headers, _body = await standins.call(
                entry.address('front'),
                f'/r{number}/x',
                headers={'X-Request-Id': request_id, 'X-Deadline-Ms': '609'},
            )
        except (OSError, asyncio.IncompleteReadError) as fault:
            status = type(fault).__name__
        record.note(f'answered {request_id}: {status}')

    async def change() -> None:
        for _one in range(CHANGES):
            number = len(confirmed_s) + 1
            store.put('op/config', configuration(version + number, number))
            confirmed_s[number] = time.monotonic()
            record.note(
                f'version {version + number} is confirmed: /r{number}/ goes '
                f'to {NEW}'
            )
            await asyncio.sleep(CHANGE_GAP_S)

    async def play(cut: list[standins.Link]) -> None:
        for _one in range(CUTS):
            if standins.TROUBLE:
                record.note('the entries that watch are cut off')
                for link in cut:
                    link.cut()
            changing = asyncio.ensure_future(change())
            await asyncio.sleep(CUT_S)
            for link in cut:
                link.heal()
            record.note('the cut has ended')
            await changing
            await asyncio.sleep(BETWEEN_S)

    try:
        for entry in entries:
            entry.seeds = [one.address('control') for one in entries]
            await entry.start()
        for entry in entries:
            await entry.wait_until_ready()
        await asyncio.sleep(7)
        by_watches = sorted(zip(links, entries, strict=True), key=_watches_of)
        (calm_link, calm), *others = by_watches
        record.note(
            f'{calm.name} has watched the configuration '
            f'{count_watches(calm_link)} times within {WATCHED_S:g} s, '
            + ', '.join(
                f'{one.name} {count_watches(link)} times'
                for link, one in others
            )
        )
        async with asyncio.TaskGroup() as calls:
            playing = calls.create_task(play([link for link, _one in others]))
            while not playing.done():
                # The route that was moved last of those that must have moved.
                applied = [
                    number
                    for number, moved_s in confirmed_s.items()
                    if time.monotonic() > moved_s + APPLY_S
                ]
                calls.create_task(send(calm, max(applied, default=1)))
                await asyncio.sleep(PAUSE_S)
        record.note(
            f'{len(late)} requests to {calm.name} were run by the old service '
            f'although they were sent later than {APPLY_S:g} s after the '
            f'confirmation of their move'
        )
        if not served:
            raise standins.CaseFailed('nothing was served')
        return standins.BROKEN if late else standins.HELD
    finally:
        for task in reporting:
            task.cancel()
        for entry in entries:
            await entry.end()


def _watches_of(pair: tuple[standins.Link, standins.Entry]) -> int:
    return count_watches(pair[0])


if __name__ == '__main__':
    standins.run_case(scenario, pathlib.Path(__file__).resolve().parent)
