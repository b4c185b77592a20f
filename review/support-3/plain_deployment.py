"""A small deployment with plain services, and callers on kept connections."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import http_server
import machines
import store

HOST = 'calls.northern-collection.example'


class PlainDeployment:
    """A store, engines of plain services, and entries.

    Args:
        fleet: Starts the processes.
        record: Receives what happens.
    """

    def __init__(
        self, *, fleet: machines.Machines, record: machines.Record
    ) -> None:
        self.fleet = fleet
        self.record = record
        self.store = store.Store()
        self.fronts = []
        self.entries = []
        #: Called with the name of an engine that runs a request.
        self.on_run: Callable[[str], None] = lambda _target: None
        self._engines = 0
        self._settings: list[dict[str, Any]] = []

    async def start_store(self, configuration: dict[str, Any]) -> None:
        """Starts the store with a configuration."""
        ip = self.fleet.new_ip()
        port = self.fleet.free_port(ip)
        await self.store.start(ip, port)
        self.store_address = f'{ip}:{port}'
        self.store.put('op/config', configuration)

    async def start_engine(
        self, service: str, body_of: Callable[[http_server.Request], bytes]
    ) -> None:
        """Starts an engine; ``body_of`` returns the body for a request."""
        ip = self.fleet.new_ip()
        port = self.fleet.free_port(ip)
        self._engines += 1
        target = f'i-{self._engines}'

        async def answer(request: http_server.Request) -> http_server.Answer:
            if request.path == '/carobslip/report':
                return http_server.Answer(200, b'{"born":1}')
            if request.header('X-Expect-Instance', target) != target:
                return http_server.Answer(421)
            request_id = request.header('X-Request-Id')
            self.record.write(f'run {request_id} at {target} ({service})')
            self.on_run(target)
            return http_server.Answer(
                200,
                body_of(request),
                (
                    ('X-Request-Id', request_id),
                    ('X-Response-Seal', f's.{request_id}'),
                ),
            )

        await http_server.serve(ip, port, answer)
        self.store.put(
            f'servers/{target}', machines.entry_of(f'{ip}:{port}', service)
        )

    async def start_entries(self, count: int) -> None:
        """Starts entries, and waits until they are ready."""
        fleet = self.fleet
        listens = []
        for _ in range(count):
            ip = fleet.new_ip()
            names = ('front', 'ready', 'control', 'directory')
            ports = fleet.free_ports(ip, len(names))
            listens.append(
                {
                    name: f'{ip}:{port}'
                    for name, port in zip(names, ports, strict=True)
                }
            )
        seeds = [listen['control'] for listen in listens[:3]]
        for number, listen in enumerate(listens, 1):
            self.fronts.append(listen['front'])
            self._settings.append(
                fleet.settings(
                    node=f'front-{number}',
                    role='entry',
                    ip=listen['front'].partition(':')[0],
                    zone='leeds',
                    store=self.store_address,
                    listen=listen,
                    seed_nodes=seeds,
                )
            )
        self.start_entries_again()
        for listen in listens:
            await fleet.wait_ready(listen['ready'])

    def start_entries_again(self) -> None:
        """Starts the processes of all entries."""
        self.entries = [self.fleet.start(each) for each in self._settings]


class Channel:
    """A connection of a caller, kept for several requests.

    Args:
        front: Address of the entry.
        record: Receives what happens.
    """

    def __init__(self, front: str, record: machines.Record) -> None:
        self._front = front
        self._record = record

    async def open(self) -> None:
        """Connects."""
        host, _separator, port = self._front.rpartition(':')
        self._reader, self._writer = await asyncio.open_connection(
            host, port, limit=2**20
        )

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()

    async def ask(
        self,
        path: str,
        request_id: str,
        *,
        time_limit_ms: int,
        fields: Sequence[str] = (),
    ) -> tuple[int, bytes]:
        """Sends a request; returns status and body.

        The status is 0 if the connection ended without a whole answer.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        lines = [
            f'POST {path} HTTP/1.1',
            f'Host: {HOST}',
            f'X-Request-Id: {request_id}',
            f'X-Deadline-Ms: {time_limit_ms}',
            'Content-Length: 2',
            *fields,
        ]
        self._record.write(f'send {request_id} {path}')
        status, body = 0, b''
        try:
            self._writer.write(('\r\n'.join(lines) + '\r\n\r\nhi').encode())
            status, body = await self._read()
        except (OSError, asyncio.IncompleteReadError) as fault:
            self._record.write(f'{request_id}: {fault!r}')
        self._record.write(
            f'answer {request_id}: {status or "closed without an answer"}, '
            f'{len(body)} bytes after {loop.time() - began_s:.2f} s'
        )
        return status, body

    async def _read(self) -> tuple[int, bytes]:
        head = (await self._reader.readuntil(b'\r\n\r\n')).decode().lower()
        lines = head.split('\r\n')
        length = next(one for one in lines if one.startswith('content-length'))
        size_bytes = int(length.partition(':')[2])
        body = await self._reader.readexactly(size_bytes)
        return int(lines[0].split()[1]), body
