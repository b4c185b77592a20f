"""A deployment with entries and one plain service, as its pages describe it."""

import asyncio
import time
from typing import Any

from review.standins import deployment, engine, http, store

SERVICE = 'bookings'
PREFIX = '/book/'
TENANT = 'tenant-a'
KEY = 'key-of-tenant-a'
#: Time limit of a booking in milliseconds.
PATIENCE_MS = 612


def configuration(
    version: int, tenants: dict[str, list[str]]
) -> dict[str, Any]:
    """Returns the operators' configuration.

    Args:
        version: Its version.
        tenants: API keys by tenant.
    """
    route = {
        'name': 'book-collect',
        'host': deployment.HOST,
        'prefix': PREFIX,
        'kind': 'non_idempotent',
        'timeout_ms': 600,
        'goal_ms': 128,
        'priority': 2,
        'service': SERVICE,
        'max_attempts': 1,
        'public': False,
        'sticky': False,
        'resumable': False,
        'gap_target_ms': 0,
    }
    return {
        'version': version,
        'routes': [route],
        'services': [
            {
                'name': SERVICE,
                'health_path': '/health',
                'max_conns': 100,
                'protocol': 'h1',
                'tls': False,
                'cold_s': 0.0,
                'cold_per_s': 0.0,
            },
        ],
        'limits': deployment.LIMITS,
        'tenants': [
            {'name': name, 'api_keys': keys, 'priority': 1}
            for name, keys in tenants.items()
        ],
    }


class Sent:
    """One request of a caller and its answer."""

    def __init__(self, request_id: str, key: str) -> None:
        self.request_id = request_id
        self.key = key
        self.entry = ''
        self.sent_s = time.monotonic()
        self.answer = http.Answer(0, {}, b'')


class Bookings:
    """A store, engines of one service, entries and callers.

    Args:
        record: Receives what happens.
        entries: Number of entries.
    """

    def __init__(self, record: deployment.Record, *, entries: int) -> None:
        self.record = record
        self.fleet = deployment.Deployment(entries)
        self.store = store.Store()
        self.runs: list[engine.Run] = []
        self.sent: list[Sent] = []
        self.engines = [self.new_engine(number) for number in range(3)]
        self._requests = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def new_engine(self, number: int) -> engine.Engine:
        """Returns an engine at an address of its own."""
        host = self.fleet.network.new_machine()
        return engine.Engine(
            name=f'i-{number}',
            service=SERVICE,
            zone=deployment.ZONES[number % 3],
            address=f'{host}:{self.fleet.network.port}',
            platform=self.store,
            runs=self.runs,
        )

    async def start(self) -> None:
        """Starts everything; the operators have written version 10."""
        await self.store.start(self.fleet.store_host, self.fleet.store_port)
        self.store.put('op/config', configuration(10, {TENANT: [KEY]}))
        for one in self.engines:
            await one.start()
        await self.fleet.start_all()
        self.record.write('all entries are ready')

    async def send(
        self,
        entry: deployment.Entry,
        *,
        method: str = 'POST',
        key: str = KEY,
        target: str | None = None,
    ) -> Sent:
        """Sends a booking on a connection of its own."""
        self._requests += 1
        sent = Sent(f'{self._requests:016x}', key)
        sent.entry = entry.name
        self.sent.append(sent)
        headers = {
            'Host': deployment.HOST,
            'X-Request-Id': sent.request_id,
            'X-Deadline-Ms': str(PATIENCE_MS),
            'Authorization': f'Token {key}',
        }
        sent.answer = await http.call(
            entry.callers,
            method,
            target or f'{PREFIX}{self._requests}',
            headers,
            b'a booking',
            timeout_s=PATIENCE_MS / 1000,
        )
        return sent

    def send_later(self, entry: deployment.Entry, **named: Any) -> None:
        """Sends a booking beside others."""
        task = asyncio.ensure_future(self._send(entry, named))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(
        self, entry: deployment.Entry, named: dict[str, Any]
    ) -> None:
        await self.send(entry, **named)

    async def finish(self) -> None:
        """Waits for all requests, then ends everything."""
        if self._tasks:
            await asyncio.wait(self._tasks)
        self.fleet.stop()
        for one in self.engines:
            await one.crash()
        await self.store.stop()

    def write_record(self) -> None:
        """Records every request and every run, in order of time."""
        lines = [
            (
                sent.sent_s,
                f'sent {sent.request_id} key={sent.key} to={sent.entry} '
                f'answered={sent.answer.status or sent.answer.fault}',
            )
            for sent in self.sent
        ]
        lines += [
            (run.at_s, f'run {run.request_id} at={run.engine}')
            for run in self.runs
        ]
        for at_s, text in sorted(lines):
            self.record.write_at(at_s, text)
