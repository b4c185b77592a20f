"""Starts the project's programs as the deploy file says, on loopback."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

from review.standins import http

ROOT = pathlib.Path(__file__).parents[2]
#: Settings that the pages name for the site ``hartwell-collect``.
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
ZONES = ('leeds', 'york', 'bradford')
HOST = 'host.example'
LIMITS = {
    'header_bytes': 16384,
    'body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
_PASSED_ON = ('PATH', 'HOME', 'LANG')
_CALLERS, _READY, _CONTROL, _DIRECTORY = range(4)
_PORTS = 20


class CannotRun(Exception):
    """The case could not be played; the message tells why."""


class Network:
    """Hands out loopback addresses; each machine has one of its own."""

    def __init__(self) -> None:
        pid = os.getpid()
        self._prefix = f'127.{1 + pid % 250}.{1 + pid // 250 % 250}'
        self._machines = 0
        self.port = 20_000 + pid % 97 * 100

    def new_machine(self) -> str:
        """Returns an address on which the ports are free."""
        while self._machines < 200:
            self._machines += 1
            host = f'{self._prefix}.{self._machines}'
            if all(_is_free(host, self.port + n) for n in range(_PORTS)):
                return host
        raise CannotRun('no free loopback address')


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


class Entry:
    """A machine with one process of the project: an entry, or a guard.

    Args:
        name: Name of the machine.
        zone: Its zone.
        host: Its address.
        port: The first of its ports.
        service: Service of the engine beside a guard; empty for an entry.
    """

    def __init__(
        self, name: str, zone: str, host: str, port: int, service: str = ''
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.host = host
        self.port = port
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    def address(self, number: int) -> str:
        """Returns one of its addresses."""
        return f'{self.host}:{self.port + number}'

    @property
    def callers(self) -> str:
        """Where callers connect."""
        return self.address(_CALLERS)

    @property
    def engine(self) -> str:
        """Where the engine beside a guard takes calls."""
        return self.address(0)

    @property
    def control(self) -> str:
        """Where other entries connect."""
        return self.address(_CONTROL)


class Deployment:
    """A small deployment: entries, and the address of a store.

    Args:
        entries: Number of entries.
        guards: Number of guards.
        service: Service of the engines beside the guards.
    """

    def __init__(
        self, entries: int, *, guards: int = 0, service: str = ''
    ) -> None:
        self.network = Network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='carobslip-review-'))
        self.store_host = self.network.new_machine()
        self.store_port = self.network.port
        self.entries = [
            Entry(
                f'front-{ZONES[number % 3]}-{number}',
                ZONES[number % 3],
                self.network.new_machine(),
                self.network.port,
            )
            for number in range(entries)
        ]
        self.guards = [
            Entry(
                f'side-{ZONES[number % 3]}-{number}',
                ZONES[number % 3],
                self.network.new_machine(),
                self.network.port,
                service,
            )
            for number in range(guards)
        ]
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._commands = {
            role: deploy['roles'][role]['run'].split()
            for role in ('entry', 'guard')
        }

    def start(self, entry: Entry, *, first: bool = False) -> None:
        """Starts the process of an entry."""
        entry.starts += 1
        path = self.folder / f'{entry.name}.yaml'
        # JSON is valid YAML.
        path.write_text(json.dumps(self._settings(entry, first=first)))
        log = (self.folder / f'{entry.name}-{entry.starts}.log').open('wb')
        environment = {
            name: os.environ[name] for name in _PASSED_ON if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['CAROBSLIP_NODE_FILE'] = str(path)
        entry.process = subprocess.Popen(
            self._commands['guard' if entry.service else 'entry'],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    async def start_all(self) -> None:
        """Starts all processes and waits until the entries are ready."""
        for entry in [*self.entries, *self.guards]:
            self.start(entry, first=True)
        for entry in self.entries:
            await self.wait_until_ready(entry)

    async def wait_until_ready(
        self, entry: Entry, timeout_s: float = 20.0
    ) -> None:
        """Waits until an entry says that it is ready."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            answer = await http.call(
                entry.address(_READY),
                'GET',
                '/carobslip/ready',
                {'Host': entry.host},
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f'{entry.name} is not ready after {timeout_s} s')

    def kill(self, entry: Entry, number: int = signal.SIGKILL) -> None:
        """Sends a signal to an entry; waits for its end after SIGKILL."""
        if entry.process is None:
            return
        entry.process.send_signal(number)
        if number == signal.SIGKILL:
            entry.process.wait()

    def stop(self) -> None:
        """Ends all processes and removes their files."""
        machines = [*self.entries, *self.guards]
        for entry in machines:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.kill()
        for entry in machines:
            if entry.process is not None:
                entry.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _settings(self, entry: Entry, *, first: bool) -> dict[str, Any]:
        role: dict[str, Any] = {
            'role': 'entry',
            'machine_class': 'front',
            'serves': ['front', 'directory', 'control'],
            'listen': {
                'front': entry.callers,
                'ready': entry.address(_READY),
                'control': entry.control,
                'directory': entry.address(_DIRECTORY),
            },
            'limits': {'memory_mb': 300, 'max_fds': 4100},
        }
        if entry.service:
            role = {
                'role': 'guard',
                'machine_class': 'side',
                'serves': ['side'],
                'listen': {},
                'limits': {'memory_mb': 168, 'max_fds': 1124},
                'app': entry.engine,
                'service': entry.service,
            }
        return role | {
            'node': entry.name,
            'ip': entry.host,
            'zone': entry.zone,
            'region': 'north',
            'zones': dict.fromkeys(ZONES, 'north'),
            'port_range': [entry.port + 10, entry.port + 19],
            'seed_nodes': [one.control for one in self.entries[:3]],
            'first_start': first,
            'in_tolerance': False,
            'data_dir': None,
            'discovery': 'platform',
            'entry_point': 'directory',
            'beat_ms': 1200,
            'bounds': BOUNDS,
            'provider': {
                'address': f'{self.store_host}:{self.store_port}',
                'form': 'read',
                'reads_per_s': 2000,
                'retention_s': 20,
                'value_bytes': 1048576,
            },
        }


class Record:
    """Writes ``record.txt`` of a case.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the time since the start."""
        self.write_at(time.monotonic(), text)

    def write_at(self, at_s: float, text: str) -> None:
        """Writes a line with a time of the monotonic clock."""
        self._file.write(f'{at_s - self._began_s:8.3f} {text}\n')
        self._file.flush()


def main(play: Any, folder: pathlib.Path) -> None:
    """Plays a case; exits with 1 if the rule was broken, 2 if it cannot run."""
    record = Record(folder)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'trouble={has_trouble}')
    try:
        is_broken = asyncio.run(play(record, has_trouble=has_trouble))
    except CannotRun as fault:
        record.write(f'cannot run: {fault}')
        sys.stdout.write(f'cannot run: {fault}\n')
        sys.exit(2)
    verdict = 'broken' if is_broken else 'held'
    record.write(f'rule {verdict}')
    sys.stdout.write(f'rule {verdict}\n')
    sys.exit(1 if is_broken else 0)
