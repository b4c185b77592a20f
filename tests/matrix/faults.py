"""Faults that the cells of the matrix inject, and their removal."""

import asyncio
from collections.abc import Callable

import msgspec

from tests.fakes import cluster as clusters

#: Duration of a fault before it is removed; longer than every timeout.
FAULT_DURATION_S = 8.0


class FaultContext(msgspec.Struct, kw_only=True):
    """The processes that a fault affects."""

    cluster: clusters.Cluster
    entry: str
    guard: str

    @property
    def target(self):
        return self.cluster.targets[self.guard.removeprefix('guard-')]

    @property
    def other_guards(self) -> list[str]:
        return [
            name
            for name, member in self.cluster.members.items()
            if member.guard is not None and name != self.guard
        ]


Fault = Callable[[FaultContext], None]


def kill_guard(context: FaultContext) -> None:
    context.cluster.kill(context.guard)
    run_after_fault(context, lambda: context.cluster.restart(context.guard))


def kill_entry(context: FaultContext) -> None:
    context.cluster.kill(context.entry)
    run_after_fault(context, lambda: context.cluster.restart(context.entry))


def kill_target(context: FaultContext) -> None:
    target = context.target
    target.host.kill()
    target.unreachable = True

    def restart() -> None:
        target.host.dead = target.host.frozen = False
        target.unreachable = False

    asyncio.get_running_loop().call_later(FAULT_DURATION_S, restart)


def freeze_guard(context: FaultContext) -> None:
    host = context.cluster.members[context.guard].host
    host.freeze()
    asyncio.get_running_loop().call_later(FAULT_DURATION_S, host.thaw)


def freeze_entry(context: FaultContext) -> None:
    host = context.cluster.members[context.entry].host
    host.freeze()
    asyncio.get_running_loop().call_later(FAULT_DURATION_S, host.thaw)


def cut_both_ways(context: FaultContext) -> None:
    context.cluster.network.cut(context.entry, context.guard)


def cut_towards_guard(context: FaultContext) -> None:
    context.cluster.network.cut(context.entry, context.guard, both=False)


def cut_towards_entry(context: FaultContext) -> None:
    context.cluster.network.cut(context.guard, context.entry, both=False)


def cut_between_guards(context: FaultContext) -> None:
    for other in context.other_guards:
        context.cluster.network.cut(context.guard, other)


def split_fleet(context: FaultContext) -> None:
    names = list(context.cluster.members)
    for left in (context.guard, context.entry):
        for right in names:
            if right not in {context.guard, context.entry}:
                context.cluster.network.cut(left, right)


def late_messages(context: FaultContext) -> None:
    delays = context.cluster.network.extra_delay_s
    delays[context.entry, context.guard] = 1.5
    delays[context.guard, context.entry] = 1.5


def late_to_guard(context: FaultContext) -> None:
    """Attempts arrive after their permits have expired."""
    context.cluster.network.extra_delay_s[context.entry, context.guard] = 3.0


def repeated_messages(context: FaultContext) -> None:
    context.cluster.network.repeat_ratio = 1.0


def reordered_messages(context: FaultContext) -> None:
    network = context.cluster.network
    for source in context.cluster.members:
        for target in context.cluster.members:
            delay_s = network.random.uniform(0, 0.3)
            network.extra_delay_s[source, target] = delay_s


def service_down(context: FaultContext) -> None:
    context.cluster.platform.down = True


def service_stale(context: FaultContext) -> None:
    context.cluster.platform.stale_text = context.cluster.platform.text
    context.cluster.publish(address_ttl_ms=9000)


def service_flapping(context: FaultContext) -> None:
    platform = context.cluster.platform

    def flap(times: int) -> None:
        platform.down = not platform.down
        if times:
            asyncio.get_running_loop().call_later(0.4, flap, times - 1)

    flap(20)


def list_lagging(context: FaultContext) -> None:
    """The guard dies but stays listed at its old address."""
    context.cluster.kill(context.guard)


def list_wrong(context: FaultContext) -> None:
    """The list contains an address without a listener."""
    records = context.cluster.platform.records
    records[context.guard] = msgspec.structs.replace(
        records[context.guard],
        http_address='10.9.9.9:80',
        control_address='10.9.9.9:70',
    )


def target_slow(context: FaultContext) -> None:
    context.target.work_s = 1.0


def target_cold(context: FaultContext) -> None:
    context.target.work_s = 0.3
    context.target.capacity = 1


def target_hangs(context: FaultContext) -> None:
    context.target.hang = True


def target_resets_before(context: FaultContext) -> None:
    context.target.reset_before_run = True


def target_resets_after(context: FaultContext) -> None:
    context.target.reset_after_run = True


def target_resets_mid_reply(context: FaultContext) -> None:
    context.target.parts = 4
    context.target.broken_after = 2


def run_after_fault(context: FaultContext, work: Callable) -> None:
    async def wait() -> None:
        await asyncio.sleep(FAULT_DURATION_S)
        await work()

    context.cluster.replies_tasks.append(asyncio.ensure_future(wait()))


def remove_faults(context: FaultContext) -> None:
    """Removes every fault that does not end by itself."""
    context.cluster.network.heal()
    platform = context.cluster.platform
    platform.down = False
    platform.stale_text = None
    for record in context.cluster.members.values():
        platform.records[record.record.instance] = record.record
    for target in context.cluster.targets.values():
        target.hang = target.reset_before_run = False
        target.reset_after_run = False
        target.work_s, target.capacity = 0.02, 1000
        target.parts, target.broken_after = 1, None


SINGLE: dict[str, tuple[Fault, ...]] = {
    'guard killed': (kill_guard,),
    'entry killed': (kill_entry,),
    'target killed': (kill_target,),
    'guard frozen, wakes': (freeze_guard,),
    'entry frozen, wakes': (freeze_entry,),
    'cut entry-guard': (cut_both_ways,),
    'cut entry to guard': (cut_towards_guard,),
    'cut guard to entry': (cut_towards_entry,),
    'cut guard-guards': (cut_between_guards,),
    'fleet split': (split_fleet,),
    'late messages': (late_messages,),
    'late to guard': (late_to_guard,),
    'repeated messages': (repeated_messages,),
    'reordered messages': (reordered_messages,),
    'configuration down': (service_down,),
    'configuration stale': (service_stale,),
    'configuration flapping': (service_flapping,),
    'list lagging': (list_lagging,),
    'list wrong': (list_wrong,),
    'target slow': (target_slow,),
    'target cold': (target_cold,),
    'target hangs': (target_hangs,),
    'target resets before run': (target_resets_before,),
    'target resets after run': (target_resets_after,),
    'target resets mid-reply': (target_resets_mid_reply,),
}

PAIRS: dict[str, tuple[Fault, ...]] = {
    'guard killed + configuration down': (kill_guard, service_down),
    'guard killed + late messages': (kill_guard, late_messages),
    'guard frozen + fleet split': (freeze_guard, split_fleet),
    'entry frozen + guard killed': (freeze_entry, kill_guard),
    'entry killed + repeated messages': (kill_entry, repeated_messages),
    'cut guard-guards + target hangs': (cut_between_guards, target_hangs),
    'guard frozen + target resets after run': (
        freeze_guard,
        target_resets_after,
    ),
    'reordered + guard killed': (reordered_messages, kill_guard),
}

FAULTS = SINGLE | PAIRS
