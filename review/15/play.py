"""A silent connection to the store keeps a departed engine in use."""

import asyncio
import itertools
import pathlib
import sys
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'support-3'))

import machines  # noqa: E402
import plain_deployment  # noqa: E402

TIME_LIMIT_MS = 3_000
DRAIN_S = machines.BOUNDS['drain_ms'] / 1000
CONTACT_S = machines.BOUNDS['contact_ms'] / 1000
#: Scheduling of the stand-ins themselves.
MARGIN_S = 0.1
LEAVER = 'i-1'
PLAY_S = 9
CONFIGURATION = {
    'version': 1,
    'routes': [
        {
            'name': 'book',
            'host': plain_deployment.HOST,
            'prefix': '/book/',
            'kind': 'non_idempotent',
            'timeout_ms': TIME_LIMIT_MS,
            'goal_ms': 500,
            'priority': 1,
            'service': 'bookings',
            'max_attempts': 1,
        }
    ],
    'services': [
        {'name': 'bookings', 'health_path': '/health', 'max_conns': 100}
    ],
    'limits': machines.CALLER_LIMITS,
    'tenants': [{'name': 't1', 'api_keys': ['key-1']}],
}


class Played:
    """The leaving of one engine, and the requests that reach it.

    Args:
        deployment: The deployment.
        record: Receives what happens.
    """

    def __init__(
        self,
        *,
        deployment: plain_deployment.PlainDeployment,
        record: machines.Record,
    ) -> None:
        self.arrivals_s: list[float] = []
        self.silent_s: float | None = None
        self._deployment = deployment
        self._record = record
        self._watched = asyncio.Event()
        deployment.store.silences = self._silence

    def note_run(self, target: str) -> None:
        """Notes that a request has reached an engine."""
        if target == LEAVER:
            self.arrivals_s.append(asyncio.get_running_loop().time())

    async def call_steadily(self) -> None:
        """Sends requests, each on a new connection."""
        for number in itertools.count(1):
            channel = plain_deployment.Channel(
                self._deployment.fronts[0], self._record
            )
            await channel.open()
            await channel.ask(
                '/book/a',
                f'r{number}',
                time_limit_ms=TIME_LIMIT_MS,
                fields=('Authorization: Token key-1',),
            )
            channel.close()
            await asyncio.sleep(0.05)

    async def leave(self) -> float:
        """Removes the entry of one engine; returns when the store confirmed."""
        self._watched.clear()
        self._is_due = True
        await self._watched.wait()
        await asyncio.sleep(0.1)
        self._deployment.store.delete(f'servers/{LEAVER}')
        self._record.write(f'the store confirms that {LEAVER} is gone')
        return asyncio.get_running_loop().time()

    _is_due = False

    def _silence(self, prefix: str) -> bool:
        if prefix != 'servers/' or not self._is_due:
            return False
        self._is_due = False
        self._watched.set()
        if not machines.has_trouble():
            return False
        self.silent_s = asyncio.get_running_loop().time()
        self._record.write('the connection of a watch goes silent')
        return True


async def play() -> int:
    """Plays the case; returns the exit code."""
    record = machines.Record(HERE)
    fleet = machines.Machines()
    try:
        deployment = plain_deployment.PlainDeployment(
            fleet=fleet, record=record
        )
        played = Played(deployment=deployment, record=record)
        deployment.on_run = played.note_run
        await deployment.start_store(CONFIGURATION)
        for _ in range(3):
            await deployment.start_engine('bookings', lambda _one: b'booked')
        await deployment.start_entries(1)
        await asyncio.sleep(5)
        calls = asyncio.ensure_future(played.call_steadily())
        await asyncio.sleep(3)
        if not played.arrivals_s:
            return 2
        gone_s = await played.leave()
        await asyncio.sleep(PLAY_S)
        calls.cancel()
        await asyncio.gather(calls, return_exceptions=True)
        from_s = gone_s + DRAIN_S
        if played.silent_s is not None:
            from_s = max(from_s, played.silent_s + CONTACT_S)
        late = [
            round(one - gone_s, 2)
            for one in played.arrivals_s
            if one > from_s + MARGIN_S
        ]
        record.write(
            f'{len(late)} requests reached {LEAVER} later than drain_ms after '
            'the confirmation, from an entry in touch; seconds after it: '
            f'{late}'
        )
        if late:
            record.write('the rule DRAIN is broken')
        return 1 if late else 0
    finally:
        fleet.end()


try:
    CODE = asyncio.run(play())
except Exception:
    traceback.print_exc()
    CODE = 2
# The code 1 is also that of a script that does not start.
sys.exit(11 if CODE == 1 else CODE)
