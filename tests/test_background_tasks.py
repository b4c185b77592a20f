"""Background tasks that fail or end are restarted, logged and counted."""

import asyncio
import socket

import pytest

from carobslip import identifiers, observability, processes, targets, tasks
from tests.fakes import cluster, virtual
from tests.fakes import forwarding as fakes


class SupervisedWork:
    """Work that ends in a chosen way at its first runs."""

    def __init__(self, *, failures, raises):
        self.metrics = observability.MetricsBook()
        self.log = cluster.RecordingLog()
        self.supervisor = tasks.Supervisor(log=self.log, metrics=self.metrics)
        self.failures = failures
        self.raises = raises
        self.runs = 0

    async def run(self):
        self.runs += 1
        await asyncio.sleep(0.1)
        if self.runs > self.failures:
            await asyncio.sleep(3600)
        if self.raises is not None:
            raise self.raises

    async def run_to_end(self):
        self.runs += 1
        if self.runs <= self.failures:
            raise self.raises

    def faults(self):
        return [
            fields['fault']
            for event, fields in self.log.events
            if event is observability.Event.TASK_FAILED
        ]


@pytest.mark.parametrize(
    'raises',
    [None, RecursionError('deep'), OverflowError('large'), KeyError('odd')],
)
def test_task_that_ends_is_logged_and_restarted(raises):
    async def scenario():
        work = SupervisedWork(failures=3, raises=raises)
        work.supervisor.keep_running(work.run)
        assert work.supervisor.is_healthy
        await asyncio.sleep(0.2)
        assert not work.supervisor.is_healthy
        await asyncio.sleep(4)
        assert work.runs == 4
        assert not work.supervisor.is_healthy
        expected = 'it ended' if raises is None else repr(raises)
        assert work.faults() == 3 * [expected]
        assert 'task_failures_total 3' in work.metrics.text()
        await asyncio.sleep(6)
        assert work.supervisor.is_healthy
        await work.supervisor.close()
        assert len(asyncio.all_tasks()) == 1

    virtual.run(scenario)


def test_work_that_ends_by_itself_is_restarted_only_after_a_failure():
    async def scenario():
        work = SupervisedWork(failures=2, raises=OSError('port in use'))
        work.supervisor.run_to_end(work.run_to_end)
        await asyncio.sleep(60)
        assert work.runs == 3
        assert len(work.faults()) == 2
        assert work.supervisor.is_healthy
        await work.supervisor.close()

    virtual.run(scenario)


def test_failure_of_work_that_runs_once_is_logged():
    async def scenario():
        work = SupervisedWork(failures=1, raises=RecursionError('deep'))
        await work.supervisor.run_once(work.run())
        assert work.faults() == ["RecursionError('deep')"]
        await work.supervisor.close()

    virtual.run(scenario)


class FlakyTargetList:
    """A list of targets whose following fails at first."""

    def __init__(self):
        self.follows = 0
        self.is_applied = asyncio.Event()

    async def follow(self):
        self.follows += 1
        if self.follows == 1:
            raise RecursionError('deep')
        yield targets.TargetSnapshot(
            records=(fakes.record('i-1', fakes.SERVICE),), revision=1
        )
        self.is_applied.set()
        await asyncio.Event().wait()


async def _serve(_entry):
    async def stop():
        pass

    return stop


async def test_entry_follows_the_target_list_again_after_a_failure():
    target_list = FlakyTargetList()
    with socket.socket() as free:
        free.bind(('127.0.0.1', 0))
        address = f'127.0.0.1:{free.getsockname()[1]}'
    entry = processes.ForwardingEntry(
        own=processes.ForwardingEntrySettings(
            instance=identifiers.InstanceId('e1'),
            data_centre=identifiers.DataCentreId('z'),
            http_address='127.0.0.1:1',
            control_address=address,
            stop_min_ms=0,
            drain_ms=0,
        ),
        connect=lambda _entry: processes.ForwardingAdapters(
            platform=cluster.FakePlatform(),
            targets=target_list,
            target_port=fakes.FakePort([]),
            serve=_serve,
        ),
        metrics=observability.MetricsBook(),
    )
    await entry.start()
    try:
        async with asyncio.timeout(10):
            await target_list.is_applied.wait()
        assert len(entry.book) == 1
        assert not entry.is_ready
        assert 'task_failures_total 1' in entry.metrics.text()
    finally:
        await entry.stop()
