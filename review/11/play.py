"""A late `go` ends a newer hold of the same pass."""

import asyncio
import pathlib
import sys
import traceback
from typing import Any

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'support-3'))

import group  # noqa: E402
import machines  # noqa: E402
import map_deployment  # noqa: E402

SIZE = 8
PLAY_S = 75
HOLD_RANK = 1
DISARM_RANK = 3
#: Orders that get no answer are carried out 2 to 12 s later.
LATE_MIN_S = 2.0
LATE_MAX_S = 12.0
#: A hold that is lost this soon after a pass began is repeated in that pass.
EARLY_S = 0.15


class LateOrders:
    """Some orders of one switch get no answer and are carried out late.

    They are its first hold, the `go` that takes that hold back, the orders to
    arm the coordinator's own rank, and those to disarm one rank until the late
    `go` has been carried out.
    """

    def __init__(self) -> None:
        self.engines = None
        self.is_on = False
        self._held_late = None
        self._go_until_s = None
        self._version = None

    def __call__(self, rank: group.Rank, order: dict[str, Any]) -> float | None:
        """Returns after how many seconds an order is carried out."""
        now_s = asyncio.get_running_loop().time()
        kind = order['operation']
        if not self.is_on:
            return None
        if self._held_late is None:
            if kind != 'hold' or rank.rank != HOLD_RANK:
                return None
            if now_s - self.engines.pass_began_s > EARLY_S:
                return None
            self._held_late = order['step']
            return LATE_MAX_S
        if self._go_until_s is None:
            is_go = kind == 'go' and order['step'] == self._held_late
            if is_go and rank.rank == HOLD_RANK:
                self._go_until_s = now_s + LATE_MIN_S
                return LATE_MIN_S
            return None
        if now_s > self._go_until_s + 0.05:
            return None
        if kind == 'arm' and rank.rank == 0:
            return LATE_MAX_S
        if kind == 'disarm' and rank.rank == DISARM_RANK:
            return LATE_MAX_S
        return None


async def play() -> int:
    """Plays the case; returns the exit code."""
    record = machines.Record(HERE)
    fleet = machines.Machines()
    late = LateOrders()
    deployment = map_deployment.MapDeployment(
        fleet=fleet, record=record, size=SIZE, lateness=late
    )
    late.engines = deployment.engines
    try:
        await deployment.start()
        deployment.call_steadily()
        until_s = asyncio.get_running_loop().time() + PLAY_S
        began_s = asyncio.get_running_loop().time()
        engines = deployment.engines
        while asyncio.get_running_loop().time() < until_s:
            await asyncio.sleep(0.05)
            if engines.split:
                await asyncio.sleep(1)
                break
            late.is_on = machines.has_trouble() and engines.switches >= 2
            spent_s = asyncio.get_running_loop().time() - began_s
            if not machines.has_trouble() and spent_s > 40:
                break
        await deployment.end()
        record.write(
            f'{engines.switches} switches, {engines.orders} orders, '
            f'{engines.late_orders} of them late; {deployment.answered} '
            f'answered, {deployment.failed} not'
        )
        if engines.split:
            record.write(f'the rule MAP is broken: {engines.split}')
            return 1
        return 0 if engines.switches >= 2 and deployment.answered else 2
    finally:
        fleet.end()


try:
    CODE = asyncio.run(play())
except Exception:
    traceback.print_exc()
    CODE = 2
# The code 1 is also that of a script that does not start.
sys.exit(11 if CODE == 1 else CODE)
