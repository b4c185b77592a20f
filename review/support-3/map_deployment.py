"""A small deployment with one group of model engines and steady callers."""

import asyncio
import itertools
from collections.abc import Callable, Iterator
from typing import Any

import group
import machines
import store

HOST = 'host.example'
SERVICE = 'drafting'
#: Time of one token step of these engines. A pass of 8 steps takes 480 ms.
STEP_MS = 60


class MapDeployment:
    """One entry, the engines of one group with a guard each, and callers.

    Args:
        fleet: Starts the processes.
        record: Receives what happens.
        size: Ranks of the group.
        lateness: Tells which orders get no answer, and when they are carried
            out.
    """

    def __init__(
        self,
        *,
        fleet: machines.Machines,
        record: machines.Record,
        size: int,
        lateness: Callable[[group.Rank, dict[str, Any]], float | None],
    ) -> None:
        self.fleet = fleet
        self.record = record
        self.engines = group.Group(
            size=size, step_ms=STEP_MS, record=record, lateness=lateness
        )
        self.guards = []
        self.answered = 0
        self.failed = 0
        self._callers = []

    async def start(self) -> None:
        """Starts everything, and waits until the entry is ready."""
        fleet = self.fleet
        store_ip = fleet.new_ip()
        store_port = fleet.free_port(store_ip)
        self.store = store.Store()
        await self.store.start(store_ip, store_port)
        store_address = f'{store_ip}:{store_port}'
        self.store.put('op/config', _configuration())
        places = []
        for _ in self.engines.ranks:
            ip = fleet.new_ip()
            places.append((ip, fleet.free_port(ip)))
        await self.engines.start(places)
        for rank, (ip, port) in zip(self.engines.ranks, places, strict=True):
            self.store.put(f'servers/{rank.target}', _entry_of(f'{ip}:{port}'))
        entry_ip = fleet.new_ip()
        names = ('front', 'ready', 'control', 'directory')
        ports = fleet.free_ports(entry_ip, len(names))
        listen = {
            name: f'{entry_ip}:{port}'
            for name, port in zip(names, ports, strict=True)
        }
        self.front = listen['front']
        seeds = [listen['control']]
        fleet.start(
            fleet.settings(
                node='front-1',
                role='entry',
                ip=entry_ip,
                zone='leeds',
                store=store_address,
                listen=listen,
                seed_nodes=seeds,
            )
        )
        await fleet.wait_ready(listen['ready'])
        for number, (ip, port) in enumerate(places):
            name = f'side-{number}'
            self.guards.append(name)
            fleet.start(
                fleet.settings(
                    node=name,
                    role='guard',
                    ip=ip,
                    zone='leeds',
                    store=store_address,
                    seed_nodes=seeds,
                    app=f'{ip}:{port}',
                    service=SERVICE,
                )
            )

    def call_steadily(self, callers: int = 6) -> None:
        """Starts callers that send one request after the other."""
        numbers = itertools.count(1)
        for _ in range(callers):
            task = asyncio.ensure_future(self._call_without_end(numbers))
            self._callers.append(task)

    async def end(self) -> None:
        """Ends the callers."""
        for caller in self._callers:
            caller.cancel()
        await asyncio.gather(*self._callers, return_exceptions=True)

    async def _call_without_end(self, numbers: Iterator[int]) -> None:
        while True:
            request_id = f'r{next(numbers):06d}'
            try:
                async with asyncio.timeout(20):
                    status, body = await self._call(request_id)
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as why:
                status, body = repr(why), b''
            is_whole = status == '200' and body.count(b'id: ') == 6
            self.answered += is_whole
            self.failed += not is_whole
            self.record.write(
                f'answer {request_id}: {status}, {len(body)} bytes'
            )
            await asyncio.sleep(0.02 if is_whole else 0.3)

    async def _call(self, request_id: str) -> tuple[str, bytes]:
        host, _separator, port = self.front.rpartition(':')
        reader, writer = await asyncio.open_connection(host, port)
        self.record.write(f'send {request_id}')
        writer.write(
            (
                f'POST /draft/a HTTP/1.1\r\nHost: {HOST}\r\n'
                f'X-Request-Id: {request_id}\r\nX-Model: m\r\n'
                'X-Token-Counts: 100,60\r\nX-Deadline-Ms: 15000\r\n'
                f'X-Prompt-Prefix: aa:40,{request_id}:60\r\n'
                'Authorization: Token key-1\r\nContent-Length: 2\r\n\r\nhi'
            ).encode()
        )
        try:
            status = (await reader.readuntil(b'\r\n\r\n')).split()[1].decode()
            parts = []
            while status == '200':
                size = int(await reader.readline(), 16)
                parts.append((await reader.readexactly(size + 2))[:-2])
                if size == 0:
                    break
            return status, b''.join(parts)
        finally:
            writer.close()


def _entry_of(address: str) -> dict[str, Any]:
    return {
        'service': SERVICE,
        'address': address,
        'zone': 'leeds',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'cold_left_ms': 0,
        'seq': 1,
        'born': 1,
    }


def _configuration() -> dict[str, Any]:
    return {
        'version': 1,
        'routes': [
            {
                'name': 'draft',
                'host': HOST,
                'prefix': '/draft/',
                'kind': 'stream',
                'timeout_ms': 15000,
                'goal_ms': 2000,
                'priority': 1,
                'service': SERVICE,
                'max_attempts': 2,
                'sticky': True,
                'resumable': True,
                'gap_target_ms': 1000,
            }
        ],
        'services': [
            {
                'name': SERVICE,
                'health_path': '/health',
                'max_conns': 400,
                'engine': {
                    'slots': 6,
                    'kv_capacity': 140000,
                    'link_mbps': 92000.0,
                    'stride': group.STRIDE,
                    'step_ms': STEP_MS,
                    'per_seq_ms': 0.0,
                    'context_per_k': 0.0,
                    'read_per_s': 61400.0,
                    'sets': group.SETS,
                    'experts': group.EXPERTS,
                    'placements': group.PLACES,
                    'spare': group.SPARE,
                    'expert_mb': 1700.0,
                    'expert_share': 0.85,
                    'report_lag_ms': 200.0,
                    'form_ms': 600.0,
                },
            }
        ],
        'limits': machines.CALLER_LIMITS,
        'tenants': [{'name': 't1', 'api_keys': ['key-1']}],
    }
