"""Placement of experts on ranks of unequal speed, with few moves."""

import heapq
from collections.abc import Sequence
from typing import Final

import msgspec

from carobslip.expertmap import _map

_EPSILON: Final = 1e-12
_IMBALANCE_POWER: Final = 8
#: Smaller relative gains do not justify moving a replica.
_IMBALANCE_GAIN_MIN: Final = 0.01
#: Number of least loaded ranks that may take work from the slowest one.
_FAST_RANKS: Final = 4


class GroupLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Measured load of one layer of a group.

    Attributes:
        expert_tokens: Smoothed tokens a step by expert; shape (experts,).
        rank_speed: Relative speed by rank, 1.0 for a healthy one; shape
            (ranks,).
    """

    expert_tokens: tuple[float, ...]
    rank_speed: tuple[float, ...]


class PlacementSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of placement.

    Attributes:
        slots_per_rank: Experts that one rank has memory for.
        moves_max: Replicas that one new map may move.
    """

    slots_per_rank: int
    moves_max: int


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """A proposed map with its cost and gain.

    Attributes:
        experts_by_rank: Experts held by each rank.
        moves: Replicas that ranks must load.
        step_time_before: Longest rank time under the present map, in tokens
            over speed.
        step_time_after: The same under the proposed map.
    """

    experts_by_rank: tuple[tuple[int, ...], ...]
    moves: int
    step_time_before: float
    step_time_after: float


def rank_times(
    experts_by_rank: Sequence[Sequence[int]],
    load: GroupLoad,
) -> list[float]:
    """Returns each rank's time for a step; shape (ranks,).

    The tokens of an expert are shared among its replicas in proportion to
    the speed of their ranks.
    """
    speed_by_expert = [0.0] * len(load.expert_tokens)
    for rank, experts in enumerate(experts_by_rank):
        for expert in experts:
            speed_by_expert[expert] += load.rank_speed[rank]
    times = []
    for experts in experts_by_rank:
        times.append(
            sum(
                load.expert_tokens[expert]
                / max(speed_by_expert[expert], _EPSILON)
                for expert in experts
            ),
        )
    return times


def step_time(
    experts_by_rank: Sequence[Sequence[int]],
    load: GroupLoad,
) -> float:
    """Returns the time of a step: that of its slowest rank."""
    return max(rank_times(experts_by_rank, load))


def moved_replicas(
    before: Sequence[Sequence[int]],
    after: Sequence[Sequence[int]],
) -> int:
    """Counts the replicas that ranks must load for a new map."""
    pairs = zip(before, after, strict=True)
    return sum(len(set(new) - set(old)) for old, new in pairs)


def place_experts(
    present: _map.ExpertMap,
    load: GroupLoad,
    settings: PlacementSettings,
) -> Placement:
    """Improves the present map step by step.

    Each step takes work from the slowest rank: another replica in a free slot
    or in place of a spare one, or a swap of two experts with another rank. It
    ends when no change helps or the bound of moves is reached.

    Args:
        present: The map in force.
        load: Measured load and speed.
        settings: Bounds.
    """
    ranks = [list(experts) for experts in present.experts_by_rank]
    before = step_time(ranks, load)
    while True:
        changed = _best_change(ranks, load, settings.slots_per_rank)
        if changed is None:
            break
        moves = moved_replicas(present.experts_by_rank, changed)
        if moves > settings.moves_max:
            break
        ranks = changed
    experts_by_rank = tuple(tuple(sorted(experts)) for experts in ranks)
    return Placement(
        experts_by_rank=experts_by_rank,
        moves=moved_replicas(present.experts_by_rank, experts_by_rank),
        step_time_before=before,
        step_time_after=step_time(experts_by_rank, load),
    )


def rebuild_from_scratch(
    load: GroupLoad,
    settings: PlacementSettings,
) -> tuple[tuple[int, ...], ...]:
    """Places all experts anew, without regard to the present map.

    Spare slots go to the hottest experts as replicas. Replicas are then
    assigned by longest processing time first, each to the rank that would
    finish it earliest.
    """
    replicas = _replica_counts(load, settings)
    shares = sorted(
        (
            (load.expert_tokens[expert] / count, expert)
            for expert, count in enumerate(replicas)
            for _ in range(count)
        ),
        reverse=True,
    )
    ranks: list[list[int]] = [[] for _ in load.rank_speed]
    tokens = [0.0] * len(ranks)
    for share, expert in shares:
        free = [
            rank
            for rank, experts in enumerate(ranks)
            if len(experts) < settings.slots_per_rank and expert not in experts
        ]
        if not free:
            continue
        rank = min(
            free,
            key=lambda one: (tokens[one] + share) / load.rank_speed[one],
        )
        ranks[rank].append(expert)
        tokens[rank] += share
    return tuple(tuple(sorted(experts)) for experts in ranks)


