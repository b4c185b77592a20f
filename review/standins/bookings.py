"""A deployment with entries and one plain service, as its pages describe it."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

from review.standins import deployment, engine, http, store

SERVICE = 'bookings'
PREFIX = '/book/'
DRAFTING = 'drafting'
NOTES_PREFIX = '/notes/'
NOTES_PATIENCE_MS = 8041
TENANT = 'tenant-a'
KEY = 'key-of-tenant-a'
#: Time limit of a booking in milliseconds.
PATIENCE_MS = 612


def configuration(
    version: int,
    tenants: dict[str, list[str]],
    *,
    timeout_ms: float = 600,
) -> dict[str, Any]:
    """Returns the operators' configuration.

    Args:
        version: Its version.
        tenants: API keys by tenant.
        timeout_ms: The route's timeout.
    """
    route = {
        'name': 'book-collect',
        'host': deployment.HOST,
        'prefix': PREFIX,
        'kind': 'non_idempotent',
        'timeout_ms': timeout_ms,
        'goal_ms': 128,
        'priority': 2,
        'service': SERVICE,
        'max_attempts': 1,
        'public': False,
        'sticky': False,
        'resumable': False,
        'gap_target_ms': 0,
    }
    notes = route | {
        'name': 'route-notes',
        'prefix': NOTES_PREFIX,
        'kind': 'stream',
        'timeout_ms': 8000,
        'goal_ms': 503,
        'priority': 1,
        'service': DRAFTING,
        'max_attempts': 2,
        'sticky': True,
        'resumable': True,
        'gap_target_ms': 120,
    }
    service = {
        'name': SERVICE,
        'health_path': '/health',
        'max_conns': 100,
        'protocol': 'h1',
        'tls': False,
        'cold_s': 0.0,
        'cold_per_s': 0.0,
    }
    return {
        'version': version,
        'routes': [route, notes],
        'services': [service, service | {'name': DRAFTING}],
        'limits': deployment.LIMITS,
        'tenants': [
            {'name': name, 'api_keys': keys, 'priority': 1}
            for name, keys in tenants.items()
        ],
    }


class Sent:
    """One request of a caller and its answer."""

    def __init__(self, request_id: str, key: str, target: str) -> None:
        self.request_id = request_id
        self.key = key
        self.target = target
        self.entry = ''
        self.sent_s = time.monotonic()
        self.ended_s = 0.0
        self.answer = http.Answer(0, {}, b'')


class Bookings:
    """A store, engines of one service, entries and callers.

    Args:
        record: Receives what happens.
        entries: Number of entries.
        timeout_ms: Timeout of the route.
        patience_ms: Time limit of the callers.
        drafting: Number of drafting engines.
    """

    def __init__(
        self,
        record: deployment.Record,
        *,
        entries: int,
        timeout_ms: float = 600,
        patience_ms: int = PATIENCE_MS,
        drafting: int = 3,
    ) -> None:
        self.record = record
        self._timeout_ms = timeout_ms
        self._patience_ms = patience_ms
        self.fleet = deployment.Deployment(entries)
        self.store = store.Store()
        self.runs: list[engine.Run] = []
        self.sent: list[Sent] = []
        self.engines = [self.new_engine(number) for number in range(3)]
        self.drafting = [self.new_engine(n, DRAFTING) for n in range(drafting)]
        self._requests = 0
        self._tasks: set[asyncio.Task[Sent]] = set()

    def new_engine(self, number: int, service: str = SERVICE) -> engine.Engine:
        """Returns an engine at an address of its own."""
        host = self.fleet.network.new_machine()
        return engine.Engine(
            name=f'i-{service}-{number}',
            service=service,
            zone=deployment.ZONES[number % 3],
            address=f'{host}:{self.fleet.network.port}',
            platform=self.store,
            runs=self.runs,
            is_streaming=service == DRAFTING,
        )

    async def start(self) -> None:
        """Starts everything; the operators have written version 10."""
        await self.store.start(self.fleet.store_host, self.fleet.store_port)
        first = configuration(10, {TENANT: [KEY]}, timeout_ms=self._timeout_ms)
        self.store.put('op/config', first)
        for one in self.engines + self.drafting:
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
        patience_ms: int = 0,
    ) -> Sent:
        """Sends a booking on a connection of its own."""
        self._requests += 1
        patience_ms = patience_ms or self._patience_ms
        target = target or f'{PREFIX}{self._requests}'
        sent = Sent(f'{self._requests:016x}', key, target)
        sent.entry = entry.name
        self.sent.append(sent)
        headers = {
            'Host': deployment.HOST,
            'X-Request-Id': sent.request_id,
            'X-Deadline-Ms': str(patience_ms),
            'Authorization': f'Token {key}',
        }
        sent.answer = await http.call(
            entry.callers,
            method,
            target,
            headers,
            b'a booking',
            timeout_s=patience_ms / 1000,
        )
        sent.ended_s = time.monotonic()
        return sent

    async def ask_for_notes(self, entry: deployment.Entry) -> Sent:
        """Asks for a stream of route notes."""
        return await self.send(
            entry,
            target=f'{NOTES_PREFIX}{self._requests}',
            patience_ms=NOTES_PATIENCE_MS,
        )

    def send_later(self, entry: deployment.Entry, **named: Any) -> None:
        """Sends a booking beside others."""
        self._run(self.send(entry, **named))

    def ask_for_notes_later(self, entry: deployment.Entry) -> None:
        """Asks for a stream beside other requests."""
        self._run(self.ask_for_notes(entry))

    def _run(self, work: Coroutine[Any, Any, Sent]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Waits for all requests, then ends everything."""
        if self._tasks:
            await asyncio.wait(self._tasks)
        self.fleet.stop()
        for one in self.engines + self.drafting:
            await one.crash()
        await self.store.stop()

    def write_record(self) -> None:
        """Records every request and every run, in order of time."""
        lines = [
            (
                sent.sent_s,
                f'sent {sent.request_id} {sent.target} key={sent.key} '
                f'to={sent.entry} '
                f'answered={sent.answer.status or sent.answer.fault} '
                f'after_ms={(sent.ended_s - sent.sent_s) * 1000:.0f}',
            )
            for sent in self.sent
        ]
        lines += [
            (run.at_s, f'run {run.request_id} at={run.engine}')
            for run in self.runs
        ]
        for at_s, text in sorted(lines):
            self.record.write_at(at_s, text)
