"""Expert maps: where experts go, and how all ranks switch in one step."""

from carobslip.expertmap._coordinator import (
    Coordinator,
    Ranks,
    RankUnreachable,
    SwitchEnd,
)
from carobslip.expertmap._map import ExpertMap, MapVersion
from carobslip.expertmap._placement import (
    GroupLoad,
    Placement,
    PlacementSettings,
    is_worth_moving,
    moved_replicas,
    place_experts,
    rank_times,
    rebuild_from_scratch,
    step_time,
)
from carobslip.expertmap._rank import (
    Decision,
    Order,
    Phase,
    Promise,
    RankEngine,
    RankState,
    RankSwitch,
)

__all__ = [
    'Coordinator',
    'Decision',
    'ExpertMap',
    'GroupLoad',
    'MapVersion',
    'Order',
    'Phase',
    'Placement',
    'PlacementSettings',
    'Promise',
    'RankEngine',
    'RankState',
    'RankSwitch',
    'RankUnreachable',
    'Ranks',
    'SwitchEnd',
    'is_worth_moving',
    'moved_replicas',
    'place_experts',
    'rank_times',
    'rebuild_from_scratch',
    'step_time',
]
