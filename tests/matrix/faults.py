"""Faults that a cell of the matrix brings about, each with its end."""

import asyncio
from collections.abc import Callable

import msgspec

from tests.fakes import cluster as clusters

#: How long a fault lasts before it is mended; longer than every timeout.
LASTING_S = 8.0


class Scene(msgspec.Struct, kw_only=True):
    """Who is concerned by a fault."""

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


Fault = Callable[[Scene], None]


def kill_guard(scene: Scene) -> None:
    scene.cluster.kill(scene.guard)
    later(scene, lambda: scene.cluster.restart(scene.guard))


def kill_entry(scene: Scene) -> None:
    scene.cluster.kill(scene.entry)
    later(scene, lambda: scene.cluster.restart(scene.entry))


def kill_target(scene: Scene) -> None:
    target = scene.target
    target.host.kill()
    target.unreachable = True

    def restart() -> None:
        target.host.dead = target.host.frozen = False
        target.unreachable = False

    asyncio.get_running_loop().call_later(LASTING_S, restart)


def freeze_guard(scene: Scene) -> None:
    host = scene.cluster.members[scene.guard].host
    host.freeze()
    asyncio.get_running_loop().call_later(LASTING_S, host.thaw)


def freeze_entry(scene: Scene) -> None:
    host = scene.cluster.members[scene.entry].host
    host.freeze()
    asyncio.get_running_loop().call_later(LASTING_S, host.thaw)


def cut_both_ways(scene: Scene) -> None:
    scene.cluster.network.cut(scene.entry, scene.guard)


def cut_towards_guard(scene: Scene) -> None:
    scene.cluster.network.cut(scene.entry, scene.guard, both=False)


def cut_towards_entry(scene: Scene) -> None:
    scene.cluster.network.cut(scene.guard, scene.entry, both=False)


def cut_between_guards(scene: Scene) -> None:
    for other in scene.other_guards:
        scene.cluster.network.cut(scene.guard, other)


def split_fleet(scene: Scene) -> None:
    names = list(scene.cluster.members)
    for left in (scene.guard, scene.entry):
        for right in names:
            if right not in {scene.guard, scene.entry}:
                scene.cluster.network.cut(left, right)


def late_messages(scene: Scene) -> None:
    delays = scene.cluster.network.extra_delay_s
    delays[scene.entry, scene.guard] = 1.5
    delays[scene.guard, scene.entry] = 1.5


def late_to_guard(scene: Scene) -> None:
    """Attempts arrive after their permits have expired."""
    scene.cluster.network.extra_delay_s[scene.entry, scene.guard] = 3.0


def repeated_messages(scene: Scene) -> None:
    scene.cluster.network.repeat_ratio = 1.0


def reordered_messages(scene: Scene) -> None:
    network = scene.cluster.network
    for source in scene.cluster.members:
        for target in scene.cluster.members:
            delay_s = network.random.uniform(0, 0.3)
            network.extra_delay_s[source, target] = delay_s


def service_down(scene: Scene) -> None:
    scene.cluster.platform.down = True


def service_stale(scene: Scene) -> None:
    scene.cluster.platform.stale_text = scene.cluster.platform.text
    scene.cluster.publish(address_ttl_ms=9000)


def service_flapping(scene: Scene) -> None:
    platform = scene.cluster.platform

    def flap(times: int) -> None:
        platform.down = not platform.down
        if times:
            asyncio.get_running_loop().call_later(0.4, flap, times - 1)

    flap(20)


def list_lagging(scene: Scene) -> None:
    """The guard dies and stays listed under its old address."""
    scene.cluster.kill(scene.guard)


def list_wrong(scene: Scene) -> None:
    """The list names an address where nobody listens."""
    records = scene.cluster.platform.records
    records[scene.guard] = msgspec.structs.replace(
        records[scene.guard],
        http_address='10.9.9.9:80',
        control_address='10.9.9.9:70',
    )


def target_slow(scene: Scene) -> None:
    scene.target.work_s = 1.0


def target_cold(scene: Scene) -> None:
    scene.target.work_s = 0.3
    scene.target.bearable = 1


def target_hangs(scene: Scene) -> None:
    scene.target.hang = True


def target_resets_before(scene: Scene) -> None:
    scene.target.reset_before_run = True


def target_resets_after(scene: Scene) -> None:
    scene.target.reset_after_run = True


def target_resets_mid_reply(scene: Scene) -> None:
    scene.target.parts = 4
    scene.target.broken_after = 2


def later(scene: Scene, work: Callable) -> None:
    async def wait() -> None:
        await asyncio.sleep(LASTING_S)
        await work()

    scene.cluster.replies_tasks.append(asyncio.ensure_future(wait()))


def mend(scene: Scene) -> None:
    """Ends every fault that does not end by itself."""
    scene.cluster.network.heal()
    platform = scene.cluster.platform
    platform.down = False
    platform.stale_text = None
    for record in scene.cluster.members.values():
        platform.records[record.record.instance] = record.record
    for target in scene.cluster.targets.values():
        target.hang = target.reset_before_run = False
        target.reset_after_run = False
        target.work_s, target.bearable = 0.02, 1000
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
