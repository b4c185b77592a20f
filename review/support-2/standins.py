"""Stand-ins for the cases of the second review, and the entries they face.

Everything runs on loopback addresses. The store, the engines and the callers
are in the process of the case; entries are started with the command of the
deploy file, as processes of their own.
"""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import shutil
import socket
import sys
import tempfile
import time
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
#: Exit codes of a case. The interpreter ends with 1 on errors of its own, so that
#: run.sh translates BROKEN to 1 and all other codes but 0 to 2.
HELD, BROKEN, NOT_RUN = 0, 11, 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CASE_MAX_S = 100.0
START_MAX_S = 30.0
HOST = 'host.example'

_END = b'\r\n\r\n'
_GONE = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError)
_PORTS = {
    'front': 8227,
    'ready': 8220,
    'control': 8229,
    'directory': 8224,
    'engine': 8120,
    'store': 8223,
}
_numbers = itertools.count(1)

Handler = Callable[
    ['Engine', 'Request', asyncio.StreamWriter], Awaitable[bool | None]
]


class CaseFailed(Exception):
    """The case could not run."""


def new_ip() -> str:
    """Returns a loopback address on which the ports of a machine are free."""
    pid = os.getpid()
    for number in _numbers:
        ip = f'127.{1 + pid % 250}.{pid // 250 % 250}.{number}'
        if number > 250:
            break
        with contextlib.suppress(OSError):
            for port in _PORTS.values():
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return ip
    raise CaseFailed('no free loopback address')


