"""Injects faults at every step of serving a request."""

import asyncio
import enum
import zlib

import msgspec

from carobslip import guard, verdicts
from tests import naive
from tests.fakes import cluster as clusters
from tests.fakes import host as hosts
from tests.matrix import faults

#: The message or call that marks the beginning of each step.
STEPS = {
    'address answer': 'address',
    'accept': 'Attempt',
    'choose': 'Hello',
    'admit': 'Arrived',
    'claim': 'VoteRequest',
    'run': 'call',
    'reply': 'Head',
    'reply ends': 'End',
    'settle': 'SettleKey',
    'replay': 'replay',
}
#: Body of the booking that a cell checks.
OWN_BODY = b'own'
_TRIES = 5
_BACKGROUND = 4


class Finding(enum.Enum):
    """Result of a cell of the matrix."""

    HELD = 'held'
    REFUSED_SAFELY = 'refused safely'
    NOT_APPLICABLE = 'not applicable'


class Cell(msgspec.Struct, kw_only=True, frozen=True):
    """The finding of one run, with its reason and seed."""

    finding: Finding
    why: str
    seed: int


class Trigger:
    """Injects the fault when the step is first observed."""

    def __init__(
        self, context: faults.FaultContext, step: str, fault: str
    ) -> None:
        self.context = context
        self.awaited = STEPS[step]
        self.fault = fault
        self.armed = False
        self.fired = False

    def observe(self, kind: str, source: str, target: str) -> None:
        if not self.armed or self.fired or kind != self.awaited:
            return
        members = self.context.cluster.members
        for name in (source, target):
            member = members.get(name)
            if member is not None and member.guard is None:
                self.context.entry = name
            elif member is not None and name.startswith('guard-desk'):
                self.context.guard = name
        self.fire()

    def fire(self) -> None:
        self.fired = True
        # The tasks that remove the fault must not belong to the process
        # that fails.
        token = hosts.current.set(None)
        try:
            for inject in faults.FAULTS[self.fault]:
                inject(self.context)
        finally:
            hosts.current.reset(token)


def run_cell(step: str, fault: str, *, with_naive: bool = False) -> Cell:
    """Runs one cell; raises AssertionError if a guarantee is violated.

    Args:
        step: One of STEPS.
        fault: One of faults.FAULTS.
        with_naive: Run the naive version instead of the real one.
    """
    seed = zlib.crc32(f'{step}/{fault}'.encode()) % 10_000
    work = _run_cell(step, fault, seed, with_naive=with_naive)
    return hosts.run_virtual(work, seed=seed)


async def _run_cell(
    step: str, fault: str, seed: int, *, with_naive: bool
) -> Cell:
    cluster = await clusters.small_cluster(seed)
    if with_naive:
        naive.make_naive(cluster)
    context = faults.FaultContext(
        cluster=cluster, entry='entry-1', guard='guard-desk-1'
    )
    trigger = Trigger(context, step, fault)
    cluster.network.observe = trigger.observe
    for name, target in cluster.targets.items():
        if name.startswith('desk'):
            target.on_call = _call_observer(trigger, name)
    key = cluster.new_key()
    if step == 'replay':
        await cluster.request('entry-1', key=key, body=OWN_BODY)
    if step == 'choose':
        for member in cluster.members.values():
            if member.hints is not None:
                member.hints.keep_only(())
    trigger.armed = True
    if step in {'address answer', 'replay'}:
        trigger.fire()
    if step == 'settle':
        # Losing a reply first forces the key to be settled.
        lose_replies(cluster)
    last = await _send_with_retries(cluster, key)
    if not trigger.fired:
        return Cell(
            finding=Finding.NOT_APPLICABLE,
            why='the step does not occur',
            seed=seed,
        )
    await asyncio.sleep(faults.FAULT_DURATION_S)
    faults.remove_faults(context)
    await asyncio.gather(*cluster.replies_tasks)
    # Processes that are still dead are restarted.
    for name, member in list(cluster.members.items()):
        if member.host.dead:
            await cluster.restart(name)
    await asyncio.sleep(5)
    if last.verdict is not verdicts.Verdict.RAN:
        last = await _request_again(cluster, key)
    await asyncio.sleep(30)
    check_guarantees(cluster)
    held = last.verdict is verdicts.Verdict.RAN
    return Cell(
        finding=Finding.HELD if held else Finding.REFUSED_SAFELY,
        why='' if held else last.outcome.reason.value,
        seed=seed,
    )


def lose_replies(cluster: clusters.Cluster) -> None:
    """Drops the first reply of every desk by closing its connection."""
    for target in cluster.targets.values():
        target.work_s = 0.2
    loop = asyncio.get_running_loop()
    for entry in ('entry-1', 'entry-2'):
        for desk in ('desk-1', 'desk-2', 'desk-3'):
            ends = (f'guard-{desk}', entry)
            loop.call_later(0.1, cluster.network.lose_connections, *ends)


def _call_observer(trigger: Trigger, target: str):
    def observe(call: guard.TargetCall) -> None:
        # Other work may arrive first; the cell checks this booking.
        if call.body == OWN_BODY:
            trigger.observe('call', f'guard-{target}', '')

    return observe


async def _send_with_retries(
    cluster: clusters.Cluster, key: str
) -> clusters.Reply:
    """Sends the booking of the cell amid other work, with retries."""
    others = [
        asyncio.ensure_future(
            cluster.request(
                f'entry-{1 + number % 2}',
                service='drafting' if number % 2 else 'booking',
                repeatable=bool(number % 2),
                body=b'other %d' % number,
            )
        )
        for number in range(_BACKGROUND)
    ]
    last = clusters.Reply()
    for number in range(_TRIES):
        request = cluster.request(
            f'entry-{1 + number % 2}', key=key, body=OWN_BODY, timeout_ms=3000
        )
        try:
            last = await asyncio.wait_for(request, 12)
        except TimeoutError:
            continue
        if last.verdict is verdicts.Verdict.RAN:
            break
        await asyncio.sleep(0.5)
    await asyncio.wait(others, timeout=20)
    return last


async def _request_again(cluster: clusters.Cluster, key: str) -> clusters.Reply:
    return await cluster.request(
        'entry-2', key=key, body=OWN_BODY, timeout_ms=10_000
    )


def check_guarantees(cluster: clusters.Cluster) -> None:
    """Compares the ledgers with the verdicts that callers received."""
    for key, runs in cluster.runs_by_key().items():
        assert runs == 1, f'key {key} ran {runs} times'
    runs_by_body: dict[bytes, int] = {}
    for target in cluster.targets.values():
        for call in target.ran:
            runs_by_body[call.body] = runs_by_body.get(call.body, 0) + 1
    received_verdicts: dict[bytes, list[verdicts.Verdict]] = {}
    for reply in cluster.replies:
        if reply.verdict is not None:
            received_verdicts.setdefault(reply.body, []).append(reply.verdict)
        if reply.verdict is verdicts.Verdict.RAN:
            whole = reply.body in (reply.content, reply.content.rstrip(b'.'))
            assert whole, f'{reply.body!r} was answered {reply.content!r}'
            assert runs_by_body.get(reply.body), f'{reply.body!r} did not run'
    for body, sequence_of_verdicts in received_verdicts.items():
        if sequence_of_verdicts[-1] is verdicts.Verdict.NOT_RUN:
            assert not runs_by_body.get(body), f'{body!r} ran after all'
