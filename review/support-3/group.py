"""Stand-ins of the model engines of one group, which make passes together."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import http_server
import machines

GROUP = 'g-1'
SETS = 2
EXPERTS = 16
PLACES = 4
SPARE = 4
STRIDE = 8


class Rank:
    """One engine: its map, its prepared and armed map, and its hold."""

    def __init__(self, *, rank: int, size: int, target: str) -> None:
        self.rank = rank
        self.target = target
        experts = [one for one in range(EXPERTS) if one % size == rank]
        self.map = (0, [experts] * SETS)
        self.prepared = None
        self.armed = None
        self.held = None
        self.fence = 0
        self.version_max = 0
        self.seq = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.running = {}
        self.step = 0
        #: The engine answers nothing on its interface for reports and orders.
        self.is_silent = False


class Group:
    """The engines of a group, served from one process.

    Args:
        size: Ranks.
        step_ms: Time of one token step; a pass has STRIDE of them.
        record: Receives what happens.
        lateness: Returns, for a rank and an order, after how many seconds an
            order is carried out that gets no answer; None if it is answered.
    """

    def __init__(
        self,
        *,
        size: int,
        step_ms: float,
        record: machines.Record,
        lateness: Callable[[Rank, dict[str, Any]], float | None],
    ) -> None:
        self.size = size
        self.step_ms = step_ms
        self.record = record
        self._lateness = lateness
        self.epoch = 1
        self.pass_began_s = 0.0
        self.ranks = [
            Rank(rank=rank, size=size, target=f'i-{rank}')
            for rank in range(size)
        ]
        self.split = None
        self.switches = 0
        self.orders = 0
        self.late_orders = 0
        #: A machine that stands still takes part in no pass.
        self.frozen = set()
        self._late = set()
        self._passed = asyncio.Event()

    async def start(self, addresses: list[tuple[str, int]]) -> None:
        """Serves each engine at its address."""
        self._servers = [
            await http_server.serve(host, port, self._handler_of(rank))
            for rank, (host, port) in zip(self.ranks, addresses, strict=True)
        ]
        self._passes = asyncio.ensure_future(self._make_passes())

    def _handler_of(self, rank: Rank) -> http_server.Handler:
        async def answer(request: http_server.Request) -> http_server.Reply:
            if request.path == '/carobslip/report':
                return await self._when_awake(rank, self._report, request)
            if request.path == '/carobslip/picked':
                return await self._when_awake(rank, self._picked, request)
            if request.path == '/carobslip/order':
                return await self._order(rank, request)
            return await self._run(rank, request)

        return answer

    async def _when_awake(
        self,
        rank: Rank,
        answer: Callable[[Rank, http_server.Request], http_server.Answer],
        request: http_server.Request,
    ) -> http_server.Answer | http_server.NoAnswer:
        if rank.is_silent or rank.rank in self.frozen:
            return http_server.NoAnswer()
        return answer(rank, request)

    def _report(
        self, rank: Rank, request: http_server.Request
    ) -> http_server.Answer:
        armed = rank.armed
        return _json(
            200,
            {
                'stage': 'prefill_decode',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': False,
                'seq': rank.seq,
                'queued': 0,
                'running': len(rank.running),
                'kv_used': 0,
                'kv_total': 140000,
                'handles': 0,
                'group': {
                    'name': GROUP,
                    'epoch': self.epoch,
                    'rank': rank.rank,
                    'state': 'open',
                },
                'size': self.size,
                'step': rank.step,
                'map': rank.map[0],
                'prepared': rank.prepared and rank.prepared[0],
                'armed': armed and {'version': armed[0], 'step': armed[1]},
                'held': rank.held,
                'pace': 1.0,
                'born': 1,
            },
        )

    def _picked(
        self, rank: Rank, request: http_server.Request
    ) -> http_server.Answer:
        if 'lists' in request.query:
            prepared = rank.prepared and {
                'version': rank.prepared[0],
                'experts': rank.prepared[1],
            }
            return _json(
                200,
                {
                    'map': {'version': rank.map[0], 'experts': rank.map[1]},
                    'prepared': prepared,
                },
            )
        return _json(
            200,
            {'step': rank.step, 'epoch': self.epoch, 'counts': rank.counts},
        )

    async def _order(
        self, rank: Rank, request: http_server.Request
    ) -> http_server.Answer | http_server.NoAnswer:
        if rank.is_silent or rank.rank in self.frozen:
            return http_server.NoAnswer()
        order = json.loads(request.body)
        self.orders += 1
        late_s = self._lateness(rank, order)
        if late_s is not None:
            self.late_orders += 1
            self._note(rank, order, f'no answer, carried out in {late_s} s')
            task = asyncio.ensure_future(self._carry_out(rank, order, late_s))
            self._late.add(task)
            return http_server.NoAnswer()
        status = self._apply(rank, order)
        self._note(rank, order, status)
        return _json(status, {})

    async def _carry_out(
        self, rank: Rank, order: dict[str, Any], late_s: float
    ) -> None:
        await asyncio.sleep(late_s)
        self._note(rank, order, f'carried out late: {self._apply(rank, order)}')

    def _note(self, rank: Rank, order: dict[str, Any], what: object) -> None:
        fields = ' '.join(
            f'{name}={order[name]}'
            for name in ('version', 'step')
            if name in order
        )
        self.record.write(
            f'order rank {rank.rank} {order["operation"]} {fields}: {what}'
        )

    def _apply(self, rank: Rank, order: dict[str, Any]) -> int:
        """Carries out an order; returns its status."""
        fence = order.get('fencing_token', 0)
        if fence < rank.fence:
            return 412
        rank.fence = fence
        if order.get('epoch', self.epoch) != self.epoch:
            return 409
        if 'expect' in order and order['expect'] != rank.seq:
            return 409
        status = getattr(self, '_' + order['operation'])(rank, order)
        if status == 202:
            rank.seq += 1
        return status

    def _prepare(self, rank: Rank, order: dict[str, Any]) -> int:
        version = order['version']
        if rank.prepared is not None and rank.prepared[0] == version:
            return 200
        if version <= rank.version_max or rank.armed is not None:
            return 409
        layout = [ranks[rank.rank] for ranks in order['map']]
        for held, wanted in zip(rank.map[1], layout, strict=True):
            if len(set(wanted) - set(held)) > SPARE or len(wanted) > PLACES:
                return 409
        rank.version_max = version
        rank.prepared = (version, layout)
        return 202

    def _arm(self, rank: Rank, order: dict[str, Any]) -> int:
        wanted = (order['version'], order['step'])
        if rank.armed == wanted:
            return 200
        is_prepared = rank.prepared and rank.prepared[0] == wanted[0]
        if not is_prepared or rank.step >= wanted[1] or rank.armed:
            return 409
        rank.armed = wanted
        return 202

    def _disarm(self, rank: Rank, order: dict[str, Any]) -> int:
        if rank.map[0] == order['version']:
            return 409
        if rank.armed is None or rank.armed[0] != order['version']:
            return 200
        rank.armed = None
        return 202

    def _hold(self, rank: Rank, order: dict[str, Any]) -> int:
        if rank.held == order['step']:
            return 200
        if rank.held is not None or rank.step >= order['step']:
            return 409
        rank.held = order['step']
        return 202

    def _go(self, rank: Rank, order: dict[str, Any]) -> int:
        if rank.held != order['step']:
            return 200
        rank.held = None
        return 202

    async def _run(
        self, rank: Rank, request: http_server.Request
    ) -> http_server.Answer | http_server.Streamed:
        """Runs a request: one event of its stream a pass."""
        request_id = request.header('X-Request-Id')
        if request.header('X-Expect-Instance', rank.target) != rank.target:
            return http_server.Answer(421, b'', (('At-Server', rank.target),))
        if len(rank.running) >= 6:
            return http_server.Answer(503, b'', (('X-Not-Executed', '1'),))
        rank.running[request_id] = True
        self.record.write(f'run {request_id} at rank {rank.rank}')
        writer = request.writer
        try:
            writer.write(
                http_server.head_of(
                    200,
                    (
                        ('X-Request-Id', request_id),
                        ('X-Response-Seal', f's.{request_id}'),
                        ('Content-Type', 'text/event-stream'),
                        ('Transfer-Encoding', 'chunked'),
                    ),
                )
            )
            for number in range(1, 7):
                await self._passed.wait()
                event = b'id: %d\ndata: %d\n\n' % (number, number)
                writer.write(http_server.chunk_of(event))
                await writer.drain()
            writer.write(b'0\r\n\r\n')
        finally:
            rank.running.pop(request_id)
        return http_server.Streamed()

    async def _make_passes(self) -> None:
        while True:
            step = self.ranks[0].step + 1
            is_held = any(rank.held == step for rank in self.ranks)
            is_busy = any(rank.running for rank in self.ranks)
            if is_held or not is_busy or self.frozen:
                await asyncio.sleep(0.002)
                continue
            self._begin_pass(step)
            for _ in range(STRIDE):
                await asyncio.sleep(self.step_ms / 1000)
                self._count_picks()
            self._passed.set()
            self._passed = asyncio.Event()

    def _begin_pass(self, step: int) -> None:
        self.pass_began_s = asyncio.get_running_loop().time()
        for rank in self.ranks:
            rank.step = step
            if rank.armed is not None and rank.armed[1] == step:
                rank.map = rank.prepared
                rank.armed = None
                rank.prepared = None
        versions = sorted({rank.map[0] for rank in self.ranks})
        if len(versions) > 1:
            maps = {rank.rank: rank.map[0] for rank in self.ranks}
            self.split = f'pass {step} begins with maps {maps}'
            self.record.write(f'MAP broken: {self.split}')
        elif self.ranks[0].map[0] != getattr(self, '_last', 0):
            self._last = self.ranks[0].map[0]
            self.switches += 1
            self.record.write(f'pass {step}: all ranks use map {self._last}')

    def _count_picks(self) -> None:
        """Counts the experts of a step; which ones are liked changes."""
        hot = (self.ranks[0].step // 8) % EXPERTS
        for rank in self.ranks:
            for place in range(SETS):
                for expert in range(EXPERTS):
                    picks = 900 if expert == hot else 40
                    rank.counts[place * EXPERTS + expert] += picks


def _json(status: int, content: object) -> http_server.Answer:
    return http_server.Answer(
        status,
        json.dumps(content).encode(),
        (('Content-Type', 'application/json'),),
    )