class Record:
    """Writes what was sent, answered and run to the record of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.began_s = time.monotonic()
        self._lines: list[tuple[float, str]] = []
        self._path = folder / 'record.txt'

    def note(self, text: str, at_s: float | None = None) -> None:
        """Adds a line."""
        moment_s = time.monotonic() if at_s is None else at_s
        self._lines.append((moment_s - self.began_s, text))

    def close(self) -> None:
        """Writes all lines by time."""
        with self._path.open('w') as record:
            for moment_s, text in sorted(self._lines):
                record.write(f'{moment_s:8.3f} s  {text}\n')


@dataclasses.dataclass
class Request:
    """A request as a stand-in read it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    arrived_s: float

    @property
    def request_id(self) -> str:
        """The caller's identifier of the attempt."""
        return self.headers.get('x-request-id', '')


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Reads one request whose body has a length."""
    head = await reader.readuntil(_END)
    first, *lines = head[: -len(_END)].decode('latin1').split('\r\n')
    method, path, _version = first.split(' ', 2)
    headers = _headers_of(lines)
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Request(method, path, headers, body, time.monotonic())


def _headers_of(lines: list[str]) -> dict[str, str]:
    pairs = (line.partition(':') for line in lines)
    return {name.lower(): value.strip() for name, _colon, value in pairs}


class Store:
    """The platform's store: reads and watches over HTTP.

    ``is_away`` makes it close each connection. ``era`` is sent as Store-Era.
    """

    def __init__(self) -> None:
        self.address = f'{new_ip()}:{_PORTS["store"]}'
        self.era: int | None = None
        self.is_away = False
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._cuts = 0
        #: Watches that wait at present, by their prefix.
        self.waiting: collections.Counter[str] = collections.Counter()

    async def start(self) -> None:
        """Starts serving."""
        ip, _colon, port = self.address.partition(':')
        await asyncio.start_server(self._serve, ip, int(port))

    def put(self, key: str, value: Any) -> None:
        """Writes a JSON value."""
        self.revision += 1
        content = json.dumps(value).encode()
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'created': self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self._publish(item)

    def delete(self, key: str) -> None:
        """Removes an item."""
        self.revision += 1
        self.items.pop(key, None)
        self._publish({'key': key, 'revision': self.revision, 'deleted': True})

    def copy(self) -> tuple[int, dict[str, dict[str, Any]]]:
        """Returns a copy of all items with its revision."""
        return self.revision, dict(self.items)

    def go_away(self) -> None:
        """Answers nothing until ``restore``."""
        self.is_away = True
        self._wake()

    def restore(self, copied: tuple[int, dict[str, dict[str, Any]]]) -> None:
        """Comes back from a copy; the era rises and the history is gone."""
        self.revision, items = copied
        self.items = dict(items)
        self.history.clear()
        self.era = (self.era or 0) + 1
        self.is_away = False

    def cut_watches(self) -> None:
        """Closes the connections of all watches that are waiting."""
        self._cuts += 1
        self._wake()

    def _publish(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while not self.is_away:
                request = await read_request(reader)
                cuts = self._cuts
                status, content = await self._answer(request)
                if self.is_away or self._cuts != cuts:
                    return
                body = json.dumps(content).encode()
                era = '' if self.era is None else f'Store-Era: {self.era}\r\n'
                head = (
                    f'HTTP/1.1 {status} x\r\nContent-Type: application/json'
                    f'\r\n{era}Content-Length: {len(body)}\r\n\r\n'
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except _GONE:
            return
        finally:
            writer.close()

    async def _answer(self, request: Request) -> tuple[int, Any]:
        place = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(place.query))
        prefix = query.get('prefix', '')
        if place.path.endswith('/kv-range'):
            after = query.get('after', '')
            items = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(prefix) and key > after
            ]
            return 200, {
                'items': items,
                'has_more': False,
                'current_rev': self.revision,
            }
        after_revision = int(query['after'])
        if after_revision > self.revision:
            return 410, {}
        until_s = time.monotonic() + int(query['wait_ms']) / 1000
        events = self._events(after_revision, prefix)
        cuts = self._cuts
        self.waiting[prefix] += 1
        try:
            while not events and not self.is_away and self._cuts == cuts:
                left_s = until_s - time.monotonic()
                if left_s <= 0:
                    break
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_s)
                events = self._events(after_revision, prefix)
        finally:
            self.waiting[prefix] -= 1
        return 200, {'events': events, 'current_rev': self.revision}

    def _events(self, after: int, prefix: str) -> list[dict[str, Any]]:
        return [
            event
            for event in self.history
            if event['revision'] > after and event['key'].startswith(prefix)
        ]


class Link:
    """A proxy between an entry and the store, which can be cut.

    While it is cut it carries nothing, and no connection ends.
    """

    def __init__(self, store: Store) -> None:
        self.address = f'{new_ip()}:{_PORTS["store"]}'
        self._store = store
        self._is_whole = asyncio.Event()
        self._is_whole.set()
        self.calls: list[tuple[float, str]] = []
        self._tasks: set[asyncio.Future[None]] = set()

    async def start(self) -> None:
        """Starts carrying."""
        ip, _colon, port = self.address.partition(':')
        await asyncio.start_server(self._carry, ip, int(port))

    def cut(self) -> None:
        """Carries nothing from now on."""
        self._is_whole.clear()

    def heal(self) -> None:
        """Carries again."""
        self._is_whole.set()

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ip, _colon, port = self._store.address.partition(':')
        try:
            there, to_store = await asyncio.open_connection(ip, int(port))
        except _GONE:
            writer.close()
            return
        back = asyncio.ensure_future(self._pump(there, writer))
        self._tasks.add(back)
        back.add_done_callback(self._tasks.discard)
        await self._pump(reader, to_store, are_calls=True)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        are_calls: bool = False,
    ) -> None:
        try:
            while content := await reader.read(65536):
                await self._is_whole.wait()
                if are_calls:
                    line = content.partition(b'\r\n')[0].decode('latin1')
                    self.calls.append((time.monotonic(), line))
                writer.write(content)
                await writer.drain()
        except _GONE:
            return
        finally:
            writer.close()


class Engine:
    """An engine that reports itself to the store.

    Args:
        name: Its id.
        service: The service that it serves.
        slots: Requests at once.
        handler: Answers a request; returns False to close the connection.
    """

    def __init__(
        self, name: str, service: str, *, slots: int, handler: Handler
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.handler = handler
        self.address = f'{new_ip()}:{_PORTS["engine"]}'
        self.born_ms = int(time.time() * 1000)
        self.reports_itself = True
        self.cold_until_s = 0.0
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts serving."""
        ip, _colon, port = self.address.partition(':')
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    def crash(self) -> bool:
        """Ends all connections and refuses new ones; False if it is down."""
        if self._server is None:
            return False
        self._server.close()
        self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        return True

    async def restart(self) -> None:
        """Starts again under the same id."""
        self.born_ms = int(time.time() * 1000)
        await self.start()

    def entry(self) -> dict[str, Any]:
        """Returns its entry in the store."""
        self._sequence += 1
        left_ms = 1000 * (self.cold_until_s - time.monotonic())
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'east',
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'cold_left_ms': max(0, int(left_ms)),
            'seq': self._sequence,
            'born': self.born_ms,
        }

    async def report_to(self, store: Store) -> None:
        """Writes to the store once a status report interval."""
        while True:
            if self.reports_itself and not store.is_away:
                store.put(f'servers/{self.name}', self.entry())
            await asyncio.sleep(1.2)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request.path.startswith('/carobslip/report'):
                    writer.write(self._report())
                elif self._is_other(request):
                    writer.write(answer(request, b'', status=421))
                elif await self.handler(self, request, writer) is False:
                    return
                await writer.drain()
        except _GONE:
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def _is_other(self, request: Request) -> bool:
        return request.headers.get('x-expect-instance', self.name) != self.name

    def _report(self) -> bytes:
        body = json.dumps({'born': self.born_ms, 'stage': 'x'}).encode()
        return (
            b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
        )


