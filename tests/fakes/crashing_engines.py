"""Engines in lock-step groups that crash on one part of a prompt."""

import asyncio
import contextlib
import random

from carobslip import guard, identifiers, targets
from tests.fakes import forwarding as fakes

CONNECT_S = 0.002
#: Time from the arrival of a request to its first event, and between events.
READ_S = 0.15
EVENT_S = 0.03
EVENTS = 16
#: Time for which a group waits for a lost rank.
STALL_S = 1.5
#: Time until a crashed engine is back, and until its group forms again.
DOWN_S = 3.2
FORM_S = 1.0


class _Engine:
    def __init__(self, number, group):
        self.number = number
        self.group = group
        self.starts = 0
        self.calls = set()
        self.crashed = asyncio.Event()

    @property
    def target(self):
        return identifiers.TargetId(f'e{self.number}-{self.starts}')

    @property
    def is_up(self):
        return not self.crashed.is_set()


class _Group:
    def __init__(self):
        self.lost = 0
        self.broken_s = 0.0


class _Stream:
    """The answer of an engine; its body ends early if the engine is lost."""

    def __init__(self, world, engine, call):
        answer = fakes.events()
        self.head = answer.head
        self.has_not_run = False
        self.is_other_target = False
        self.is_event_stream = True
        self.load = None
        self.rate_limits = ()
        self.is_leaving = False
        self.retry_after = None
        self.target_at_fault = None
        self._world = world
        self._engine = engine
        self._call = call
        self._crashed = engine.crashed

    async def chunks(self):
        first = int(self._call.last_event or 0) + 1
        is_deadly = self._world.is_deadly(self._call.request)
        for number in range(first, EVENTS + 1):
            if is_deadly and number - first >= self._world.events:
                self._world.crash(self._engine)
                raise guard.TargetLost('closed between two events')
            yield b'id: %d\ndata: x\n\n' % number
            await self._world.pause(self._engine, self._crashed, EVENT_S)


class World:
    """Engines, their crashes, and what reached them.

    Args:
        deadly: Parts of a prompt that crash engines.
        engines: Number of engines.
        events: Events of an answer before a deadly part crashes its engine.
        groups: Number of lock-step groups.
    """

    def __init__(self, deadly, *, engines=16, groups=2, seed=1, events=0):
        self.random = random.Random(seed)
        self.deadly = frozenset(deadly)
        self.events = events
        self._groups = [_Group() for _ in range(groups)]
        self._engines = {
            f'e{number}:1': _Engine(number, self._groups[number % groups])
            for number in range(engines)
        }
        self.entries = []
        self.crashes_s = []
        self.deadly_sends_s = []
        self.begun = set()
        self.probes = 0
        self._tasks = set()

    def now_s(self):
        return asyncio.get_running_loop().time()

    def publish(self):
        """Gives all entries the list of engines."""
        self._revision = getattr(self, '_revision', 0) + 1
        snapshot = targets.TargetSnapshot(
            records=tuple(
                fakes.record(
                    engine.target,
                    fakes.SERVICE,
                    address=address,
                    slots=6,
                    started_wall_ms=engine.starts + 1,
                )
                for address, engine in self._engines.items()
                if engine.is_up
            ),
            revision=self._revision,
        )
        for entry in self.entries:
            entry.book.apply(snapshot)

    async def is_gone(self, record):
        """Tells whether an engine no longer runs in the start listed."""
        self.probes += 1
        await asyncio.sleep(CONNECT_S)
        engine = self._engines[record.address]
        return not engine.is_up or engine.target != record.target

    @contextlib.asynccontextmanager
    async def call(self, call):
        """Runs a call of an entry."""
        await asyncio.sleep(CONNECT_S)
        engine = self._engines[call.address]
        if not engine.is_up:
            raise guard.TargetNotReached('refused')
        if engine.target != call.target:
            yield fakes.FakeAnswer(status=421, is_other_target=True)
            return
        is_deadly = self.is_deadly(call.request)
        if is_deadly:
            self.deadly_sends_s.append(self.now_s())
        crashed = engine.crashed
        if engine.group.lost:
            await self._stall(engine, crashed)
            yield fakes.FakeAnswer(status=503, has_not_run=True)
            return
        broken_s = engine.group.broken_s
        await _wait_unless(crashed, READ_S)
        if engine.group.broken_s != broken_s:
            await self._stall(engine, crashed)
            yield fakes.FakeAnswer(status=503, has_not_run=True)
            return
        if is_deadly and not self.events:
            self.crash(engine)
            raise guard.TargetLost('closed before the first event')
        self.begun.add(call.request.request_id)
        yield _Stream(self, engine, call)

    def is_deadly(self, request):
        """Tells whether a request crashes the engine that begins it."""
        return not self.deadly.isdisjoint(request.shared_parts)

    async def pause(self, engine, crashed, duration_s):
        """Waits for the next event of a stream.

        Raises:
            guard.TargetLost: The engine or a rank of its group was lost.
        """
        broken_s = engine.group.broken_s
        await _wait_unless(crashed, duration_s)
        if engine.group.broken_s != broken_s:
            await self._stall(engine, crashed)
            raise guard.TargetLost('the group lost a rank')

    def crash(self, engine):
        """Crashes an engine; it is back in another start after a while."""
        if not engine.is_up:
            return
        self.crashes_s.append(self.now_s())
        engine.crashed.set()
        engine.group.lost += 1
        engine.group.broken_s = self.now_s()
        task = asyncio.ensure_future(self._restart(engine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def crash_share(self, share):
        """Crashes a share of the engines at the same moment."""
        engines = [one for one in self._engines.values() if one.is_up]
        for engine in self.random.sample(engines, int(share * len(engines))):
            self.crash(engine)

    async def close(self):
        """Ends the restarts that are still in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _stall(self, engine, crashed):
        left_s = engine.group.broken_s + STALL_S - self.now_s()
        await _wait_unless(crashed, max(0.0, left_s))

    async def _restart(self, engine):
        await asyncio.sleep(0.05)
        self._avoid_group(engine.group, (DOWN_S + FORM_S) * 1000)
        await asyncio.sleep(DOWN_S)
        engine.starts += 1
        engine.crashed = asyncio.Event()
        self.publish()
        self._avoid_group(engine.group, FORM_S * 1000)
        await asyncio.sleep(FORM_S)
        engine.group.lost -= 1

    def _avoid_group(self, group, avoid_ms):
        for engine in self._engines.values():
            if engine.group is group:
                for entry in self.entries:
                    entry.loads.avoid(engine.target, avoid_ms)


async def _wait_unless(crashed, duration_s):
    """Waits; raises TargetLost as soon as the engine crashes."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(duration_s):
            await crashed.wait()
    if crashed.is_set():
        raise guard.TargetLost('the engine crashed')
