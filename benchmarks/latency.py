"""Latency added by entry and guard over direct calls, in one run."""

import asyncio
import json
import pathlib
import tempfile
import time

import aiohttp
from tests.fakes import cluster as clusters
from tests.standins import launcher

CALLS = 300


async def measure(fleet: launcher.Fleet) -> None:
    """Alternates direct calls and calls through entry and guard."""
    direct = f'http://{fleet.targets["desk-1"]}/baskets'
    path = f'{fleet.entry_url()}/v1/services/booking/baskets'
    durations: dict[str, list[float]] = {direct: [], path: []}
    headers = {'Carobslip-Team': 'drivers'}
    async with aiohttp.ClientSession(headers=headers) as session:
        for number in range(2 * CALLS):
            url = (direct, path)[number % 2]
            started = time.perf_counter()
            async with session.get(url) as answer:
                await answer.read()
                assert answer.status == 200
            durations[url].append((time.perf_counter() - started) * 1000)
    for name, share in (('p50', 0.5), ('p95', 0.95)):
        direct_ms, path_ms = (
            sorted(samples)[int(len(samples) * share)]
            for samples in durations.values()
        )
        print(
            f'{name}: direct {direct_ms:.1f} ms, '
            f'through the path {path_ms:.1f} ms, '
            f'ratio {path_ms / direct_ms:.2f}'
        )


def main() -> None:
    """Prints the ratio for calls that take 20 ms at the target."""
    document = clusters.document()
    document['services']['booking']['targets'] = ['desk-1']
    document['services']['booking']['repeatable'] = [
        {'method': 'GET', 'path': '/*'}
    ]
    print(f'added latency, {CALLS} calls each')
    with tempfile.TemporaryDirectory() as name:
        fleet = launcher.Fleet(
            pathlib.Path(name), {'booking': {'desk-1': 'leeds'}}, ['leeds']
        )
        try:
            fleet.start_platform(json.dumps(document))
            fleet.start_all()
            asyncio.run(measure(fleet))
        finally:
            fleet.kill_all()


if __name__ == '__main__':
    main()
