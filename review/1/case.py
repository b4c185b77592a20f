"""The coordinator of a group freezes while one of its orders is late."""

import asyncio
import contextlib
import pathlib
import signal
import time

from review.standins import deployment, group_site, ranks

_PLAYED_S = 60.0
#: Undisturbed switches before the first disturbance, and between two.
_CALM_S = 8.0
_PAUSE_S = 0.6
#: ``node_freeze`` of the machine that gave the last order, one at a time.
_FROZEN_S = 2.4
_FREEZE_AFTER_S = 0.03
#: ``applied_late``: orders without an answer are carried out after 2 s to 12 s.
_SOON_S = 2.0
_LATE_S = 11.0
#: The low part of a map's version is the rank whose guard coordinates.
_VERSION_STEP = 1024
#: Largest share of orders without an answer among those in a window.
_LATE_SHARE = 0.35
_WINDOW_S = 5.5
#: The rank whose ARM order is late, and one that delays the next coordinator.
_LATE_RANK = 5
_SLOW_RANK = 6


class Trouble:
    """Leaves some orders unanswered, and freezes the machine that gave one.

    Args:
        site: The processes and the engines.
        record: Receives what happens.
    """

    def __init__(
        self, site: group_site.GroupSite, record: deployment.Record
    ) -> None:
        self.freezes = 0
        self._site = site
        self._record = record
        self._late_arm: ranks.Order | None = None
        self._late_arm_due_s = 0.0
        self._calm_until_s = time.monotonic() + _CALM_S
        self._orders: list[tuple[float, bool]] = []

    def lateness(self, order: ranks.Order) -> float | None:
        """Returns after how many seconds an unanswered order is carried out.

        Returns:
            None for an order that is carried out and answered at once.
        """
        now_s = time.monotonic()
        delay_s = self._choose_lateness(order, now_s)
        self._orders = [
            (at_s, is_late)
            for at_s, is_late in self._orders
            if at_s > now_s - _WINDOW_S
        ]
        late = 1 + sum(is_late for _at_s, is_late in self._orders)
        if late > _LATE_SHARE * (1 + len(self._orders)):
            delay_s = None
        self._orders.append((now_s, delay_s is not None))
        return delay_s

    def _choose_lateness(
        self, order: ranks.Order, now_s: float
    ) -> float | None:
        late_arm = self._late_arm
        is_arm = order.operation == 'arm' and order.rank == _LATE_RANK
        if now_s < self._calm_until_s:
            return None
        if late_arm is None:
            if not is_arm:
                return None
            self._late_arm = order
            self._late_arm_due_s = now_s + _SOON_S
            self._site.group.run(self._freeze(order.version % _VERSION_STEP))
            return _SOON_S
        if order.fence <= late_arm.fence:
            # The same coordinator tries again.
            return _LATE_S if is_arm else None
        is_undone = now_s > self._late_arm_due_s + _FREEZE_AFTER_S
        is_disarm = order.operation == 'disarm'
        is_delayed = order.rank in {_LATE_RANK, _SLOW_RANK}
        return _LATE_S if is_disarm and is_delayed and not is_undone else None

    async def _freeze(self, rank: int) -> None:
        """Freezes the machine of a rank, which has just given the order."""
        await asyncio.sleep(_FREEZE_AFTER_S)
        self.freezes += 1
        guard = self._site.fleet.guards[rank]
        self._site.fleet.kill(guard, signal.SIGSTOP)
        self._record.write(f'{guard.name} freezes')
        await asyncio.sleep(_FROZEN_S)
        self._site.fleet.kill(guard, signal.SIGCONT)
        self._record.write(f'{guard.name} wakes')
        self._late_arm = None
        self._calm_until_s = time.monotonic() + _PAUSE_S


async def play(record: deployment.Record, *, has_trouble: bool) -> bool:
    """Plays the case; tells whether the rule was broken."""
    site = group_site.GroupSite(record)
    trouble = Trouble(site, record)
    try:
        await site.start()
        record.write('all entries are ready')
        if has_trouble:
            site.group.lateness = trouble.lateness
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_PLAYED_S):
                await site.group.has_split.wait()
    finally:
        await site.stop()
    record.write(f'switches={site.group.switches} freezes={trouble.freezes}')
    for split in site.group.splits:
        record.write(f'ranks have different maps in {split}')
    return bool(site.group.splits)


if __name__ == '__main__':
    deployment.main(play, pathlib.Path(__file__).parent)