def answer(
    request: Request,
    body: bytes,
    *,
    status: int = 200,
    fields: str = '',
    is_stream: bool = False,
) -> bytes:
    """Returns a whole answer of an engine."""
    kind = 'Content-Type: text/event-stream\r\n' if is_stream else ''
    return (
        f'HTTP/1.1 {status} x\r\nX-Request-Id: {request.request_id}\r\n'
        f'X-Response-Seal: 3e1b.07.5a2.{len(body)}.0.c9f2a4d1\r\n'
        f'{fields}{kind}Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


class Entry:
    """An entry process of a small deployment."""

    def __init__(self, name: str, store: Store | Link) -> None:
        self.name = name
        self.ip = new_ip()
        self.seeds: list[str] = []
        self._store = store
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.log = self._folder / 'log'
        self.process: asyncio.subprocess.Process | None = None

    def address(self, listener: str) -> str:
        """Returns one of its addresses."""
        return f'{self.ip}:{_PORTS[listener]}'

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        settings = self._folder / 'node.yaml'
        settings.write_text(json.dumps(self._settings()))
        inherited = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                'platform/main.py',
                'entry',
                cwd=ROOT,
                env={
                    **inherited,
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'CAROBSLIP_NODE_FILE': str(settings),
                },
                stdout=log,
                stderr=log,
            )

    async def wait_until_ready(self) -> None:
        """Waits until the readiness check succeeds."""
        until_s = time.monotonic() + START_MAX_S
        while time.monotonic() < until_s:
            with contextlib.suppress(*_GONE, OSError):
                status, _headers, _body = await call(
                    self.address('ready'), '/carobslip/ready', method='GET'
                )
                if status == 200:
                    return
            await asyncio.sleep(0.05)
        raise CaseFailed(f'{self.name} did not become ready')

    async def end(self) -> None:
        """Ends the process and removes its files."""
        if self.process is not None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)

    def _settings(self) -> dict[str, Any]:
        listeners = ('front', 'ready', 'control', 'directory')
        return {
            'node': self.name,
            'role': 'entry',
            'machine_class': 'front',
            'serves': ['front', 'control', 'directory'],
            'ip': self.ip,
            'zone': 'east',
            'region': 'north',
            'zones': {'east': 'north'},
            'listen': {name: self.address(name) for name in listeners},
            'port_range': [7340, 7355],
            'seed_nodes': self.seeds,
            'first_start': True,
            'limits': {
                'cpu_share': 0.537,
                'cpu_cores': 2,
                'memory_mb': 300,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'beat_ms': 1200,
            'bounds': BOUNDS,
            'provider': {
                'address': self._store.address,
                'form': 'read',
                'reads_per_s': 2000,
                'retention_s': 20,
                'value_bytes': 1048576,
            },
        }


#: Bounds as in the settings that the pages show.
BOUNDS: dict[str, float | bool] = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'revert_slack_ms': 250,
    'skew_max_ms': 5000,
    'revoke_strict': True,
    'revoke_ms': 5000,
    'budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_extra': 90,
    'cold_factor': 1.5,
    'cold_slack': 5,
    'evacuate_ms': 5000,
    'recovery_s': 12,
    'pass_ms': 120,
    'retry_after_s': 0,
    'stall_ms': 1500,
    'fencing': True,
    'ttl_max_s': 5,
}


