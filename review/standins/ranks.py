"""A stand-in of a group of model engines that run in lock-step."""

import asyncio
import json
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from review.standins import http

SIZE = 8
SETS = 6
EXPERTS = 64
PLACES = 11
SPARE = 4
SLOTS = 6
_GROUP = 'group-1'
_EPOCH = 1
_PASS_S = 0.045
_COPY_S = 0.148
_RUNNING = 4
#: Experts in demand change after this time.
_SHIFT_S = 4.0
_SELECTIONS_PER_PASS = 40

Layout = list[list[list[int]]]


class Map(NamedTuple):
    """A version with the experts of all ranks by set; None for map 0."""

    version: int
    layout: Layout | None


class Order(NamedTuple):
    """An order as it arrived at a rank."""

    rank: int
    operation: str
    fence: int
    version: int
    step: int
    layout: Layout | None


#: Returns after how many seconds an order is carried out that gets no answer;
#: None for orders that are carried out and answered at once.
Lateness = Callable[[Order], float | None]


class Rank:
    """One engine: its map, its prepared and armed map, and its hold."""

    def __init__(self, number: int, group: 'Group') -> None:
        self.number = number
        self.map = Map(0, None)
        self.prepared: Map | None = None
        self.prepared_at_s = 0.0
        self.armed: tuple[int, int] | None = None
        self.held: int | None = None
        self.fence = 0
        self.version_max = 0
        self.orders = 0
        self.counts = [0] * (SETS * EXPERTS)
        self._group = group
        self._server = http.Server(self._answer)

    async def start(self, host: str, port: int) -> None:
        """Starts to serve."""
        await self._server.start(host, port)

    async def stop(self) -> None:
        """Stops serving."""
        await self._server.stop()

    def experts(self) -> list[list[int]]:
        """Returns its experts by set."""
        if self.map.layout is None:
            held = list(range(self.number, EXPERTS, SIZE))
            return [held] * SETS
        return [ranks[self.number] for ranks in self.map.layout]

    def carry_out(self, order: Order) -> int:
        """Carries out an order; returns the status of its answer."""
        if order.fence < self.fence:
            return 412
        self.fence = order.fence
        status: int = getattr(self, f'_{order.operation}')(order)
        self.orders += status == 202
        return status

    def _prepare(self, order: Order) -> int:
        if self.prepared is not None and self.prepared.version == order.version:
            return 200
        if order.version <= self.version_max or self.armed is not None:
            return 409
        layout = order.layout or []
        fresh = [
            set(ranks[self.number]) - set(present)
            for ranks, present in zip(layout, self.experts(), strict=True)
        ]
        if max(map(len, fresh)) > SPARE:
            return 409
        self.version_max = order.version
        self.prepared = Map(order.version, layout)
        copies = sum(map(len, fresh))
        self.prepared_at_s = time.monotonic() + copies * _COPY_S
        return 202

    def _arm(self, order: Order) -> int:
        if self.armed == (order.version, order.step):
            return 200
        is_prepared = (
            self.prepared is not None
            and self.prepared.version == order.version
            and time.monotonic() >= self.prepared_at_s
        )
        has_begun = self._group.step >= order.step
        if not is_prepared or has_begun or self.armed is not None:
            return 409
        self.armed = order.version, order.step
        return 202

    def _disarm(self, order: Order) -> int:
        if self.map.version == order.version:
            return 409
        if self.armed is None or self.armed[0] != order.version:
            return 200
        self.armed = None
        return 202

    def _hold(self, order: Order) -> int:
        if self.held == order.step:
            return 200
        if self.held is not None or self._group.step >= order.step:
            return 409
        self.held = order.step
        return 202

    def _go(self, order: Order) -> int:
        if self.held != order.step:
            return 200
        self.held = None
        return 202

    async def _answer(
        self, request: http.Request, writer: asyncio.StreamWriter
    ) -> bool:
        status = 200
        content: dict[str, Any] = {}
        if request.target.startswith('/carobslip/report'):
            content = self._report()
        elif request.target == '/carobslip/picked':
            content = {
                'step': self._group.step,
                'epoch': _EPOCH,
                'counts': self.counts,
            }
        elif request.target.startswith('/carobslip/picked'):
            experts = self.experts()
            content = {'map': {'version': self.map.version, 'experts': experts}}
        else:
            order = self._order_of(json.loads(request.body))
            delay_s = self._group.lateness(order)
            if delay_s is not None:
                self._group.note(order, f'no answer, due in {delay_s:.1f} s')
                self._group.run(self._carry_out_later(order, delay_s))
                await asyncio.sleep(delay_s)
                return False
            status = self.carry_out(order)
            self._group.note(order, str(status))
        body = json.dumps(content).encode()
        headers = {'Content-Type': 'application/json'}
        await http.write_answer(writer, status, headers, body)
        return True

    async def _carry_out_later(self, order: Order, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        status = self.carry_out(order)
        self._group.note(order, f'carried out late: {status}')

    def _order_of(self, body: dict[str, Any]) -> Order:
        return Order(
            rank=self.number,
            operation=body['operation'],
            fence=body.get('fencing_token', 0),
            version=body.get('version', 0),
            step=body.get('step', 0),
            layout=body.get('map'),
        )

    def _report(self) -> dict[str, Any]:
        armed = None
        if self.armed is not None:
            armed = {'version': self.armed[0], 'step': self.armed[1]}
        prepared = None
        if self.prepared and time.monotonic() >= self.prepared_at_s:
            prepared = self.prepared.version
        return {
            'stage': 'prefill_decode',
            'group': {
                'name': _GROUP,
                'epoch': _EPOCH,
                'rank': self.number,
                'state': 'open',
            },
            'size': SIZE,
            'step': self._group.step,
            'map': self.map.version,
            'prepared': prepared,
            'armed': armed,
            'held': self.held,
            'running': _RUNNING,
            'queued': 0,
            'pace': 1.0,
            'seq': self.orders,
        }


class Group:
    """Ranks that begin each pass together.

    Args:
        write: Records a line.
    """

    def __init__(self, write: Callable[[str], None]) -> None:
        self.step = 0
        self.lateness: Lateness = lambda _order: None
        self.splits: list[str] = []
        self.has_split = asyncio.Event()
        self.switches = 0
        self.ranks = [Rank(number, self) for number in range(SIZE)]
        self._write = write
        self._tasks: set[asyncio.Task[None]] = set()
        self._random = random.Random(1)
        self._weights: list[float] = []

    def note(self, order: Order, outcome: str) -> None:
        """Records an order."""
        self._write(
            f'rank {order.rank} {order.operation} version={order.version} '
            f'step={order.step} fence={order.fence}: {outcome}'
        )

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine beside others."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def start(self) -> None:
        """Begins passes."""
        self.run(self._begin_passes())

    async def stop(self) -> None:
        """Ends passes and serving."""
        for task in self._tasks:
            task.cancel()
        for rank in self.ranks:
            await rank.stop()

    async def _begin_passes(self) -> None:
        shift_at_s = 0.0
        while True:
            await asyncio.sleep(_PASS_S)
            if time.monotonic() >= shift_at_s:
                shift_at_s = time.monotonic() + _SHIFT_S
                self._weights = [
                    self._random.random() ** -0.6 for _ in range(SETS * EXPERTS)
                ]
            self._begin_pass()

    def _begin_pass(self) -> None:
        step = self.step + 1
        if any(rank.held == step for rank in self.ranks):
            return
        self.step = step
        has_switched = False
        for rank in self.ranks:
            is_due = rank.armed is not None and rank.armed[1] == step
            if is_due and rank.prepared is not None:
                rank.map = rank.prepared
                rank.armed = None
                has_switched = True
            mean = sum(self._weights) / len(self._weights)
            for index, weight in enumerate(self._weights):
                rank.counts[index] += int(
                    weight / mean * _SELECTIONS_PER_PASS / 10
                    + self._random.random()
                )
        self.switches += has_switched
        maps = [rank.map for rank in self.ranks]
        if any(one != maps[0] for one in maps):
            versions = [one.version for one in maps]
            self.splits.append(f'pass {step}: versions by rank {versions}')
            self.has_split.set()
            self._write(f'SPLIT, pass {step} begins: versions {versions}')
