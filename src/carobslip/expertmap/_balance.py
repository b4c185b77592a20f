"""Balances the load of a group's ranks by copying few experts.

The popularity of experts shifts every few seconds, and a pass waits, set by
set, for the most loaded rank. A switch that copies little takes effect
quickly, so many small switches follow the load more closely than a few large
ones.
"""

import itertools
from typing import Final

import msgspec

from carobslip.expertmap import _group_map

#: A high power lets the most loaded rank dominate the imbalance, while a lower
#: load of any other rank still reduces it.
_IMBALANCE_POWER: Final = 8
#: Number of heaviest experts of the most loaded rank that are considered.
_EXPERTS_TRIED: Final = 6
#: Number of least loaded ranks that are considered as receivers.
_RANKS_TRIED: Final = 4


#: Time for the copies of one switch.
_COPIES_MS: Final = 75.0
#: Copies of one switch in a whole group: a coordinator tells every rank all of
#: them over its low-bandwidth link.
_GROUP_COPIES_MAX: Final = 96
#: Ranks for which ``gain_min`` of the bounds holds. In a larger group several
#: ranks are nearly as loaded as the most loaded one, so one copy lowers the
#: imbalance by a smaller share.
_GAIN_RANKS: Final = 8


class BalanceBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of one new layout.

    Attributes:
        places_per_rank: Experts of a set that fit on a rank.
        copies_per_rank: New experts that a rank may get.
        gain_min: Relative fall of a set's imbalance that justifies a copy in a
            group of up to eight ranks; less is enough in a larger group.
    """

    places_per_rank: int
    copies_per_rank: int = 1
    gain_min: float = 0.15


def copies_per_switch(
    *,
    size: int,
    expert_copy_ms: float,
    new_experts_max: int,
) -> int:
    """Returns how many experts a rank may copy in one switch.

    A switch waits for its copies, and passes take longer meanwhile.

    Args:
        size: Ranks in the group.
        expert_copy_ms: Time to copy one expert.
        new_experts_max: New experts of a set that one order may add; 0 if
            unknown.
    """
    in_time = int(_COPIES_MS / max(1.0, expert_copy_ms))
    return max(1, min(in_time, _GROUP_COPIES_MAX // size, new_experts_max))


class BalancePlan(msgspec.Struct, frozen=True, kw_only=True):
    """A proposed layout.

    Attributes:
        layout: Experts by set and rank.
        copies: Experts that ranks must load.
        skew_before: Most loaded rank over the mean, averaged over the sets.
        skew_after: The same under the proposed layout.
    """

    layout: _group_map.Layout
    copies: int
    skew_before: float
    skew_after: float


class _Change(msgspec.Struct, frozen=True):
    """A copy of an expert to a rank, and the replicas removed for it.

    ``dropped`` is an expert that ``to_rank`` gives up for its place, and
    ``from_rank`` the rank that gives up ``expert`` when it is moved.
    """

    expert: int
    to_rank: int
    dropped: int | None
    from_rank: int | None


class _SetState:
    """One set's experts and loads while a plan is made.

    Args:
        ranks: Experts by rank.
        tokens: Load by expert.
        slowdowns: How slow each rank is.
    """

    def __init__(
        self,
        ranks: tuple[tuple[int, ...], ...],
        tokens: list[float],
        slowdowns: list[float],
    ) -> None:
        self.ranks = [set(experts) for experts in ranks]
        self._tokens = tokens
        self._slowdowns = slowdowns
        self._replica_counts = [0] * len(tokens)
        for experts in self.ranks:
            for expert in experts:
                self._replica_counts[expert] += 1
        self.loads = self._current_loads()
        self.mean = max(sum(self.loads) / len(self.loads), 1e-9)

    @property
    def skew(self) -> float:
        """Load of the most loaded rank over the mean."""
        return max(self.loads) / self.mean

    @property
    def imbalance(self) -> float:
        """The objective that a change must reduce."""
        return self._imbalance_of(self.loads)

    def share(self, expert: int) -> float:
        """Load of one replica of an expert."""
        return self._tokens[expert] / self._replica_counts[expert]

    def changes(self, places: int, receivers: list[int]) -> list[_Change]:
        """Returns candidate changes that take load off the most loaded rank."""
        worst = self.loads.index(max(self.loads))
        heavy = sorted(self.ranks[worst], key=self.share, reverse=True)
        light = sorted(receivers, key=self.loads.__getitem__)
        pairs = itertools.product(heavy[:_EXPERTS_TRIED], light[:_RANKS_TRIED])
        found: list[_Change] = []
        for expert, rank in pairs:
            if rank != worst and expert not in self.ranks[rank]:
                found += self._copy_changes(expert, rank, worst, places)
        return found

    def imbalance_after(self, change: _Change) -> float:
        """Returns the imbalance under a change, without applying it."""
        return self._imbalance_of(self.loads_after(change))

    def loads_after(self, change: _Change) -> list[float]:
        """Returns the loads by rank under a change, without applying it."""
        if change.from_rank is not None:
            return self._loads_after_move(change)
        loads = list(self.loads)
        self._shift(loads, change.expert, add=change.to_rank)
        if change.dropped is not None:
            self._shift(loads, change.dropped, remove=change.to_rank)
        return loads

    def apply(self, change: _Change) -> None:
        """Applies a change and updates the loads."""
        self._add(change.expert, change.to_rank)
        if change.dropped is not None:
            self._remove(change.dropped, change.to_rank)
        if change.from_rank is not None:
            self._remove(change.expert, change.from_rank)
        self.loads = self._current_loads()

    def _copy_changes(
        self,
        expert: int,
        rank: int,
        worst: int,
        places: int,
    ) -> list[_Change]:
        dropped: int | None = None
        if len(self.ranks[rank]) >= places:
            spare = [
                one for one in self.ranks[rank] if self._replica_counts[one] > 1
            ]
            if not spare:
                return []
            dropped = min(spare, key=self.share)
        return [
            _Change(expert, rank, dropped, None),
            _Change(expert, rank, dropped, worst),
        ]

    def _shift(
        self,
        loads: list[float],
        expert: int,
        *,
        add: int | None = None,
        remove: int | None = None,
    ) -> None:
        """Updates loads for one more or one less replica of an expert."""
        before = self.share(expert)
        gained = 1 if remove is None else -1
        after = self._tokens[expert] / (self._replica_counts[expert] + gained)
        for rank, experts in enumerate(self.ranks):
            if expert in experts:
                loads[rank] += (after - before) * self._slowdowns[rank]
        if add is not None:
            loads[add] += after * self._slowdowns[add]
        if remove is not None:
            loads[remove] -= after * self._slowdowns[remove]

    def _loads_after_move(self, change: _Change) -> list[float]:
        loads = list(self.loads)
        share = self.share(change.expert)
        if change.from_rank is not None:
            loads[change.from_rank] -= share * self._slowdowns[change.from_rank]
        loads[change.to_rank] += share * self._slowdowns[change.to_rank]
        if change.dropped is not None:
            self._shift(loads, change.dropped, remove=change.to_rank)
        return loads

    def _add(self, expert: int, rank: int) -> None:
        self.ranks[rank].add(expert)
        self._replica_counts[expert] += 1

    def _remove(self, expert: int, rank: int) -> None:
        self.ranks[rank].discard(expert)
        self._replica_counts[expert] -= 1

    def _current_loads(self) -> list[float]:
        return [
            pace * sum(self.share(expert) for expert in experts)
            for experts, pace in zip(self.ranks, self._slowdowns, strict=True)
        ]

    def _imbalance_of(self, loads: list[float]) -> float:
        return sum((load / self.mean) ** _IMBALANCE_POWER for load in loads)


def balance(
    layout: _group_map.Layout,
    tokens: list[list[float]],
    bounds: BalanceBounds,
    slowdowns: list[float] | None = None,
) -> BalancePlan | None:
    """Proposes a layout that takes load off the most loaded ranks.

    Args:
        layout: The layout in force.
        tokens: Recent load by set and expert.
        bounds: Bounds of the new layout.
        slowdowns: How slow each rank is; 1 for the usual speed.

    Returns:
        None when no change gains enough to justify its copies.
    """
    slowdown_by_rank = slowdowns or [1.0] * len(layout[0])
    states = [
        _SetState(ranks, tokens[index], slowdown_by_rank)
        for index, ranks in enumerate(layout)
    ]
    before = _mean_skew(states)
    copies = _improve(states, bounds)
    if not copies:
        return None
    return BalancePlan(
        layout=tuple(
            tuple(tuple(sorted(experts)) for experts in state.ranks)
            for state in states
        ),
        copies=copies,
        skew_before=before,
        skew_after=_mean_skew(states),
    )


def _improve(states: list[_SetState], bounds: BalanceBounds) -> int:
    """Applies changes, most skewed set first; returns the copies made."""
    room = [bounds.copies_per_rank] * len(states[0].ranks)
    copies = 0
    open_states = list(states)
    while open_states and any(room):
        state = max(open_states, key=lambda one: one.skew)
        change = _best_change(state, bounds, room)
        if change is None:
            open_states.remove(state)
            continue
        state.apply(change)
        room[change.to_rank] -= 1
        copies += 1
    return copies


def _best_change(
    state: _SetState,
    bounds: BalanceBounds,
    room: list[int],
) -> _Change | None:
    receivers = [rank for rank, left in enumerate(room) if left > 0]
    changes = state.changes(bounds.places_per_rank, receivers)
    if not changes:
        return None
    best = min(changes, key=state.imbalance_after)
    # A pass waits for the most loaded rank, so the maximum must not rise.
    if max(state.loads_after(best)) > max(state.loads):
        return None
    gain_min = bounds.gain_min * min(1.0, _GAIN_RANKS / len(room))
    allowed = state.imbalance * (1 - gain_min)
    return best if state.imbalance_after(best) < allowed else None


def _mean_skew(states: list[_SetState]) -> float:
    return sum(state.skew for state in states) / len(states)
