"""Starts the project's programs with the commands of the deploy file."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]

#: Bounds of the sheet of the small deployments.
BOUNDS = {
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
CALLER_LIMITS = {
    'header_bytes': 16384,
    'body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


class Machines:
    """Loopback addresses and the processes that run on them."""

    def __init__(self) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-3-'))
        self._net = f'127.{random.randint(2, 250)}.{random.randint(1, 250)}'
        self._count = 0
        self._commands = _commands()
        self.processes = {}
        # A play that is ended from outside ends its processes first.
        signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(2))

    def new_ip(self) -> str:
        """Returns an address that stands for one machine."""
        self._count += 1
        return f'{self._net}.{self._count}'

    def free_port(self, ip: str) -> int:
        """Returns a port that is free at an address."""
        with socket.socket() as sock:
            sock.bind((ip, 0))
            return sock.getsockname()[1]

    def free_ports(self, ip: str, count: int) -> list[int]:
        """Returns different ports that are free at an address."""
        socks = [socket.socket() for _ in range(count)]
        try:
            for sock in socks:
                sock.bind((ip, 0))
            return [sock.getsockname()[1] for sock in socks]
        finally:
            for sock in socks:
                sock.close()

    def settings(
        self,
        *,
        node: str,
        role: str,
        ip: str,
        zone: str,
        store: str,
        **more: Any,
    ) -> dict[str, Any]:
        """Returns the fields of a settings file; ``more`` are further ones."""
        first = self.free_port(ip)
        return {
            'node': node,
            'role': role,
            'ip': ip,
            'zone': zone,
            'region': 'north',
            'zones': {zone: 'north'},
            'listen': {},
            'port_range': [first, first + 15],
            'first_start': True,
            'limits': {'memory_mb': 300, 'max_fds': 4100},
            'beat_ms': 1200,
            'bounds': BOUNDS,
            'provider': {'address': store, 'form': 'read'},
            **more,
        }

    def start(self, settings: dict[str, Any]) -> subprocess.Popen[bytes]:
        """Starts the process of a settings file."""
        name = settings['node']
        path = self.folder / f'{name}.yaml'
        path.write_text(json.dumps(settings))
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                self._commands[settings['role']],
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'CAROBSLIP_NODE_FILE': str(path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        return self.processes[name]

    def log_lines(self, name: str) -> list[dict[str, Any]]:
        """Returns what a process has logged, as records."""
        records = []
        for line in (self.folder / f'{name}.log').read_text().splitlines():
            try:
                records.append(json.loads(line))
            except ValueError:
                records.append({'text': line})
        return records

    async def wait_ready(self, address: str, *, within_s: float = 40) -> None:
        """Waits until an entry is ready."""
        host, _separator, port = address.rpartition(':')
        async with asyncio.timeout(within_s):
            while True:
                try:
                    reader, writer = await asyncio.open_connection(host, port)
                    writer.write(
                        b'GET /carobslip/ready HTTP/1.1\r\nHost: x\r\n\r\n'
                    )
                    line = await reader.readline()
                    writer.close()
                    if b' 200 ' in line:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.1)

    def end(self) -> None:
        """Ends all processes that were started.

        The folder with their logs is removed, unless KEEP_LOGS is set.
        """
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if 'KEEP_LOGS' not in os.environ:
            shutil.rmtree(self.folder)


class Record:
    """Writes what happens, with the time since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (pathlib.Path(folder) / 'record.txt').open(
            'w', buffering=1
        )
        self._start_s = asyncio.get_running_loop().time()

    def write(self, text: str) -> None:
        """Writes a line."""
        now_s = asyncio.get_running_loop().time() - self._start_s
        self._file.write(f'{now_s:8.3f} s  {text}\n')


def has_trouble() -> bool:
    """Tells whether the disruption is played."""
    return os.environ.get('TROUBLE', '1') != '0'


def _commands() -> dict[str, list[str]]:
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return {
        role: [
            sys.executable if word == 'python3' else word
            for word in known['run'].split()
        ]
        for role, known in deploy['roles'].items()
    }


def entry_of(
    address: str, service: str = 'bookings', slots: int = 6
) -> dict[str, Any]:
    """Returns what an engine writes of itself to the store."""
    return {
        'service': service,
        'address': address,
        'zone': 'leeds',
        'version': 'v1',
        'slots': slots,
        'state': 'ready',
        'cold_left_ms': 0,
        'seq': 1,
        'born': 1,
    }
