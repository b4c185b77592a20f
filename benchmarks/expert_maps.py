"""Skew of the most loaded rank under shifting popularity of experts.

A model of popularity only: experts are chosen with a Zipf distribution whose
order changes every few seconds, the planner is given counts with the noise of
sampling, and a map takes effect some time after it was planned. There are no
messages and no requests. ``python -m benchmarks.expert_maps`` prints, for each
size, the skew that the planners reach and the lowest possible one.
"""

import math
import random
import time

import msgspec

from carobslip import expertmap

ZIPF_EXPONENT = 0.8
#: Selections that the counting ranks report per set and second.
SELECTIONS_PER_S = 40_000
#: Part of older counts that is kept for a period.
DECAY = 0.3
EXPERT_SHARE = 0.85
COPY_SLOWDOWN = 0.15
#: Length of a pass of balanced ranks.
BALANCED_PASS_MS = 64
#: Time from a plan to its map, without the time to copy experts.
SWITCH_MS = 300
TICK_MS = 20
#: The first maps, from an even layout, are left out of the means.
WARM_UP_MS = 8000


class Size(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of a group."""

    ranks: int
    sets: int
    experts: int
    places: int
    copy_ms: float
    shift_ms: float


SIZES = {
    size.ranks: size
    for size in (
        Size(ranks=8, sets=6, experts=64, places=11, copy_ms=147, shift_ms=4e3),
        Size(ranks=12, sets=6, experts=64, places=7, copy_ms=73, shift_ms=4e3),
        Size(ranks=24, sets=12, experts=96, places=5, copy_ms=36, shift_ms=4e3),
        Size(
            ranks=32, sets=12, experts=128, places=5, copy_ms=36.5, shift_ms=4e3
        ),
        Size(
            ranks=72, sets=12, experts=144, places=3, copy_ms=5.8, shift_ms=3100
        ),
        Size(
            ranks=96, sets=16, experts=192, places=3, copy_ms=18, shift_ms=3500
        ),
    )
}


class Popularity:
    """Share of the selections of each expert, by set.

    Args:
        size: The group.
        generator: Source of the order of experts.
        moved_share: Share of the experts that exchange their popularity in
            each shift.
    """

    def __init__(self, size, generator, moved_share=1.0):
        self._random = generator
        self._moved = round(size.experts * moved_share)
        weights = [(one + 1) ** -ZIPF_EXPONENT for one in range(size.experts)]
        total = sum(weights)
        self.by_set = [
            generator.sample([one / total for one in weights], size.experts)
            for _one in range(size.sets)
        ]

    def shift(self):
        """Lets some experts exchange their popularity."""
        for shares in self.by_set:
            chosen = self._random.sample(range(len(shares)), self._moved)
            values = [shares[one] for one in chosen]
            self._random.shuffle(values)
            for expert, value in zip(chosen, values, strict=True):
                shares[expert] = value

    def sample(self, period_ms):
        """Returns counts of a period, with the noise of sampling."""
        expected = SELECTIONS_PER_S * period_ms / 1000
        return [
            [
                max(
                    0.0,
                    share * expected
                    + self._random.gauss(0, math.sqrt(share * expected)),
                )
                for share in shares
            ]
            for shares in self.by_set
        ]


def initial_layout(size):
    """Returns a layout that deals the experts out, spare places included."""
    ranks = [[] for _one in range(size.ranks)]
    for place in range(size.ranks * size.places):
        ranks[place % size.ranks].append(place % size.experts)
    held = tuple(tuple(sorted(set(one))) for one in ranks)
    return (held,) * size.sets


def skews(layout, popularity, paces):
    """Returns the load of the most loaded rank over the ideal one, by set."""
    ideal = 1 / sum(1 / pace for pace in paces)
    found = []
    for ranks, shares in zip(layout, popularity, strict=True):
        replicas = [0] * len(shares)
        for experts in ranks:
            for expert in experts:
                replicas[expert] += 1
        highest = max(
            pace * sum(shares[one] / replicas[one] for one in experts)
            for experts, pace in zip(ranks, paces, strict=True)
        )
        found.append(highest / ideal)
    return found


def pass_ms(layout, popularity, paces):
    """Returns the length of a pass."""
    slowest = max(paces) * (1 - EXPERT_SHARE)
    found = skews(layout, popularity, paces)
    ideal = len(paces) / sum(1 / pace for pace in paces)
    mean = sum(found) / len(found)
    return BALANCED_PASS_MS * (slowest + EXPERT_SHARE * ideal * mean)


def lowest_skew(size, shares):
    """Returns a bound that no map of a set with equal ranks can beat.

    Each expert needs so many replicas that none exceeds the highest load.
    """
    low, high = 1.0, float(size.ranks)
    for _halving in range(30):
        skew = (low + high) / 2
        limit = skew / size.ranks
        needed = sum(max(1, math.ceil(one / limit - 1e-9)) for one in shares)
        if needed > size.places * size.ranks:
            low = skew
        else:
            high = skew
    return high


def plan_before(layout, tokens, paces, size, _bounds):
    """Plans with the planner of services without contention."""
    bounds = expertmap.BalanceBounds(
        places_per_rank=size.places,
        copies_per_rank=expertmap.copies_per_switch(
            size=size.ranks, expert_copy_ms=size.copy_ms, new_experts_max=2
        ),
    )
    plan = expertmap.balance(layout, tokens, bounds, paces)
    return plan and (plan.layout, plan.copies)


def plan_now(layout, tokens, paces, _size, bounds):
    """Plans with the planner of contended services."""
    planner = expertmap.MapPlanner(layout, tokens, paces, bounds)
    for _step in planner.steps():
        pass
    plan = planner.plan()
    return plan and (plan.layout, plan.copies)


class Outcome(msgspec.Struct):
    """What a day in the model gave."""

    skew: float = 0
    pass_ms: float = 0
    switches: int = 0
    copies: int = 0
    plan_ms: float = 0
    plan_ms_max: float = 0


def bounds_of(size):
    """Returns the settings that a contended service uses."""
    return expertmap.plan_settings(
        size=size.ranks,
        places_per_rank=size.places,
        expert_copy_ms=size.copy_ms,
        new_experts_max=2,
    )


def reachable_skew(size, shares, switches=6):
    """Returns the mean skew that the planner reaches without any bounds."""
    bounds = expertmap.PlanBounds(
        places_per_rank=size.places,
        new_experts_max=size.places,
        copies_per_rank=size.places * size.sets,
        group_copies_max=size.places * size.sets * size.ranks,
        expert_copy_ms=0,
        valid_ms=1e6,
    )
    layout, paces = initial_layout(size), [1.0] * size.ranks
    for _switch in range(switches):
        plan = plan_now(layout, shares, paces, size, bounds)
        layout = plan[0] if plan else layout
    found = skews(layout, shares, paces)
    return sum(found) / len(found)


def run(
    size,
    planner,
    *,
    interval_ms,
    decay,
    bounds=None,
    seconds=24,
    slow=None,
    moved_share=1.0,
    seed=3,
):
    """Runs the model; ``slow`` is (begin ms, end ms, share, pace)."""
    generator = random.Random(seed)
    popularity = Popularity(size, generator, moved_share)
    period_ms = expertmap.group_times(size.ranks).report_period_ms
    layout = initial_layout(size)
    tokens = [[0.0] * size.experts for _one in range(size.sets)]
    paces = [1.0] * size.ranks
    slow_ranks = generator.sample(range(size.ranks), size.ranks // 5)
    pending, copying_until = None, 0.0
    report_due, planned_at, shift_due = 0.0, -1e9, size.shift_ms
    known_paces = paces
    outcome, ticks = Outcome(), 0
    state, length, skew = None, 0.0, 0.0
    for now in range(0, seconds * 1000, TICK_MS):
        if now >= shift_due:
            popularity.shift()
            shift_due += size.shift_ms
        paces = [1.0] * size.ranks
        if slow and slow[0] <= now < slow[1]:
            for rank in slow_ranks:
                paces[rank] = slow[3]
        if pending and now >= pending[0]:
            layout, pending = pending[1], None
        if now >= report_due:
            report_due += period_ms
            fresh = popularity.sample(period_ms)
            tokens = [
                [decay * old + new for old, new in zip(*pair, strict=True)]
                for pair in zip(tokens, fresh, strict=True)
            ]
            is_new_pace = paces != known_paces and planner is plan_now
            if not pending and (now - planned_at >= interval_ms or is_new_pace):
                known_paces = paces
                began = time.perf_counter()
                plan = planner(layout, tokens, paces, size, bounds)
                spent = 1000 * (time.perf_counter() - began)
                outcome.plan_ms = max(outcome.plan_ms, spent)
                if plan:
                    planned_at = now
                    new, copies = plan
                    most = max(
                        sum(
                            len(set(after[rank]) - set(before[rank]))
                            for before, after in zip(layout, new, strict=True)
                        )
                        for rank in range(size.ranks)
                    )
                    copy_ms = most * size.copy_ms
                    copying_until = now + copy_ms
                    pending = (now + copy_ms + SWITCH_MS, new)
                    outcome.switches += 1
                    outcome.copies += copies
        if now < WARM_UP_MS:
            continue
        ticks += 1
        if state != (layout, shift_due, paces):
            state = (layout, shift_due, paces)
            length = pass_ms(layout, popularity.by_set, paces)
            found = skews(layout, popularity.by_set, paces)
            skew = sum(found) / len(found)
        slowdown = 1 + COPY_SLOWDOWN * (now < copying_until)
        outcome.pass_ms += length * slowdown
        outcome.skew += skew
    outcome.pass_ms /= ticks
    outcome.skew /= ticks
    return outcome


def main():
    """Prints a table of skews and passes, before and now."""
    print('ranks  best  moved  skew before/now  pass before/now  copies  plan')
    for ranks, size in SIZES.items():
        shares = Popularity(size, random.Random(1)).by_set
        best = reachable_skew(size, shares)
        settings = bounds_of(size)
        times = expertmap.group_times(ranks)
        for moved_share in (0.15, 1.0):
            before = run(
                size,
                plan_before,
                interval_ms=times.switch_interval_ms,
                decay=DECAY,
                moved_share=moved_share,
            )
            now = run(
                size,
                plan_now,
                interval_ms=settings.interval_ms,
                decay=DECAY,
                bounds=settings.bounds,
                moved_share=moved_share,
            )
            copies = round(now.copies / max(1, now.switches))
            print(
                f'{ranks:5} {best:5.2f} {moved_share:6} '
                f'{before.skew:10.2f} {now.skew:5.2f} '
                f'{before.pass_ms:10.1f} {now.pass_ms:5.1f} '
                f'{copies:6} {now.plan_ms:5.0f}'
            )


if __name__ == '__main__':
    main()
