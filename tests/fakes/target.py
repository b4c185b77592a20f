"""A simulated target with an independent ledger."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from carobslip import guard
from tests.fakes import host as hosts


class FakeAnswer:
    status = 200
    content_type = 'application/json'

    def __init__(self, parts: list[bytes], broken_after: int | None) -> None:
        self._parts = parts
        self._broken_after = broken_after

    async def chunks(self) -> AsyncIterator[bytes]:
        for number, part in enumerate(self._parts):
            if number == self._broken_after:
                raise guard.TargetLost('reset in the middle')
            await asyncio.sleep(0.001)
            yield part


class FakeTarget:
    """Runs calls in a separate process that outlives its guard."""

    def __init__(self, name: str) -> None:
        self.host = hosts.Host(name)
        self.ran: list[guard.TargetCall] = []
        self.started_s: list[float] = []
        self.work_s = 0.02
        self.capacity = 1000
        self.in_progress = 0
        self.highest_in_progress = 0
        self.hang = False
        self.unreachable = False
        self.reset_before_run = False
        self.reset_after_run = False
        self.broken_after: int | None = None
        self.parts = 1
        self.on_call = lambda _call: None

    @asynccontextmanager
    async def call(self, call: guard.TargetCall) -> AsyncIterator[FakeAnswer]:
        self.on_call(call)
        await asyncio.sleep(0.0005)
        if self.unreachable or self.host.dead:
            raise guard.TargetNotReached('connection refused')
        if self.reset_before_run:
            raise guard.TargetLost('reset before the run')
        self.ran.append(call)
        self.started_s.append(asyncio.get_running_loop().time())
        work = self.host.spawn(self._work())
        await asyncio.shield(work)
        if self.reset_after_run:
            raise guard.TargetLost('reset after the run')
        await asyncio.sleep(0.0005)
        parts = [call.body] + [b'.' for _ in range(self.parts - 1)]
        yield FakeAnswer(parts, self.broken_after)

    async def _work(self) -> None:
        self.in_progress += 1
        self.highest_in_progress = max(
            self.highest_in_progress, self.in_progress
        )
        try:
            overload = max(1.0, self.in_progress / self.capacity)
            await asyncio.sleep(self.work_s * overload**2)
            if self.hang:
                await asyncio.sleep(3600)
        finally:
            self.in_progress -= 1

    async def is_up(self) -> bool:
        return not (self.unreachable or self.host.dead)
