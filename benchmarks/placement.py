"""Step-time skew and rebalancing cost: static, rebuilt and our placement.

The popularity of 128 experts drifts and one rank is slow. Skew is the longest
divided by the mean rank time, averaged over the steps of a simulated day.
"""

import random

from carobslip import expertmap

SEED = 5
EXPERTS = 128
EPOCHS = 96
STEPS_PER_EPOCH = 20_000


def static_map(ranks: int, slots: int) -> tuple[tuple[int, ...], ...]:
    """Assigns experts round-robin; spare slots get further replicas."""
    held: list[list[int]] = [[] for _ in range(ranks)]
    for number in range(ranks * slots):
        held[number % ranks].append(number % EXPERTS)
    return tuple(tuple(sorted(dict.fromkeys(experts))) for experts in held)


class Drift:
    """Expert popularity that changes at random from epoch to epoch."""

    def __init__(self, generator: random.Random) -> None:
        self.random = generator
        self.weights = [generator.paretovariate(1.5) for _ in range(EXPERTS)]

    def step(self) -> tuple[float, ...]:
        for expert in range(EXPERTS):
            self.weights[expert] *= self.random.lognormvariate(0, 0.15)
            if self.random.random() < 0.002:
                self.weights[expert] = self.random.paretovariate(1.5)
        total = sum(self.weights)
        return tuple(weight / total * 10_000 for weight in self.weights)


def skew(held, load: expertmap.GroupLoad) -> float:
    times = expertmap.rank_times(held, load)
    return max(times) / (sum(times) / len(times))


def run(ranks: int, policy: str) -> tuple[float, int, float]:
    """Returns mean skew, moved replicas, and mean step time."""
    generator = random.Random(SEED)
    drift = Drift(generator)
    slots = EXPERTS // ranks + max(1, EXPERTS // ranks // 4)
    settings = expertmap.PlacementSettings(
        slots_per_rank=slots, moves_max=ranks
    )
    held = static_map(ranks, slots)
    speeds = [1.0] * ranks
    skews, steps, moved = [], [], 0
    smoothed_tokens = list(drift.step())
    for epoch in range(EPOCHS):
        if epoch == EPOCHS // 3:
            speeds[1] = 0.7
        tokens = drift.step()
        load = expertmap.GroupLoad(
            expert_tokens=tokens, rank_speed=tuple(speeds)
        )
        # The map of an epoch is computed from earlier measurements.
        measured = expertmap.GroupLoad(
            expert_tokens=tuple(smoothed_tokens), rank_speed=tuple(speeds)
        )
        before = held
        held = choose_map(policy, held, measured, settings)
        moved += expertmap.moved_replicas(before, held)
        skews.append(skew(held, load))
        steps.append(expertmap.step_time(held, load))
        smoothed_tokens = [
            0.5 * old + 0.5 * new
            for old, new in zip(smoothed_tokens, tokens, strict=True)
        ]
    return sum(skews) / EPOCHS, moved, sum(steps) / EPOCHS


def choose_map(policy, held, measured, settings):
    if policy == 'static':
        return held
    if policy == 'rebuilt':
        return expertmap.rebuild_from_scratch(measured, settings)
    current_map = expertmap.ExpertMap(
        version=expertmap.MapVersion(1), experts_by_rank=held
    )
    proposed = expertmap.place_experts(current_map, measured, settings)
    is_worthwhile = expertmap.is_worth_moving(
        proposed, steps_in_force=STEPS_PER_EPOCH, steps_per_move=20
    )
    return proposed.experts_by_rank if is_worthwhile else held


def main() -> None:
    """Prints a table of ratios."""
    print(f'expert placement, seed {SEED}, {EPOCHS} epochs, straggler 0.7')
    print(
        f'{"ranks":>5} {"policy":<9}{"skew":>7}{"moves":>8}'
        f'{"step time / static":>20}'
    )
    for ranks in (8, 16, 32, 64):
        base = 0.0
        for policy in ('static', 'rebuilt', 'ours'):
            mean_skew, moved, step = run(ranks, policy)
            base = base or step
            print(
                f'{ranks:>5} {policy:<9}{mean_skew:>7.3f}{moved:>8}'
                f'{step / base:>20.3f}'
            )


if __name__ == '__main__':
    main()
