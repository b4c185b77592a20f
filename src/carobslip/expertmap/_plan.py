"""Plans the expert map of a group under high load.

A pass lasts as long as the slowest rank's own part plus, set by set, the part
of the most loaded rank. A plan lowers the sum of these maxima, with loads
weighted by the measured pace of each rank. Dropping a replica costs nothing; a
copy must gain more time than it costs.
"""

import itertools
from collections.abc import Iterator, Sequence
from typing import Final

import msgspec

from carobslip.expertmap import _group_map, _set_loads

#: Number of heaviest experts of the most loaded rank that are considered.
_EXPERTS_TRIED: Final = 4
#: Number of least loaded ranks that are considered as receivers.
_RANKS_TRIED: Final = 6
#: Number of ranks with a place for an expert that a receiver gives away.
_RELAYS_TRIED: Final = 2
#: Share of the work for tokens that experts do.
_EXPERT_SHARE: Final = 0.85
#: Relative length of passes while copies run, less one.
_COPY_SLOWDOWN: Final = 0.15
#: Time that a copy must gain beside its share of longer passes; it bounds the
#: bytes that copies move for small gains.
_COPY_PRICE_MS: Final = 0.5
#: Gain of a change below which the imbalance counts as unchanged.
_GAIN_MIN: Final = 1e-6
#: A dropped replica counts as this part of a copy when changes are compared.
_FREE_COPIES: Final = 0.5
#: Copies that one change needs at most.
_CHANGE_COPIES_MAX: Final = 2


class PlanBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of one switch to a planned map.

    Attributes:
        places_per_rank: Experts of a set that fit on a rank.
        new_experts_max: Experts of a set that one switch may add to a rank.
        copies_per_rank: Experts of all sets that a rank may copy.
        group_copies_max: Copies of all ranks; every rank is told all of them.
        expert_copy_ms: Time to copy one expert.
        valid_ms: Time for which a map is expected to suit the load.
    """

    places_per_rank: int
    new_experts_max: int
    copies_per_rank: int
    group_copies_max: int
    expert_copy_ms: float
    valid_ms: float


class MapPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A planned map.

    Attributes:
        layout: Experts by set and rank.
        copies: Experts that ranks must load.
        dropped: Replicas that ranks give up.
        skew_before: Load of the most loaded rank over the ideal one, averaged
            over the sets.
        skew_after: The same under the planned map.
        pass_ratio: Duration of a pass under the planned map, relative to the
            present one.
    """

    layout: _group_map.Layout
    copies: int
    dropped: int
    skew_before: float
    skew_after: float
    pass_ratio: float


class _Step(msgspec.Struct, frozen=True):
    """A change of one set and the set's highest load after it."""

    number: int
    change: _set_loads.Change
    highest: float


class _CopyCosts:
    """Cost of the copies of a plan, in time that passes take longer."""

    def __init__(self, size: int, expert_copy_ms: float) -> None:
        self._by_rank = [0] * size
        self._expert_copy_ms = expert_copy_ms
        self._copies = 0

    @property
    def copying_ms(self) -> float:
        """Time until the last rank has copied; ranks copy side by side."""
        return max(self._by_rank) * self._expert_copy_ms

    @property
    def total_ms(self) -> float:
        """Time by which passes take longer, and the price of all copies."""
        slower_ms = self.copying_ms * _COPY_SLOWDOWN
        return slower_ms + self._copies * _COPY_PRICE_MS

    def add(self, change: _set_loads.Change) -> None:
        """Adds the copies of a change."""
        for edit in change:
            if edit.receiver is not None:
                self._by_rank[edit.receiver] += 1
                self._copies += 1


