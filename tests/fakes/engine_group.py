"""A fake lock-step group whose orders get lost or are delayed."""

import asyncio
import random

from carobslip import expertmap, identifiers

GROUP = identifiers.GroupId('group')
_PASS_S = 0.05
#: Interval at which a held or idle group tries to begin its next pass.
_TRY_S = 0.05
_COPY_S = 0.1
#: Time until a sender gives up an order, to its own machine and to another.
_NO_ANSWER_S = (0.06, 0.15)
_HOLD_ORDERS = frozenset((expertmap.OrderKind.HOLD, expertmap.OrderKind.GO))


class SplitGroup(AssertionError):
    """A pass began while two ranks had different maps."""


class FakeEngine:
    """One rank: its map, its prepared and armed map, and its hold."""

    def __init__(self, rank, group):
        self.rank = rank
        self.group = group
        self.step = 0
        self.map = (0, None)
        self.prepared = None
        self.armed = None
        self.held = None
        self.fence = 0
        self.version_max = 0
        #: Orders that have changed something.
        self.seq = 0

    def apply(self, order):
        """Carries out an order; returns its outcome."""
        if self.group.is_fencing and order.fence < self.fence:
            return expertmap.OrderEnd.FENCED
        self.fence = order.fence
        is_expected = order.expected_seq in {None, self.seq}
        if order.epoch != self.group.epoch or not is_expected:
            return expertmap.OrderEnd.REFUSED
        before = self._state()
        done = getattr(self, '_' + order.kind.value)(order)
        self.seq += self._state() != before
        if done:
            return expertmap.OrderEnd.DONE
        return expertmap.OrderEnd.REFUSED

    def _state(self):
        return self.prepared, self.armed, self.held

    def _prepare(self, order):
        if self.prepared is not None and self.prepared[0] == order.version:
            return True
        if order.version <= self.version_max or self.armed is not None:
            return False
        self.version_max = order.version
        self.prepared = (order.version, order.layout)
        return True

    def _arm(self, order):
        wanted = (order.version, order.step)
        if self.armed == wanted:
            return True
        prepared = self.prepared is not None and (
            self.prepared[0] == order.version
        )
        if not prepared or self.step >= order.step or self.armed is not None:
            return False
        self.armed = wanted
        return True

    def _disarm(self, order):
        if self.map[0] == order.version:
            return False
        if self.armed is not None and self.armed[0] == order.version:
            self.armed = None
        return True

    def _hold(self, order):
        if self.held == order.step:
            return True
        if self.held is not None or self.step >= order.step:
            return False
        self.held = order.step
        return True

    def _go(self, order):
        if self.held == order.step:
            self.held = None
        return True

    def report_now(self):
        armed = None
        if self.armed is not None:
            armed = expertmap.ArmedMap(
                version=self.armed[0],
                step=self.armed[1],
            )
        return expertmap.RankReport(
            group=GROUP,
            epoch=self.group.epoch,
            rank=self.rank,
            size=len(self.group.engines),
            is_open=True,
            step=self.step,
            map_version=self.map[0],
            prepared=None if self.prepared is None else self.prepared[0],
            armed=armed,
            held=self.held,
            running=1 if self.group.is_busy else 0,
            seq=self.seq,
        )


class DrawnLateness:
    """Draws which orders get no answer, and when they are carried out.

    The orders on which the safety of a switch depends are drawn more often:
    those that hold and release the group, those that arm the coordinator's
    rank, and those that disarm one drawn rank.

    Args:
        seed: Seed of the draws.
        size: Ranks of the group.
        late_s: Bounds of the time until an order is carried out.
        hold_late_s: The same for orders that hold or release the group.
    """

    HOLD_SHARE = 0.6
    ARM_SHARE = 0.95
    DISARM_SHARE = 0.95
    OTHER_SHARE = 0.03

    def __init__(self, seed, size, *, late_s, hold_late_s):
        self._random = random.Random(seed)
        self._disarm_rank = self._random.randrange(size)
        self._size = size
        self._late_s = late_s
        self._hold_late_s = hold_late_s
        self.orders = 0
        self.late_orders = 0

    def __call__(self, rank, order):
        self.orders += 1
        if self._random.random() >= self._share(rank, order):
            return None
        self.late_orders += 1
        is_hold = order.kind in _HOLD_ORDERS
        return self._random.uniform(
            *(self._hold_late_s if is_hold else self._late_s)
        )

    def _share(self, rank, order):
        kind = order.kind
        if (
            kind in _HOLD_ORDERS
            and rank == (order.coordinator_rank + 1) % self._size
        ):
            return self.HOLD_SHARE
        is_arm = kind is expertmap.OrderKind.ARM
        if is_arm and rank == order.coordinator_rank:
            return self.ARM_SHARE
        is_disarm = kind is expertmap.OrderKind.DISARM
        if is_disarm and rank == self._disarm_rank:
            return self.DISARM_SHARE
        return self.OTHER_SHARE


