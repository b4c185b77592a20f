"""Plans layouts of a service without contention."""

from collections.abc import Sequence
from typing import Final

import msgspec

from carobslip.expertmap import _balance, _coordinator_settings, _group_map

#: Below this share of its slots in use a group has low load. Passes are then
#: short under any layout, and copies pay off only if they lower the load of the
#: most loaded rank by a twentieth. The imbalance, a sum of eighth powers, then
#: falls by three tenths.
_LOW_LOAD_SHARE: Final = 0.5
_LOW_LOAD_GAIN_MIN: Final = 0.3


def plan_layout(
    layout: _group_map.Layout,
    tokens: list[list[float]],
    reports: Sequence[_group_map.RankReport],
    settings: _coordinator_settings.GroupCoordinatorSettings,
) -> _balance.BalancePlan | None:
    """Returns a plan; None if no change gains enough.

    Args:
        layout: The layout in force.
        tokens: Recent load by set and expert.
        reports: Recent reports of all ranks.
        settings: Parameters of the group's engines.
    """
    if len(tokens) != len(layout):
        return None
    slowdowns = [report.pace for report in reports]
    bounds = settings.bounds
    running = sum(report.running for report in reports)
    if running < _LOW_LOAD_SHARE * settings.slots * len(reports):
        bounds = msgspec.structs.replace(bounds, gain_min=_LOW_LOAD_GAIN_MIN)
    return _balance.balance(layout, tokens, bounds, slowdowns)
