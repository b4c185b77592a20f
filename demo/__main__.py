"""Runs the Hartwell example while a data centre is withdrawn and restored.

Exits 0 only if no booking was lost, ran twice or ran despite the verdict
not-run, no reply was incomplete, and every process exited with 0.
"""

import asyncio
import collections
import json
import pathlib
import random
import sys
import tempfile
import time

import aiohttp
import pyjson5
from tests.standins import launcher

from carobslip import identifiers

EXAMPLE = pathlib.Path(__file__).parents[1] / 'examples/hartwell'
DATA_CENTRES = ('leeds', 'york', 'bradford')
ENTRIES = ('leeds', 'leeds', 'leeds', 'york', 'york', 'bradford', 'bradford')
PHASE_S = 5.0
CALLERS = 24
TEAMS = ('drivers', 'summaries')


class Tally:
    """Verdicts that callers received, by phase and kind."""

    def __init__(self) -> None:
        self.counts: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self.bookings: dict[str, str] = {}
        self.broken = 0

    def record(self, phase: str, kind: str, verdict: str) -> None:
        self.counts[phase, kind, verdict] += 1


class Load:
    """Callers that send drafts and bookings until they are stopped."""

    def __init__(self, fleet: launcher.Fleet, tally: Tally) -> None:
        self.fleet = fleet
        self.tally = tally
        self.phase = 'before'
        self.stopped = False
        self.entries: list[str] = []
        self.random = random.Random(7)

    async def run(self) -> None:
        async with aiohttp.ClientSession() as session:
            self.session = session
            await self.refresh()
            await asyncio.gather(
                self.refresh_periodically(),
                *(self.call(number) for number in range(CALLERS)),
            )

    async def refresh(self) -> None:
        """Fetches the addresses to use, as callers do."""
        known = self.entries or [
            record['http_address']
            for record in self.fleet.records.values()
            if record['role'] == 'entry'
        ]
        address = self.random.choice(known)
        url = f'http://{address}/v1/entries'
        async with self.session.get(url) as answer:
            content = await answer.json()
        self.entries = [
            entry['address'] for entry in content['entries']
        ] or known

    async def refresh_periodically(self) -> None:
        while not self.stopped:
            await asyncio.sleep(1)
            await self.refresh()

    async def call(self, number: int) -> None:
        while not self.stopped:
            if number % 3:
                await self.draft(number)
            else:
                await self.book(number)
            await asyncio.sleep(0.02)

    async def draft(self, number: int) -> None:
        phase = self.phase
        address = self.random.choice(self.entries)
        draft = {'model': 'route-notes', 'stream': True, 'max_tokens': 10}
        try:
            async with self.session.post(
                f'http://{address}/v1/chat/completions',
                json=draft,
                headers={'Carobslip-Team': TEAMS[number % 2]},
            ) as answer:
                text = await answer.text()
                verdict = answer.headers['Carobslip-Verdict']
        except aiohttp.ClientError as fault:
            self.tally.record(phase, 'draft', type(fault).__name__)
            return
        if verdict == 'ran' and not text.endswith('[DONE]\n\n'):
            self.tally.broken += 1
        self.tally.record(phase, 'draft', verdict)

    async def book(self, number: int) -> None:
        phase = self.phase
        key = identifiers.new_key(int(time.time() * 1000))
        verdict = 'not-run'
        for _ in range(5):
            address = self.random.choice(self.entries)
            async with self.session.post(
                f'http://{address}/v1/services/booking/bookings',
                data=key.encode(),
                headers={
                    'Carobslip-Team': 'call-desk',
                    'Idempotency-Key': key,
                },
            ) as answer:
                text = await answer.text()
                verdict = answer.headers['Carobslip-Verdict']
            if verdict == 'ran':
                self.tally.broken += key not in text
                break
            await asyncio.sleep(0.3)
        self.tally.bookings[key] = verdict
        self.tally.record(phase, 'booking', verdict)


