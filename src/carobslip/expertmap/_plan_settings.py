"""Bounds of the plans of a contended service, by the size of its group."""

from typing import Final

import msgspec

from carobslip.expertmap import _group_times, _plan

#: Interval between two plans, rounded to whole report periods. With a shorter one,
#: most counts precede a shift of popularity, and copies run all the time. Small
#: groups plan as often as without contention.
_INTERVAL_MAX_MS: Final = 800.0
#: Part of a report period by which a plan may be early, as periods vary.
_EARLY_PERIODS: Final = 0.25
#: Time for the copies of one switch at a rank.
_COPIES_MS: Final = 110.0
#: Copies of one switch in a whole group. A coordinator tells every rank all of
#: them, and this many keep its messages below a quarter of a link of 4 Mbit/s.
_GROUP_COPIES_MAX: Final = 200
#: The popularity of experts shifts every three to four seconds, and a map takes
#: effect about a second after a shift. On average it then suits the load for
#: half of the rest.
_VALID_MS: Final = 1500.0
#: Ranks of a group that may use all of _GROUP_COPIES_MAX. The bytes of a switch
#: grow with the copies and with the ranks that are told.
_FULL_COPIES_RANKS: Final = 72


class PlanSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How often and within which bounds maps are planned.

    Attributes:
        interval_ms: Shortest time between two plans.
        bounds: Bounds of one switch.
    """

    interval_ms: float
    bounds: _plan.PlanBounds

    @property
    def guard_copy_ms(self) -> float:
        """Time of a copy from which guards derive how long they wait.

        They wait for a multiple of it that suits one or two copies of a switch.
        Half the time of all copies of a rank is enough for twice that time.
        """
        copies_ms = self.bounds.copies_per_rank * self.bounds.expert_copy_ms
        return max(self.bounds.expert_copy_ms, copies_ms / 2)


def plan_settings(
    *,
    size: int,
    places_per_rank: int,
    expert_copy_ms: float,
    new_experts_max: int,
) -> PlanSettings:
    """Returns the settings of a group of a contended service.

    Args:
        size: Ranks in the group.
        places_per_rank: Experts of a set that fit on a rank.
        expert_copy_ms: Time to copy one expert.
        new_experts_max: New experts of a set that one order may add to a rank;
            0 if unknown.
    """
    times = _group_times.group_times(size)
    period_ms = times.report_period_ms
    interval_ms = min(times.switch_interval_ms, _INTERVAL_MAX_MS)
    periods = max(1, int(interval_ms / period_ms + _EARLY_PERIODS))
    in_time = max(1, int(_COPIES_MS / max(1.0, expert_copy_ms)))
    told = int(_GROUP_COPIES_MAX * min(1.0, _FULL_COPIES_RANKS / size))
    return PlanSettings(
        interval_ms=(periods - _EARLY_PERIODS) * period_ms,
        bounds=_plan.PlanBounds(
            places_per_rank=places_per_rank,
            new_experts_max=max(1, new_experts_max),
            copies_per_rank=in_time,
            group_copies_max=max(1, told),
            expert_copy_ms=expert_copy_ms,
            valid_ms=_VALID_MS,
        ),
    )
