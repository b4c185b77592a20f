"""Runs background tasks, whose failures never pass unnoticed."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final

from carobslip import observability

_RESTART_PAUSE_S: Final = 1.0
#: A task that has run for this long since its failure counts as working again.
_SETTLED_S: Final = 5.0
#: Counts the failures of all tasks.
_FAILURES: Final = 'task_failures'


class Supervisor:
    """Starts the background tasks of a process, and restarts those that end.

    Args:
        log: Records failures.
        metrics: Counts failures.
    """

    def __init__(
        self,
        *,
        log: observability.EventLog,
        metrics: observability.Metrics | None = None,
    ) -> None:
        self._log = log
        self._metrics = metrics or observability.NoMetrics()
        self._tasks: set[asyncio.Task[None]] = set()
        self._failing: dict[str, asyncio.TimerHandle | None] = {}

    @property
    def is_healthy(self) -> bool:
        """Whether no task has failed recently."""
        return not self._failing

    def keep_running(self, work: Callable[[], Awaitable[None]]) -> None:
        """Runs work that has no end, and restarts it whenever it ends."""
        self._start(self._repeat(work, until_done=False))

    def run_to_end(self, work: Callable[[], Awaitable[None]]) -> None:
        """Runs work that ends, and restarts it only after a failure."""
        self._start(self._repeat(work, until_done=True))

    def run_once(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs work that something else repeats; records a failure."""
        return self._start(self._run_once(work))

    async def close(self) -> None:
        """Cancels all tasks and waits for their end."""
        running = list(self._tasks)
        for task in running:
            task.cancel()
        for timer in self._failing.values():
            if timer is not None:
                timer.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _repeat(
        self, work: Callable[[], Awaitable[None]], *, until_done: bool
    ) -> None:
        name = work.__qualname__
        while True:
            fault = 'it ended'
            try:
                await work()
            except Exception as error:
                fault = repr(error)
            else:
                if until_done:
                    self._note_settled(name)
                    return
            self._note_failure(name, fault)
            await asyncio.sleep(_RESTART_PAUSE_S)
            self._failing[name] = asyncio.get_running_loop().call_later(
                _SETTLED_S, self._note_settled, name
            )

    async def _run_once(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except Exception as error:
            name = getattr(work, '__qualname__', type(work).__name__)
            self._write_failure(name, repr(error))

    def _note_failure(self, name: str, fault: str) -> None:
        timer = self._failing.get(name)
        if timer is not None:
            timer.cancel()
        self._failing[name] = None
        self._write_failure(name, fault)

    def _write_failure(self, name: str, fault: str) -> None:
        self._metrics.count(_FAILURES)
        self._log.write(observability.Event.TASK_FAILED, task=name, fault=fault)

    def _note_settled(self, name: str) -> None:
        timer = self._failing.pop(name, None)
        if timer is not None:
            timer.cancel()