class MapPlanner:
    """Plans one map in steps of a few milliseconds at most.

    Args:
        layout: The layout in force.
        tokens: Recent load by set and expert.
        paces: Duration of each rank's work relative to the usual one.
        bounds: Bounds of the switch.
    """

    def __init__(
        self,
        layout: _group_map.Layout,
        tokens: Sequence[Sequence[float]],
        paces: Sequence[float],
        bounds: PlanBounds,
    ) -> None:
        self._layout = layout
        self._tokens = tokens
        self._paces = paces
        self._bounds = bounds
        self._sets: list[_set_loads.SetLoads] = []
        self._copies_by_rank = [0] * len(paces)
        self._copies = 0
        self._steps: list[_Step] = []
        self._before: list[float] = []

    def steps(self) -> Iterator[None]:
        """Plans; the caller may pause after each step."""
        for ranks, tokens in zip(self._layout, self._tokens, strict=True):
            self._sets.append(_set_loads.SetLoads(ranks, tokens, self._paces))
            yield
        self._before = [one.highest for one in self._sets]
        open_sets = set(range(len(self._sets)))
        while open_sets:
            number = max(open_sets, key=lambda one: self._sets[one].highest)
            if not self._improve(number):
                open_sets.discard(number)
            yield

    def plan(self) -> MapPlan | None:
        """Returns the plan; None if keeping the map is no worse."""
        kept = self._worthwhile_steps()
        if not kept:
            return None
        layout = [[set(experts) for experts in ranks] for ranks in self._layout]
        after = list(self._before)
        for step in kept:
            _apply(layout[step.number], step.change)
            after[step.number] = step.highest
        planned = tuple(
            tuple(tuple(sorted(experts)) for experts in ranks)
            for ranks in layout
        )
        copies, dropped = _count_differences(self._layout, planned)
        return MapPlan(
            layout=planned,
            copies=copies,
            dropped=dropped,
            skew_before=_mean(self._before),
            skew_after=_mean(after),
            pass_ratio=self._pass_length(after)
            / self._pass_length(self._before),
        )

    def _improve(self, number: int) -> bool:
        """Applies the best change of a set; returns whether there is one."""
        loads = self._sets[number]
        best: _set_loads.Change | None = None
        best_value = 0.0
        for change in self._changes(loads):
            copies = _copies_of(change)
            gain = loads.gain(change)
            value = gain / (copies or _FREE_COPIES)
            if gain > _GAIN_MIN and value > best_value:
                best, best_value = change, value
        if best is None:
            return False
        loads.apply(best)
        for edit in best:
            if edit.receiver is not None:
                self._copies_by_rank[edit.receiver] += 1
                self._copies += 1
        self._steps.append(_Step(number, best, loads.highest))
        return True

    def _worthwhile_steps(self) -> list[_Step]:
        """Returns the first steps up to where the gain is largest."""
        highest = list(self._before)
        length_before = self._pass_length(highest)
        costs = _CopyCosts(len(self._paces), self._bounds.expert_copy_ms)
        best_ms, best_count = 0.0, 0
        for count, step in enumerate(self._steps, start=1):
            highest[step.number] = step.highest
            costs.add(step.change)
            gained = 1 - self._pass_length(highest) / length_before
            used_ms = max(0.0, self._bounds.valid_ms - costs.copying_ms)
            gained_ms = gained * used_ms - costs.total_ms
            if gained_ms > best_ms:
                best_ms, best_count = gained_ms, count
        return self._steps[:best_count]

    def _pass_length(self, highest: Sequence[float]) -> float:
        """Returns the duration of a pass, relative to evenly divided work."""
        speed = sum(1 / pace for pace in self._paces)
        own = max(self._paces) * speed / len(self._paces)
        return (1 - _EXPERT_SHARE) * own + _EXPERT_SHARE * _mean(highest)

    def _changes(
        self, loads: _set_loads.SetLoads
    ) -> Iterator[_set_loads.Change]:
        """Returns changes that take load off the most loaded rank."""
        worst = loads.loads.index(max(loads.loads))
        for expert in loads.spares(worst):
            yield (_set_loads.Edit(expert, worst, None),)
        if self._copies >= self._bounds.group_copies_max:
            return
        heavy = sorted(loads.ranks[worst], key=loads.share, reverse=True)
        open_ranks = self._open_ranks(loads, worst)
        relays = self._relays(loads, open_ranks)
        receivers = self._receivers(loads, open_ranks)
        for rank, expert in itertools.product(
            receivers, heavy[:_EXPERTS_TRIED]
        ):
            if expert in loads.ranks[rank]:
                continue
            for rest in self._ways(loads, rank, expert, relays):
                yield (_set_loads.Edit(expert, None, rank), *rest)
                yield (_set_loads.Edit(expert, worst, rank), *rest)

    def _open_ranks(self, loads: _set_loads.SetLoads, worst: int) -> list[int]:
        """Returns the ranks that may copy experts, least loaded first."""
        order = sorted(range(len(loads.loads)), key=loads.loads.__getitem__)
        return [
            rank
            for rank in order
            if rank != worst and self._may_copy(loads, rank)
        ]

    def _may_copy(self, loads: _set_loads.SetLoads, rank: int) -> bool:
        bounds = self._bounds
        return (
            self._copies_by_rank[rank] < bounds.copies_per_rank
            and loads.gained[rank] < bounds.new_experts_max
        )

    def _has_place(self, loads: _set_loads.SetLoads, rank: int) -> bool:
        return len(loads.ranks[rank]) < self._bounds.places_per_rank

    def _relays(
        self, loads: _set_loads.SetLoads, ranks: Sequence[int]
    ) -> list[int]:
        """Returns lightly loaded ranks with a place to spare."""
        if self._copies + _CHANGE_COPIES_MAX > self._bounds.group_copies_max:
            return []
        return self._with_place(loads, ranks)

    def _receivers(
        self, loads: _set_loads.SetLoads, ranks: Sequence[int]
    ) -> list[int]:
        """Returns the least loaded ranks, with and without a spare place."""
        least = list(ranks[:_RANKS_TRIED])
        return least + self._with_place(loads, ranks[_RANKS_TRIED:])

    def _with_place(
        self, loads: _set_loads.SetLoads, ranks: Sequence[int]
    ) -> list[int]:
        found = (
            rank
            for rank in ranks
            if self._has_place(loads, rank) or loads.spares(rank)
        )
        return list(itertools.islice(found, _RELAYS_TRIED))

    def _ways(
        self,
        loads: _set_loads.SetLoads,
        rank: int,
        expert: int,
        relays: Sequence[int],
    ) -> Iterator[_set_loads.Change]:
        """Returns the edits that make a place for an expert at a rank."""
        spares = [one for one in loads.spares(rank) if one != expert]
        if self._has_place(loads, rank):
            yield ()
        elif spares:
            victim = min(spares, key=loads.share)
            yield (_set_loads.Edit(victim, rank, None),)
        else:
            yield from self._ways_by_relay(loads, rank, expert, relays)

    def _ways_by_relay(
        self,
        loads: _set_loads.SetLoads,
        rank: int,
        expert: int,
        relays: Sequence[int],
    ) -> Iterator[_set_loads.Change]:
        """Returns the edits by which a rank gives its lightest expert away."""
        given = min(loads.ranks[rank], key=loads.share)
        for relay in relays:
            if relay == rank or given in loads.ranks[relay]:
                continue
            moved = _set_loads.Edit(given, rank, relay)
            others = [one for one in loads.spares(relay) if one != expert]
            if self._has_place(loads, relay):
                yield (moved,)
            elif others:
                victim = min(others, key=loads.share)
                yield (moved, _set_loads.Edit(victim, relay, None))


def _copies_of(change: _set_loads.Change) -> int:
    return sum(edit.receiver is not None for edit in change)


def _apply(ranks: list[set[int]], change: _set_loads.Change) -> None:
    for edit in change:
        if edit.source is not None:
            ranks[edit.source].discard(edit.expert)
        if edit.receiver is not None:
            ranks[edit.receiver].add(edit.expert)


def _count_differences(
    before: _group_map.Layout, after: _group_map.Layout
) -> tuple[int, int]:
    """Returns how many experts ranks gain and give up."""
    gained = 0
    lost = 0
    for old_ranks, new_ranks in zip(before, after, strict=True):
        for old, new in zip(old_ranks, new_ranks, strict=True):
            if old != new:
                gained += len(set(new) - set(old))
                lost += len(set(old) - set(new))
    return gained, lost


def _mean(figures: Sequence[float]) -> float:
    return sum(figures) / len(figures)
