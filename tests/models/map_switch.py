"""Exhaustive state search of the map switch, using the production rank code.

The model has three ranks and two coordinators. A request is delivered at any
time or never. Coordinators may stop at any point and resume at any later time.
A guard may be replaced. The group steps whenever no engine is halted, and the
search looks for a step in which ranks run different maps.
"""

import copy
from collections.abc import Iterator
from typing import Any

import msgspec

from carobslip import expertmap
from tests.fakes import engine as engines

RANKS = 3
STEP = 1
VERSION = expertmap.MapVersion(2)


class Rules(msgspec.Struct, frozen=True, kw_only=True):
    """The rules of the switch; a test disables one of them."""

    all_must_promise: bool = True
    answers_bind: bool = True
    promise_halts: bool = True
    orders_name_the_incarnation: bool = True
    abort_needs_confirmation: bool = True


class _RelaxedRank(expertmap.RankSwitch):
    """A rank that ignores the disabled rules."""

    rules = Rules()

    def inquire(self, ballot: int) -> expertmap.RankState | None:
        bound = self._ballot
        answer = super().inquire(ballot)
        if not self.rules.answers_bind:
            self._ballot = min(bound, self._ballot)
        return answer

    def promise(
        self,
        version: expertmap.MapVersion,
        step: int,
        order: expertmap.Order,
    ) -> expertmap.Promise:
        answer = super().promise(version, step, order)
        if not self.rules.promise_halts:
            self._engine.halted = None
        return answer

    def _is_valid(self, order: expertmap.Order) -> bool:
        if self.rules.orders_name_the_incarnation and self.rules.answers_bind:
            return super()._is_valid(order)
        if self.rules.answers_bind:
            return order.ballot >= self._ballot
        return order.incarnation == self._incarnation