def route(
    name: str, prefix: str, kind: str, service: str, **fields: Any
) -> dict[str, Any]:
    """Returns a route of a configuration."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout_ms': 8000,
        'goal_ms': 500,
        'service': service,
        'max_attempts': 2,
        'priority': 1,
        **fields,
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    tenants: list[dict[str, Any]] | None = None,
) -> dict[str, Any]:
    """Returns a configuration as the operator writes it."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'tenants': tenants or [],
        'limits': {
            'header_bytes': 16384,
            'body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


def new_request_id() -> str:
    """Returns an identifier that no other attempt has."""
    return f'{os.getpid():06x}{next(_requests):010x}'


_requests = itertools.count(1)


async def call(
    address: str,
    path: str,
    *,
    method: str = 'POST',
    body: bytes = b'',
    headers: dict[str, str] | None = None,
) -> tuple[int, dict[str, str], bytes]:
    """Sends one request on a new connection and reads the whole answer."""
    ip, _colon, port = address.partition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    fields = ''.join(
        f'{name}: {value}\r\n' for name, value in (headers or {}).items()
    )
    try:
        writer.write(
            (
                f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{fields}'
                f'Content-Length: {len(body)}\r\n\r\n'
            ).encode()
            + body
        )
        return await _read_answer(reader)
    finally:
        writer.close()


async def _read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    head = await reader.readuntil(_END)
    first, *lines = head[: -len(_END)].decode('latin1').split('\r\n')
    headers = _headers_of(lines)
    if headers.get('transfer-encoding') != 'chunked':
        length = int(headers.get('content-length', 0))
        body = await reader.readexactly(length)
    else:
        body = b''
        size = -1
        while size:
            line = await reader.readuntil(b'\r\n')
            size = int(line.partition(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readuntil(b'\r\n')
    return int(first.split(' ')[1]), headers, body


def run_case(
    scenario: Callable[[Record], Awaitable[int]], folder: pathlib.Path
) -> None:
    """Runs a case and exits with its result."""
    record = Record(folder)

    async def limited() -> int:
        async with asyncio.timeout(CASE_MAX_S):
            return await scenario(record)

    try:
        code = asyncio.run(limited())
    except Exception as fault:
        # Whatever ends a case early, its rule was not judged.
        record.note(f'the case could not run: {fault!r}')
        code = NOT_RUN
    outcome = {HELD: 'held', BROKEN: 'broken', NOT_RUN: 'not run'}[code]
    record.note(f'result: the rule was {outcome}; disruption: {TROUBLE}')
    record.close()
    print(outcome)
    sys.exit(code)