class FakeGroup:
    """Engines that begin passes together.

    Args:
        size: Ranks.
        seed: Seed of the delays and losses.
        pass_s: Duration of a pass.
    """

    def __init__(self, size, seed, *, pass_s=_PASS_S):
        self.pass_s = pass_s
        self.switches = 0
        self.random = random.Random(seed)
        self.epoch = 1
        self.is_busy = True
        self.is_fencing = True
        #: Returns after how many seconds an unanswered order is carried out;
        #: None for an order that is answered.
        self.lateness = lambda rank, order: None
        self.engines = [FakeEngine(rank, self) for rank in range(size)]
        self.frozen = set()
        self._thawed = asyncio.Event()
        self.lost_share = 0.0
        self.held_s = 0.0
        self.late = []

    def thaw(self):
        self.frozen.clear()
        self._thawed.set()

    async def until_awake(self, rank):
        if rank in self.frozen:
            await self._thawed.wait()

    async def run(self):
        wait_s = self.pass_s
        while True:
            await asyncio.sleep(wait_s)
            has_begun = self.is_busy and self._try_pass()
            wait_s = self.pass_s if has_begun else _TRY_S

    def _try_pass(self):
        """Begins the next pass; tells whether it did."""
        step = self.engines[0].step + 1
        if any(engine.held == step for engine in self.engines):
            self.held_s += _TRY_S
            return False
        before = self.engines[0].map
        for engine in self.engines:
            engine.step = step
            if engine.armed is not None and engine.armed[1] == step:
                engine.map = engine.prepared
                engine.armed = None
        maps = {engine.map for engine in self.engines}
        if len(maps) != 1:
            raise SplitGroup(f'pass {step}: {maps}')
        self.switches += self.engines[0].map != before
        return True

    async def deliver(self, engine, order, *, is_remote):
        """Sends an order over a connection that may lose or delay it."""
        await asyncio.sleep(self.random.uniform(0.0005, 0.004))
        no_answer_s = _NO_ANSWER_S[is_remote]
        if engine.rank in self.frozen:
            await asyncio.sleep(no_answer_s)
            return expertmap.OrderEnd.LOST
        delay_s = self.lateness(engine.rank, order)
        if delay_s is None:
            if self.random.random() >= self.lost_share:
                return engine.apply(order)
            delay_s = self.random.choice([0, 0.05, 0.3, 2, 5, 12])
        self.late.append(
            asyncio.ensure_future(self._apply_later(engine, order, delay_s))
        )
        await asyncio.sleep(no_answer_s)
        return expertmap.OrderEnd.LOST

    async def _apply_later(self, engine, order, delay_s):
        await asyncio.sleep(delay_s)
        engine.apply(order)


class FakeControl:
    """Control client of one engine, on its own machine or another."""

    def __init__(self, group, rank, *, is_remote):
        self._group = group
        self._engine = group.engines[rank]
        self._is_remote = is_remote

    async def report(self):
        report = self._engine.report_now()
        await asyncio.sleep(0.2 if self._is_remote else 0.001)
        if self._engine.rank in self._group.frozen:
            raise expertmap.EngineUnavailable('frozen')
        # A report to another machine is as old as its request.
        return report if self._is_remote else self._engine.report_now()

    async def experts(self):
        await asyncio.sleep(0.001)
        if self._engine.rank in self._group.frozen:
            raise expertmap.EngineUnavailable('frozen')
        layout = self._engine.map[1]
        if layout is None:
            return ((self._engine.rank,),)
        return tuple(ranks[self._engine.rank] for ranks in layout)

    async def order(self, order):
        return await self._group.deliver(
            self._engine, order, is_remote=self._is_remote
        )


class FakeRanks:
    """Sends a coordinator's orders to guards, or to engines directly."""

    def __init__(self, group, own_rank, guards, dead_guards):
        self._group = group
        self._own = own_rank
        self._guards = guards
        self._dead = dead_guards

    async def order(self, rank, order, *, through=None):
        await self._group.until_awake(self._own)
        answer = await self._order(rank, order, through)
        await self._group.until_awake(self._own)
        return answer

    async def _order(self, rank, order, through):
        sender = rank if through is None else through
        if sender == self._own and rank != self._own:
            control = FakeControl(self._group, rank, is_remote=True)
            return await expertmap.send_order(
                control,
                order,
                expert_copy_ms=_COPY_S * 1000,
                is_remote=True,
            )
        await asyncio.sleep(0.001)
        if sender in self._group.frozen or sender in self._dead:
            if sender in self._dead and sender not in self._group.frozen:
                control = FakeControl(self._group, rank, is_remote=True)
                return await expertmap.send_order(
                    control,
                    order,
                    expert_copy_ms=_COPY_S * 1000,
                    is_remote=True,
                )
            await asyncio.sleep(0.25)
            return expertmap.RankAnswer(end=expertmap.OrderEnd.LOST)
        if sender != rank:
            control = FakeControl(self._group, rank, is_remote=True)
            return await self._guards[sender].arm_coordinator(order, control)
        return await self._guards[rank].order(order)

    def address_of(self, rank):
        return f'rank-{rank}'