class World:
    """One state: engines, ranks, and the answers that coordinators have."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.group = engines.LockStepGroup(RANKS)
        self.ranks = [self.new_rank(index) for index in range(RANKS)]
        # For each coordinator: its phase and the answers of the ranks.
        self.phases = ['inquire', 'inquire']
        self.answers: list[dict[int, Any]] = [{}, {}]
        self.replaced = 0
        self.incarnations: list[dict[int, int]] = [{}, {}]

    def new_rank(self, index: int, start: int = 0) -> expertmap.RankSwitch:
        rank = _RelaxedRank(engine=self.group.engines[index], incarnation=start)
        rank.rules = self.rules
        return rank

    def identity(self) -> Any:
        ranks = tuple(
            (
                rank._ballot,
                rank._phase,
                rank._proposed,
                rank._step,
                rank._incarnation,
            )
            for rank in self.ranks
        )
        group = tuple(
            (
                one.running,
                one.running_from,
                one.granted,
                one.halted,
                one.fencing,
            )
            for one in self.group.engines
        )
        coordinators = tuple(
            (
                phase,
                tuple(sorted(answers.items())),
                tuple(sorted(incarnations.items())),
            )
            for phase, answers, incarnations in zip(
                self.phases,
                self.answers,
                self.incarnations,
                strict=True,
            )
        )
        return ranks, group, coordinators, self.replaced

    def copy(self) -> 'World':
        world = copy.copy(self)
        world.group = copy.copy(self.group)
        world.group.engines = [copy.copy(one) for one in self.group.engines]
        world.ranks = []
        for index, rank in enumerate(self.ranks):
            same = copy.copy(rank)
            same._engine = world.group.engines[index]
            world.ranks.append(same)
        world.phases = list(self.phases)
        world.answers = [dict(answers) for answers in self.answers]
        world.incarnations = [
            dict(incarnations) for incarnations in self.incarnations
        ]
        return world


class Search:
    """Depth-first search of all reachable states."""

    def __init__(self, rules: Rules, *, replaced_max: int) -> None:
        self.rules = rules
        self.replaced_max = replaced_max
        self.states = 0
        self.switched = False

    def find_split(self) -> bool:
        """Tells whether any step is run with two maps."""
        start = World(self.rules)
        known = {start.identity()}
        open_worlds = [start]
        try:
            while open_worlds:
                for world in self.steps(open_worlds.pop()):
                    identity = world.identity()
                    if identity not in known:
                        known.add(identity)
                        open_worlds.append(world)
        except engines.SplitGroup:
            return True
        finally:
            self.states = len(known)
        return False

    def steps(self, world: World) -> Iterator[World]:
        if world.group.can_step() and world.group.steps < STEP + 1:
            after = world.copy()
            after.group.step()
            switched = after.group.engines[0].running == VERSION
            self.switched = self.switched or switched
            yield after
        if world.replaced < self.replaced_max:
            # Ranks are symmetric, so replacing the last one is sufficient.
            after = world.copy()
            after.replaced += 1
            after.ranks[-1] = after.new_rank(RANKS - 1, after.replaced)
            yield after
        for coordinator_index in (0, 1):
            yield from self.run_coordinator(world, coordinator_index)

    def run_coordinator(
        self, world: World, coordinator_index: int
    ) -> Iterator[World]:
        """Delivers one request of a coordinator, or ends its phase."""
        phase = world.phases[coordinator_index]
        for index in range(RANKS):
            if index in world.answers[coordinator_index] or phase == 'ended':
                continue
            after = world.copy()
            answer = self.ask(after, coordinator_index, index)
            after.answers[coordinator_index][index] = answer
            yield after
        after = world.copy()
        if self.end_phase(after, coordinator_index):
            yield after

    def ask(self, world: World, coordinator_index: int, index: int) -> Any:
        rank, ballot = world.ranks[index], coordinator_index + 1
        phase = world.phases[coordinator_index]
        if phase == 'inquire':
            state = rank.inquire(ballot)
            if state is None:
                return 'refused'
            world.incarnations[coordinator_index][index] = state.incarnation
            return (state.phase.value, int(state.running))
        order = expertmap.Order(
            ballot=ballot,
            incarnation=world.incarnations[coordinator_index].get(index, 0),
        )
        if phase == 'confirm':
            return rank.confirm(order)
        if phase == 'promise':
            return rank.promise(VERSION, STEP, order).granted
        decision = expertmap.Decision(phase)
        return rank.decide(VERSION, decision, order)

    def end_phase(self, world: World, coordinator_index: int) -> bool:
        """Moves a coordinator to its next phase, as in production code."""
        answers = world.answers[coordinator_index]
        phase = world.phases[coordinator_index]
        all_answered = len(answers) == RANKS
        if phase == 'inquire':
            after = self.next_phase(world, coordinator_index, all_answered)
        elif phase == 'promise':
            needed = RANKS if self.rules.all_must_promise else RANKS - 1
            if sum(bool(given) for given in answers.values()) >= needed:
                after = 'commit'
            else:
                after = 'abort' if all_answered else None
        elif phase == 'confirm':
            after = 'abort' if all(answers.values()) else 'ended'
            after = after if all_answered else None
        else:
            after = 'ended' if all_answered else None
        unconfirmed = after == 'abort' and phase != 'confirm'
        if unconfirmed and self.rules.abort_needs_confirmation:
            after = 'confirm'
        if after is None or phase == 'ended':
            return False
        world.phases[coordinator_index] = after
        world.answers[coordinator_index] = {}
        return True

    def next_phase(
        self, world: World, coordinator_index: int, all_answered: bool
    ) -> str | None:
        answers = list(world.answers[coordinator_index].values())
        if 'refused' in answers:
            return 'ended'
        if not all_answered:
            return None
        halted = [one for one in answers if one[0] != 'settled']
        newest = max(running for _phase, running in answers)
        if not halted:
            return 'ended' if newest == VERSION else 'promise'
        return 'commit' if newest == VERSION else 'abort'


def rule_names() -> list[str]:
    """Returns the names of all rules."""
    return [field.name for field in msgspec.structs.fields(Rules)]
