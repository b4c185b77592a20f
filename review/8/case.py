"""FAILBACK at a planned stop of the entry that assigns the slots of a service.

Three entries share one cold engine of a service whose streams differ in
priority. Callers come a little faster than a cold engine may get requests. The
entry that assigns the slots gets SIGTERM.
"""

import asyncio
import contextlib
import json
import pathlib
import random
import time
from typing import NamedTuple

import standins

SERVICE = 'tutor'
#: Of the page on two new customers: slots, and requests a second while cold.
SLOTS = 5
COLD_PER_S = 14.0
BOUND = (
    COLD_PER_S * standins.BOUNDS['cold_factor'] + standins.BOUNDS['cold_slack']
)
#: Rate of the callers, and time from its beginning to SIGTERM and to its end.
CALLERS_RPS = 100.0
BEFORE_S = 0.6
AFTER_S = 1.5
#: Time of one short stream at the engine.
STREAM_S = 0.04
WINDOW_S = 1.0


class Arrival(NamedTuple):
    """A request at the engine, with the time at which its caller sent it."""

    arrived_s: float
    sent_s: float


def count_in_worst_second(arrivals: list[Arrival]) -> tuple[int, float]:
    """Returns the most requests sent and arrived in one second, and when."""
    worst = (0, 0.0)
    for begin_s in {arrival.sent_s for arrival in arrivals}:
        count = sum(
            arrival.sent_s >= begin_s
            and arrival.arrived_s <= begin_s + WINDOW_S
            for arrival in arrivals
        )
        worst = max(worst, (count, begin_s))
    return worst


def broker_of(entries: list[standins.Entry]) -> standins.Entry:
    """Returns the entry that assigns the slots, as the logs tell."""
    name = ''
    for entry in entries:
        for line in entry.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if event.get('event') == 'broker-changed':
                    name = event['broker'] or name
    for entry in entries:
        if entry.name == name:
            return entry
    raise standins.CaseFailed('no entry assigns slots')


async def scenario(record: standins.Record) -> int:
    """Plays the case; returns its exit code."""
    sent: dict[str, float] = {}
    arrivals: list[Arrival] = []

    async def serve(
        engine: standins.Engine,
        request: standins.Request,
        writer: asyncio.StreamWriter,
    ) -> None:
        arrivals.append(Arrival(request.arrived_s, sent[request.request_id]))
        record.note(
            f'run {request.request_id} at {engine.name}', request.arrived_s
        )
        await asyncio.sleep(STREAM_S)
        events = b''.join(b'id: %d\ndata: x\n\n' % one for one in range(1, 4))
        writer.write(
            standins.answer(
                request,
                events,
                fields=f'X-Server-Load: 1,0,{SLOTS}\r\n',
                is_stream=True,
            )
        )

    store = standins.Store()
    await store.start()
    engine = standins.Engine('i-1', SERVICE, slots=SLOTS, handler=serve)
    await engine.start()
    store.put(
        'op/config',
        standins.configuration(
            1,
            [
                standins.route(
                    f'level-{priority}',
                    f'/p{priority}/',
                    'stream',
                    SERVICE,
                    public=True,
                    priority=priority,
                    gap_target_ms=120,
                )
                for priority in (0, 2)
            ],
            [
                {
                    'name': SERVICE,
                    'max_conns': 590,
                    'cold_per_s': COLD_PER_S,
                    'engine': {
                        'slots': SLOTS,
                        'kv_capacity': 205833,
                        'step_ms': 4.84,
                        'per_seq_ms': 0.9,
                        'read_per_s': 74800,
                        'stride': 4,
                    },
                },
            ],
        ),
    )
    reporting = asyncio.ensure_future(engine.report_to(store))
    entries = [standins.Entry(f'front-{one}', store) for one in range(1, 4)]
    try:
        for entry in entries:
            entry.seeds = [one.address('control') for one in entries]
            await entry.start()
        for entry in entries:
            await entry.wait_until_ready()
        await asyncio.sleep(3)

        async def send() -> None:
            request_id = standins.new_request_id()
            entry = random.choice(entries)
            sent[request_id] = time.monotonic()
            record.note(f'sent {request_id} to {entry.name}')
            try:
                status, _headers, _body = await standins.call(
                    entry.address('front'),
                    random.choice(['/p0/x', '/p2/x']),
                    body=b'{}',
                    headers={
                        'X-Request-Id': request_id,
                        'X-Deadline-Ms': '8127',
                        'X-Token-Counts': '700,12',
                    },
                )
            except (OSError, asyncio.IncompleteReadError) as fault:
                record.note(f'answered {request_id}: {fault!r}')
                return
            record.note(f'answered {request_id}: {status}')

        async with asyncio.TaskGroup() as calls:
            for _one in range(30):
                calls.create_task(send())
                await asyncio.sleep(0.1)
            await asyncio.sleep(1.5)
            # From here on the engine is cold, and the traffic rises.
            engine.cold_until_s = time.monotonic() + 3
            store.put(f'servers/{engine.name}', engine.entry())
            record.note(f'{engine.name} is cold for 3 s')
            broker = broker_of(entries)
            cold_from_s = time.monotonic()
            is_stopped = not standins.TROUBLE
            while time.monotonic() < cold_from_s + BEFORE_S + AFTER_S:
                if (
                    not is_stopped
                    and time.monotonic() >= cold_from_s + BEFORE_S
                ):
                    is_stopped = True
                    record.note(f'SIGTERM to {broker.name}')
                    if broker.process is not None:
                        broker.process.terminate()
                calls.create_task(send())
                await asyncio.sleep(random.expovariate(CALLERS_RPS))
        cold = [one for one in arrivals if one.sent_s >= cold_from_s]
        count, begin_s = count_in_worst_second(cold)
        record.note(
            f'most requests sent to and arrived at the cold engine in one '
            f'second: {count}, from {begin_s - record.began_s:.3f} s; '
            f'allowed: {BOUND:g}'
        )
        if len(cold) < COLD_PER_S:
            raise standins.CaseFailed('the engine got too few requests')
        return standins.BROKEN if count > BOUND else standins.HELD
    finally:
        reporting.cancel()
        for entry in entries:
            await entry.end()


if __name__ == '__main__':
    standins.run_case(scenario, pathlib.Path(__file__).resolve().parent)