def is_worth_moving(
    placement: Placement,
    *,
    steps_in_force: float,
    steps_per_move: float,
) -> bool:
    """Tells whether the gain over a map's lifetime exceeds the disruption.

    Args:
        placement: The proposed map.
        steps_in_force: Steps that the map is expected to last.
        steps_per_move: Disruption of one moved replica, in steps of the
            present length.
    """
    saved = placement.step_time_before - placement.step_time_after
    gain = saved * steps_in_force
    cost = placement.moves * steps_per_move * placement.step_time_before
    return gain > cost


def _replica_counts(
    load: GroupLoad,
    settings: PlacementSettings,
) -> list[int]:
    counts = [1] * len(load.expert_tokens)
    slots = settings.slots_per_rank * len(load.rank_speed)
    spare = slots - len(counts)
    heap = [
        (-tokens, expert) for expert, tokens in enumerate(load.expert_tokens)
    ]
    heapq.heapify(heap)
    for _ in range(spare):
        _share, expert = heapq.heappop(heap)
        if counts[expert] < len(load.rank_speed):
            counts[expert] += 1
        share = load.expert_tokens[expert] / counts[expert]
        heapq.heappush(heap, (-share, expert))
    return counts


def _imbalance(ranks: Sequence[Sequence[int]], load: GroupLoad) -> float:
    """Returns a smooth surrogate for the longest rank time.

    The longest time itself does not fall while several ranks share it, for
    example the holders of one hot expert; this sum does.
    """
    times = rank_times(ranks, load)
    mean = sum(times) / len(times)
    return sum((time / mean) ** _IMBALANCE_POWER for time in times)


def _best_change(
    ranks: list[list[int]],
    load: GroupLoad,
    slots_per_rank: int,
) -> list[list[int]] | None:
    """Returns the map after the best single change; None if none helps."""
    times = rank_times(ranks, load)
    order = sorted(range(len(ranks)), key=lambda rank: times[rank])
    slowest = order[-1]
    imbalance = _imbalance(ranks, load)
    best: list[list[int]] | None = None
    best_imbalance = imbalance * (1 - _IMBALANCE_GAIN_MIN)
    for other in order[:_FAST_RANKS]:
        if other == slowest:
            continue
        changes = _swaps(ranks, slowest, other)
        if len(ranks[other]) < slots_per_rank:
            changes += _additions(ranks, slowest, other)
        for changed in changes:
            changed_imbalance = _imbalance(changed, load)
            if changed_imbalance < best_imbalance:
                best, best_imbalance = changed, changed_imbalance
    return best


def _swaps(
    ranks: list[list[int]],
    slow: int,
    fast: int,
) -> list[list[list[int]]]:
    """Returns the maps after one exchange between two ranks.

    Either the ranks swap an expert, or the fast one takes a replica of an
    expert of the slow one in place of an expert that others hold too.
    """
    held_elsewhere = {
        expert
        for rank, experts in enumerate(ranks)
        if rank != fast
        for expert in experts
    }
    changed = []
    for given in ranks[slow]:
        if given in ranks[fast]:
            continue
        for taken in ranks[fast]:
            fast_after = [one for one in ranks[fast] if one != taken]
            fast_after.append(given)
            if taken in held_elsewhere:
                changed.append(_with_replaced(ranks, {fast: fast_after}))
            if taken not in ranks[slow]:
                slow_after = [one for one in ranks[slow] if one != given]
                slow_after.append(taken)
                both = {fast: fast_after, slow: slow_after}
                changed.append(_with_replaced(ranks, both))
    return changed


def _additions(
    ranks: list[list[int]],
    slow: int,
    fast: int,
) -> list[list[list[int]]]:
    """Returns the maps after the fast rank takes one more replica."""
    return [
        _with_replaced(ranks, {fast: [*ranks[fast], given]})
        for given in ranks[slow]
        if given not in ranks[fast]
    ]


def _with_replaced(
    ranks: list[list[int]],
    replaced: dict[int, list[int]],
) -> list[list[int]]:
    return [replaced.get(rank, experts) for rank, experts in enumerate(ranks)]
