"""Starts a fleet of real processes on loopback addresses."""

import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.request

ROOT = pathlib.Path(__file__).parents[2]


_ports = itertools.count(10_000)


def free_address() -> str:
    """Returns an address that no other process of this machine uses.

    The loopback address is derived from the process id, and ports are counted
    up below the ephemeral range, so parallel test processes cannot collide.
    """
    pid = os.getpid()
    return f'127.{1 + pid % 250}.{pid // 250 % 250}.1:{next(_ports)}'


class Fleet:
    """Processes of one fleet, its platform and its targets.

    Args:
        folder: Directory for settings and logs.
        services: Targets by service, each with its data centre.
        entries: Data centres of the entry instances.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        services: dict[str, dict[str, str]],
        entries: list[str],
    ) -> None:
        self.folder = folder
        self.platform = free_address()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.records: dict[str, dict[str, str]] = {}
        self.settings: dict[str, dict[str, object]] = {}
        self.targets: dict[str, str] = {}
        self.environment = {
            **os.environ,
            'PYTHONPATH': f'{ROOT / "src"}:{ROOT}',
        }
        for number, data_centre in enumerate(entries):
            self._add(f'entry-{number}', 'entry', data_centre, None, None)
        for service, members in services.items():
            for target, data_centre in members.items():
                self.targets[target] = free_address()
                name = f'guard-{target}'
                self._add(name, 'guard', data_centre, service, target)

    def _add(self, name, role, data_centre, service, target) -> None:
        addresses = {
            'http_address': free_address(),
            'control_address': free_address(),
        }
        record = {
            'instance': name,
            'role': role,
            'data_centre': data_centre,
            **addresses,
        }
        settings = {
            'kind': role,
            'instance': name,
            'data_centre': data_centre,
            **addresses,
            'operator_address': free_address(),
            'platform': {
                'configuration_url': f'http://{self.platform}/configuration',
                'instances_url': f'http://{self.platform}/instances',
                'poll_ms': 200,
                'watch_ms': 2000,
            },
        }
        if target is not None:
            record |= {'service': service, 'target': target}
            settings['target'] = {
                'target': target,
                'service': service,
                'base_url': f'http://{self.targets[target]}',
            }
        self.records[name] = record
        self.settings[name] = settings

    def start_platform(self, configuration: str) -> None:
        self.spawn('platform', 'tests.standins.platform', self.platform)
        self.wait_for_http(f'http://{self.platform}/reads')
        self.control(configuration=configuration)
        self.publish()

    def publish(self, leaving: tuple[str, ...] = ()) -> None:
        """Publishes the instance list."""
        records = [
            record | {'state': 'leaving' if name in leaving else 'live'}
            for name, record in self.records.items()
        ]
        self.control(instances=json.dumps({'instances': records}))

    def start_all(self) -> None:
        for target in self.targets:
            self.start_target(target)
        for name in self.records:
            self.start(name)
        for target, address in self.targets.items():
            self.wait_for_http(f'http://{address}/health', target)
        for name in self.records:
            self.wait_until_serving(name)
        for name in self.records:
            self.wait_until_members_alive(name)

    def wait_until_members_alive(self, name: str) -> None:
        """Waits until a process considers all others alive.

        On a busy machine, processes that start late are first marked dead.
        """
        deadline = time.monotonic() + 60
        while True:
            members = self.status(name)['members']
            states = [member['state'] for member in members]
            if states == ['alive'] * len(self.records):
                return
            assert time.monotonic() < deadline, f'{name}: {members}'
            time.sleep(0.1)

    def start_target(self, target: str) -> None:
        self.spawn(target, 'tests.standins.target', self.targets[target])

    def start(self, name: str) -> None:
        settings = self.settings[name]
        file = self.folder / f'{name}.json'
        file.write_text('// written by the launcher\n' + json.dumps(settings))
        self.spawn(
            name,
            'carobslip',
            str(settings['kind']),
            '--settings',
            str(file),
        )

    def spawn(self, name: str, module: str, *arguments: str) -> None:
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdout=log,
                stderr=log,
                env=self.environment,
                cwd=ROOT,
            )

    def wait_until_serving(self, name: str) -> None:
        address = self.settings[name]['operator_address']
        self.wait_for_http(f'http://{address}/status', name)

    def wait_for_http(self, url: str, name: str = 'platform') -> None:
        deadline = time.monotonic() + 60
        while True:
            try:
                urllib.request.urlopen(url, timeout=2).read()
            except OSError:
                assert self.processes[name].poll() is None, self.log(name)
                assert time.monotonic() < deadline, self.log(name)
                time.sleep(0.05)
            else:
                return

    def log(self, name: str) -> str:
        return (self.folder / f'{name}.log').read_text()

    def control(self, **change: object) -> None:
        self.post(f'http://{self.platform}/control', change)

    def fault(self, target: str, **fault: object) -> None:
        self.post(f'http://{self.targets[target]}/fault', fault)

    def ledger(self, target: str) -> dict:
        url = f'http://{self.targets[target]}/ledger'
        return json.load(urllib.request.urlopen(url, timeout=5))

    def status(self, name: str) -> dict:
        address = self.settings[name]['operator_address']
        url = f'http://{address}/status'
        return json.load(urllib.request.urlopen(url, timeout=5))

    def post(self, url: str, content: dict) -> None:
        request = urllib.request.Request(
            url,
            data=json.dumps(content).encode(),
        )
        urllib.request.urlopen(request, timeout=5).read()

    def signal(self, name: str, number: signal.Signals) -> None:
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def stop(self, name: str, timeout_s: float = 60) -> int:
        self.signal(name, signal.SIGTERM)
        return self.processes.pop(name).wait(timeout_s)

    def stop_all(self) -> dict[str, int]:
        """Stops all processes; returns the exit codes of the system's ones."""
        codes = self.stop_system()
        self.kill_all()
        return codes

    def stop_system(self) -> dict[str, int]:
        """Stops entries and guards gracefully, but not the stand-ins."""
        codes = {}
        names = [name for name in self.records if name in self.processes]
        for name in names:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGTERM)
        for name in names:
            codes[name] = self.processes.pop(name).wait(60)
        return codes

    def kill_all(self) -> None:
        for name in list(self.processes):
            self.kill(name)

    def entry_url(self, number: int = 0) -> str:
        return f'http://{self.records[f"entry-{number}"]["http_address"]}'
