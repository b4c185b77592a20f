"""Simulated processes that can be killed, or frozen as by SIGSTOP."""

import asyncio
import collections.abc
import contextvars
import functools
import os
import random
from collections.abc import Callable, Coroutine
from typing import Any

import looptime

current: contextvars.ContextVar['Host | None'] = contextvars.ContextVar(
    'current',
    default=None,
)


#: Tasks by process. Those of killed processes stay referenced forever: garbage
#: collection would run their cleanup, which a killed process never runs.
_tasks: list[tuple['Host', 'asyncio.Task[Any]']] = []
_killed: list['asyncio.Task[Any]'] = []


class Host:
    """One simulated process; its tasks stop while it is frozen."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.dead = False
        self.frozen = False
        self.thaw_waiters: list[asyncio.Future[None]] = []
        self.on_death: list[Callable[[], None]] = []

    def freeze(self) -> None:
        self.frozen = True

    def thaw(self) -> None:
        self.frozen = False
        waiting, self.thaw_waiters = self.thaw_waiters, []
        for waiter in waiting:
            if not waiter.done():
                waiter.set_result(None)

    def kill(self) -> None:
        """Stops all tasks where they are, without any cleanup."""
        self.dead = True
        self.frozen = True
        callbacks, self.on_death = self.on_death, []
        for callback in callbacks:
            callback()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task that belongs to this process."""
        token = current.set(self)
        try:
            return asyncio.ensure_future(work)
        finally:
            current.reset(token)


class _Freezable(collections.abc.Coroutine):
    """Forwards every step of a task, unless its process is frozen."""

    def __init__(self, work: Coroutine[Any, Any, Any], host: Host) -> None:
        self._work = work
        self._host = host
        self._held: tuple[str, Any] | None = None

    def send(self, step: Any) -> Any:
        if self._host.frozen:
            self._held = self._held or ('send', step)
            return self._hold()
        held, self._held = self._held, None
        if held is not None and held[0] == 'throw':
            return self._work.throw(held[1])
        return self._work.send(step)

    def throw(self, kind: Any, value: Any = None, traceback: Any = None) -> Any:
        fault = value if value is not None else kind
        if self._host.frozen:
            self._held = ('throw', fault)
            return self._hold()
        return self._work.throw(fault)

    def close(self) -> None:
        if not self._host.dead:
            self._work.close()

    def __await__(self) -> Any:
        return self

    def _hold(self) -> asyncio.Future[None]:
        waiter = asyncio.get_running_loop().create_future()
        waiter._asyncio_future_blocking = True
        self._host.thaw_waiters.append(waiter)
        return waiter


def _new_task(
    loop: asyncio.AbstractEventLoop,
    work: Coroutine[Any, Any, Any],
    context: contextvars.Context | None = None,
) -> asyncio.Task[Any]:
    host = current.get() if context is None else context.get(current)
    if host is None:
        return asyncio.Task(work, loop=loop, context=context)
    task = asyncio.Task(_Freezable(work, host), loop=loop, context=context)
    _tasks.append((host, task))
    return task


def run_virtual(work: Coroutine[Any, Any, Any], *, seed: int = 0) -> Any:
    """Runs a coroutine on a loop whose time is virtual."""
    random.seed(seed)
    real_entropy, os.urandom = os.urandom, random.randbytes
    loop = looptime.new_event_loop(start=1000.0, noop_cycles=0)
    loop.set_task_factory(_new_task)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work)
    finally:
        _abandon(loop)
        os.urandom = real_entropy


def virtual(test: Callable[..., Coroutine[Any, Any, Any]]) -> Any:
    """Decorates an async test so that it runs on virtual time."""

    @functools.wraps(test)
    def run(**arguments: Any) -> None:
        run_virtual(test(**arguments))

    return run


def _abandon(loop: asyncio.AbstractEventLoop) -> None:
    killed = {task for host, task in _tasks if host.dead and not task.done()}
    _killed.extend(killed)
    _tasks.clear()
    remaining = asyncio.all_tasks(loop) - killed
    for task in remaining:
        task.cancel()
    loop.set_exception_handler(lambda _loop, _context: None)
    if remaining:
        loop.run_until_complete(asyncio.wait(remaining, timeout=5))
    for task in killed:
        task._log_destroy_pending = False
    asyncio.set_event_loop(None)
    loop.close()
