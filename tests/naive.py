"""A naive entry, for differential tests only.

It selects targets round robin, without checking the list, and retries at the
next target after any failure, whether or not the call is repeatable.
"""

import asyncio
import itertools

from carobslip import entry, guard, verdicts
from tests.fakes import cluster as clusters


class NaiveRunner:
    """Sends requests directly to targets, with retries."""

    def __init__(self, cluster: clusters.Cluster, name: str) -> None:
        self._cluster = cluster
        self._name = name
        self._next_index = itertools.count()

    async def run(
        self, request: entry.CallerRequest, caller: entry.Caller
    ) -> verdicts.Outcome:
        """Runs a request and relays its reply."""
        prefix = 'engine' if request.service == 'drafting' else 'desk'
        names = [
            name for name in self._cluster.targets if name.startswith(prefix)
        ]
        for _ in range(3):
            name = names[next(self._next_index) % len(names)]
            try:
                async with asyncio.timeout(1):
                    return await self._call(name, request, caller)
            except (
                TimeoutError,
                guard.TargetLost,
                guard.TargetNotReached,
            ):
                continue
        return verdicts.not_run(verdicts.Reason.TARGET_FAILED)

    async def _call(
        self,
        name: str,
        request: entry.CallerRequest,
        caller: entry.Caller,
    ) -> verdicts.Outcome:
        network = self._cluster.network
        guard_name = f'guard-{name}'
        network.observe('Attempt', self._name, guard_name)
        if not await network.travel(self._name, guard_name):
            await asyncio.sleep(10)
        member = self._cluster.members[guard_name]
        if member.host.dead:
            raise guard.TargetNotReached('refused')
        call = guard.TargetCall(
            request_id=request.request_id,
            method=request.method,
            path=request.path,
            content_type=request.content_type,
            body=request.body,
            key=request.key,
            timeout_ms=1000,
            priority=5,
        )
        async with self._cluster.targets[name].call(call) as answer:
            content = b''.join([part async for part in answer.chunks()])
            if not await network.travel(guard_name, self._name):
                await asyncio.sleep(10)
        await caller.begin(answer.status, answer.content_type)
        await caller.write(content)
        return verdicts.ran()


def make_naive(cluster: clusters.Cluster) -> None:
    """Replaces the runner of every entry by a naive one."""
    for name, member in cluster.members.items():
        if member.runner is not None:
            member.runner = NaiveRunner(cluster, name)
