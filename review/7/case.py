"""DRAIN for an engine whose entry is removed soon after a watch was cut.

Two entries and two engines of a plain service. The store cuts the watches that
are waiting; a moment later the entry of one engine, which leaves without having
reported so, is removed.
"""

import asyncio
import contextlib
import pathlib
import random
import time

import standins

SERVICE = 'bookings'
DRAIN_S = float(standins.BOUNDS['drain_ms']) / 1000
#: Time from the cut to the removal.
REMOVED_AFTER_S = 0.05
#: The engine that leaves serves for this long after the removal.
SERVES_S = 5.0
CALLERS_RPS = 40.0


async def scenario(record: standins.Record) -> int:
    """Plays the case; returns its exit code."""
    arrivals: dict[str, list[float]] = {'i-1': [], 'i-2': []}

    async def serve(
        engine: standins.Engine,
        request: standins.Request,
        writer: asyncio.StreamWriter,
    ) -> None:
        arrivals[engine.name].append(request.arrived_s)
        record.note(
            f'run {request.request_id} at {engine.name}', request.arrived_s
        )
        await asyncio.sleep(0.02)
        writer.write(
            standins.answer(
                request, b'x' * 800, fields='X-Server-Load: 1,0,6\r\n'
            )
        )

    store = standins.Store()
    await store.start()
    store.put(
        'op/config',
        standins.configuration(
            1,
            [
                standins.route(
                    'book', '/b/', 'non_idempotent', SERVICE, public=True
                )
            ],
            [{'name': SERVICE, 'max_conns': 100}],
        ),
    )
    engines = [
        standins.Engine(name, SERVICE, slots=6, handler=serve)
        for name in arrivals
    ]
    reporting = []
    for engine in engines:
        await engine.start()
        reporting.append(asyncio.ensure_future(engine.report_to(store)))
    entries = [standins.Entry(f'front-{one}', store) for one in (1, 2)]

    async def send() -> None:
        request_id = standins.new_request_id()
        entry = random.choice(entries)
        record.note(f'sent {request_id} to {entry.name}')
        status: object
        try:
            status, _headers, _body = await standins.call(
                entry.address('front'),
                '/b/x',
                body=b'{}',
                headers={'X-Request-Id': request_id, 'X-Deadline-Ms': '613'},
            )
        except (OSError, asyncio.IncompleteReadError) as fault:
            status = type(fault).__name__
        record.note(f'answered {request_id}: {status}')

    try:
        for entry in entries:
            entry.seeds = [one.address('control') for one in entries]
            await entry.start()
        for entry in entries:
            await entry.wait_until_ready()
        # The entries have been in touch with the store for long.
        await asyncio.sleep(6)
        removed_s = 0.0

        async def remove() -> None:
            nonlocal removed_s
            await asyncio.sleep(2)
            while store.waiting['servers/'] < len(entries):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            if standins.TROUBLE:
                store.cut_watches()
                record.note('the store has cut the watches that were waiting')
            await asyncio.sleep(REMOVED_AFTER_S)
            leaving = engines[1]
            leaving.reports_itself = False
            store.delete(f'servers/{leaving.name}')
            removed_s = time.monotonic()
            record.note(f'the removal of {leaving.name} is confirmed')
            await asyncio.sleep(SERVES_S)
            leaving.crash()

        async with asyncio.TaskGroup() as calls:
            removing = calls.create_task(remove())
            while not removing.done():
                calls.create_task(send())
                await asyncio.sleep(random.expovariate(CALLERS_RPS))
        late_ms = [
            round(1000 * (arrived_s - removed_s))
            for arrived_s in arrivals['i-2']
            if arrived_s > removed_s + DRAIN_S
        ]
        record.note(
            f'{len(late_ms)} requests reached the engine later than '
            f'{DRAIN_S:g} s after the confirmation, the last after '
            f'{max(late_ms, default=0)} ms'
        )
        if not arrivals['i-1'] or not arrivals['i-2']:
            raise standins.CaseFailed('an engine got no request')
        return standins.BROKEN if late_ms else standins.HELD
    finally:
        for entry in entries:
            await entry.end()
        for task in reporting:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


if __name__ == '__main__':
    standins.run_case(scenario, pathlib.Path(__file__).resolve().parent)
