"""Tests that all ranks use the same map in every step."""

import asyncio

import pytest

from carobslip import expertmap
from tests.fakes import engine as engines
from tests.fakes import host as hosts
from tests.models import map_switch


@pytest.mark.parametrize('replaced_max', [0, 1])
def test_no_step_runs_under_two_maps(replaced_max):
    search = map_switch.Search(map_switch.Rules(), replaced_max=replaced_max)
    assert not search.find_split()
    assert search.switched


@pytest.mark.parametrize('rule', map_switch.rule_names())
def test_leaving_out_a_rule_splits_the_group(rule):
    search = map_switch.Search(
        map_switch.Rules(**{rule: False}), replaced_max=1
    )
    assert search.find_split()


class FakeRanks:
    """Delivers requests to ranks; loses all after a given number."""

    def __init__(self, group: engines.LockStepGroup) -> None:
        self.group = group
        self.guards = [
            expertmap.RankSwitch(engine=one, incarnation=1)
            for one in group.engines
        ]
        self.lost_after: int | None = None

    def __len__(self) -> int:
        return len(self.guards)

    async def _deliver(self) -> None:
        await asyncio.sleep(0.001)
        if self.lost_after is not None:
            self.lost_after -= 1
            if self.lost_after < 0:
                raise expertmap.RankUnreachable

    async def inquire(self, rank, ballot):
        await self._deliver()
        return self.guards[rank].inquire(ballot)

    async def prepare(self, rank, proposed):
        await self._deliver()
        return self.group.engines[rank].granted

    async def promise(self, rank, version, step, order):
        await self._deliver()
        return self.guards[rank].promise(version, step, order)

    async def confirm(self, rank, order):
        await self._deliver()
        return self.guards[rank].confirm(order)

    async def decide(self, rank, version, decision, order):
        await self._deliver()
        return self.guards[rank].decide(version, decision, order)


PROPOSED = expertmap.ExpertMap(
    version=expertmap.MapVersion(2), experts_by_rank=((0,), (1,), (2,), (3,))
)


async def _run_steps(group: engines.LockStepGroup) -> None:
    while True:
        await asyncio.sleep(0.005)
        if group.can_step():
            group.step()


@pytest.mark.parametrize('lost_after', [None, *range(30)])
def test_switch_recovers_from_a_coordinator_lost_at_any_message(lost_after):
    async def scenario():
        group = engines.LockStepGroup(4)
        ranks = FakeRanks(group)
        stepping = asyncio.ensure_future(_run_steps(group))
        await asyncio.sleep(0.05)
        ranks.lost_after = lost_after
        first = expertmap.Coordinator(ranks=ranks, ballot=1)
        try:
            await first.switch(PROPOSED)
        except expertmap.RankUnreachable:
            ranks.lost_after = None
            ranks.guards[2] = expertmap.RankSwitch(
                engine=group.engines[2], incarnation=2
            )
            second = expertmap.Coordinator(ranks=ranks, ballot=2)
            await second.recover()
            third = expertmap.Coordinator(ranks=ranks, ballot=3)
            await third.switch(PROPOSED)
        await asyncio.sleep(0.2)
        steps = group.steps
        await asyncio.sleep(0.1)
        assert group.steps > steps, 'the group stands still'
        assert {one.running for one in group.engines} == {2}
        stepping.cancel()

    hosts.run_virtual(scenario())


def test_naive_switch_on_receipt_splits_the_group():
    group = engines.LockStepGroup(3)
    group.step()
    group.engines[0].running = PROPOSED.version
    with pytest.raises(engines.SplitGroup):
        group.step()
