"""One real entry on loopback, with a store and an engine in the test."""

import asyncio
import contextlib
import json
import os
import pathlib
import resource
import subprocess
import sys

from aiohttp import web

from tests.standins import launcher, users_store

START_TIMEOUT_S = 60
#: An ordinary request may wait for a busy machine, but not without end.
ANSWER_TIMEOUT_S = 30

LIMITS = {
    'header_bytes': 16_384,
    'body_bytes': 4_194_304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15_000,
}
LONG_ANSWER = b'a' * 3_000_000
EVENT = b'id: %d\ndata: ' + b'a' * 4000 + b'\n\n'
EVENTS = 750


def _route(name, prefix, kind, **more):
    return {
        'name': name,
        'host': 'host.example',
        'prefix': prefix,
        'kind': kind,
        'timeout_ms': 50_000,
        'goal_ms': 500,
        'service': 's1',
        'public': True,
        **more,
    }


CONFIGURATION = {
    'version': 1,
    'routes': [
        _route('whole', '/a/', 'idempotent'),
        _route('stream', '/s/', 'stream'),
        _route('once', '/b/', 'non_idempotent'),
        _route('again', '/c/', 'idempotent', max_attempts=2),
        _route('resumed', '/r/', 'stream', max_attempts=2, resumable=True),
    ],
    'services': [{'name': 's1', 'max_conns': 5000}],
    'limits': LIMITS,
}


def _server_at(address):
    return {
        'service': 's1',
        'address': address,
        'zone': 'east',
        'version': 'v1',
        'slots': 5000,
        'state': 'ready',
        'cold_left_ms': 0,
        'seq': 1,
        'born': 1,
    }


class Engine:
    """Answers requests with short, long or streamed answers."""

    async def start(self):
        application = web.Application(client_max_size=2**24)
        application.router.add_get('/carobslip/report', self._report)
        application.router.add_route('*', '/{path:.*}', self._answer)
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self):
        await self._runner.cleanup()

    async def _report(self, request):
        return web.json_response({'born': 1})

    async def _answer(self, request):
        await request.read()
        sent = {
            'X-Request-Id': request.headers.get('X-Request-Id', ''),
            'X-Response-Seal': 'x',
        }
        if request.path == '/a/long':
            return web.Response(body=LONG_ANSWER, headers=sent)
        if request.path == '/s/long':
            return await self._stream(request, sent)
        return web.Response(body=b'answer', headers=sent)

    async def _stream(self, request, sent):
        response = web.StreamResponse(headers=sent)
        response.content_type = 'text/event-stream'
        with contextlib.suppress(ConnectionError):
            await response.prepare(request)
            for number in range(EVENTS):
                await response.write(EVENT % number)
        return response


class OpenEntry:
    """An entry process with the limits of a small instance.

    ``engines`` are the engines of its service; one that answers everything if
    none is given. ``bounds`` are the operators' limits.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        memory_mb,
        max_fds,
        engines=(),
        bounds=None,
    ):
        self._folder = folder
        self._bounds = bounds or {}
        self._limits = {'memory_mb': memory_mb, 'max_fds': max_fds}
        self.front = launcher.free_address()
        self.directory = launcher.free_address()
        self._ready = launcher.free_address()
        self._control = launcher.free_address()
        self.store = users_store.FakeStore()
        self.engines = engines or (Engine(),)

    async def start(self):
        await self.store.start()
        self.store.put('op/config', CONFIGURATION)
        for number, engine in enumerate(self.engines, 1):
            await engine.start()
            self.store.put(f'servers/i-{number}', _server_at(engine.address))
        settings = self._folder / 'node.yaml'
        settings.write_text(json.dumps(self._settings()))
        self.log = self._folder / 'entry.log'
        with self.log.open('wb') as log:
            self.process = subprocess.Popen(  # noqa: ASYNC220
                [sys.executable, 'platform/main.py', 'entry'],
                cwd=launcher.ROOT,
                env={
                    **os.environ,
                    'PYTHONPATH': f'{launcher.ROOT / "src"}',
                    'CAROBSLIP_NODE_FILE': str(settings),
                },
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_descriptors,
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready():
                assert self.process.poll() is None, self.log.read_text()
                await asyncio.sleep(0.05)

    async def stop(self):
        self.process.kill()
        self.process.wait()
        await self.store.stop()
        for engine in self.engines:
            await engine.stop()

    def peak_mb(self):
        """Returns the largest resident memory so far."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        line = next(one for one in status.splitlines() if 'VmHWM' in one)
        return int(line.split()[1]) / 1024

    def open_fds(self):
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))

    async def ask(self, address, path):
        """Sends one ordinary request; returns the status line."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*split(address))
            writer.write(head_of(path, 'Content-Length: 1000\r\n'))
            writer.write(b'a' * 1000)
            status = await reader.readline()
            writer.close()
        return status

    async def _is_ready(self):
        try:
            return b'200' in await self.ask(self._ready, '/carobslip/ready')
        except OSError:
            return False

    def _limit_descriptors(self):
        most = self._limits['max_fds']
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))

    def _settings(self):
        host, _separator, port = launcher.free_address().rpartition(':')
        return {
            'node': 'front-1',
            'ip': host,
            'zone': 'east',
            'listen': {
                'front': self.front,
                'directory': self.directory,
                'ready': self._ready,
                'control': self._control,
            },
            'port_range': [int(port), int(port) + 9],
            'seed_nodes': [self._control],
            'limits': self._limits,
            'bounds': self._bounds,
            'provider': {'address': self.store.address},
        }


def split(address):
    host, _separator, port = address.rpartition(':')
    return host, int(port)


def head_of(path, fields=''):
    method = 'GET' if path.startswith('/carobslip') else 'POST'
    return (
        f'{method} {path} HTTP/1.1\r\nHost: host.example\r\n'
        f'X-Request-Id: r-1\r\n{fields}\r\n'
    ).encode()