def new_fleet(folder: pathlib.Path) -> launcher.Fleet:
    engines = {
        f'engine-{number + 1}': DATA_CENTRES[number % 3] for number in range(16)
    }
    desks = {f'desk-{number + 1}': DATA_CENTRES[number] for number in range(3)}
    return launcher.Fleet(
        folder, {'drafting': engines, 'booking': desks}, list(ENTRIES)
    )


async def run_phases(fleet: launcher.Fleet, document: dict) -> Tally:
    """Runs load while york is withdrawn and restored."""
    tally = Tally()
    load = Load(fleet, tally)
    running = asyncio.ensure_future(load.run())
    reason = 'the floor is being cleaned in york'
    withdrawals = {
        'before': [],
        'york out': [{'data_centre': 'york', 'reason': reason}],
        'york back': [],
    }
    for phase, out in withdrawals.items():
        if phase != 'before':
            document['version'] += 1
            document['out'] = out
            text = json.dumps(document)
            await asyncio.to_thread(fleet.control, configuration=text)
        load.phase = phase
        await asyncio.sleep(PHASE_S)
    await print_burn_report(fleet)
    load.stopped = True
    await running
    return tally


async def print_burn_report(fleet: launcher.Fleet) -> None:
    """Prints the report on error budget burn of the running fleet."""
    addresses = [
        str(settings['operator_address'])
        for settings in fleet.settings.values()
        if settings['kind'] == 'entry'
    ]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'carobslip',
        'report',
        'burn',
        *addresses,
        env=fleet.environment,
    )
    if await process.wait():
        raise SystemExit('the burn report failed')


def print_counts(tally: Tally) -> None:
    verdicts = sorted({verdict for _, _, verdict in tally.counts})
    print(
        f'\n{"phase":<12}{"kind":<10}'
        + ''.join(f'{verdict:>16}' for verdict in verdicts)
    )
    for phase in ('before', 'york out', 'york back'):
        for kind in ('draft', 'booking'):
            counts = ''.join(
                f'{tally.counts[phase, kind, verdict]:>16}'
                for verdict in verdicts
            )
            print(f'{phase:<12}{kind:<10}{counts}')


def find_faults(fleet: launcher.Fleet, tally: Tally) -> list[str]:
    """Compares the desks' ledgers with the verdicts that callers received."""
    runs: collections.Counter[str] = collections.Counter()
    for desk in ('desk-1', 'desk-2', 'desk-3'):
        runs.update(run['key'] for run in fleet.ledger(desk)['ledger'])
    faults = [f'{key} ran twice' for key, n in runs.items() if n > 1]
    for key, verdict in tally.bookings.items():
        if verdict == 'ran' and not runs[key]:
            faults.append(f'{key} was lost')
        if verdict == 'not-run' and runs[key]:
            faults.append(f'{key} ran after all')
    if tally.broken:
        faults.append(f'{tally.broken} replies were not whole')
    return faults


def main() -> None:
    """Runs the demonstration."""
    document = pyjson5.decode(
        (EXAMPLE / 'configuration.json5').read_text(encoding='utf-8')
    )
    with tempfile.TemporaryDirectory() as name:
        fleet = new_fleet(pathlib.Path(name))
        try:
            print('starting 7 entries, 19 guards and 19 targets')
            fleet.start_platform(json.dumps(document))
            fleet.start_all()
            time.sleep(1)
            tally = asyncio.run(run_phases(fleet, document))
            faults = find_faults(fleet, tally)
            codes = fleet.stop_all()
        finally:
            fleet.kill_all()
    print_counts(tally)
    faults += [f'{name}: exit {code}' for name, code in codes.items() if code]
    print('\n' + ('\n'.join(faults) or 'nothing was lost or doubled'))
    sys.exit(bool(faults))


if __name__ == '__main__':
    main()
