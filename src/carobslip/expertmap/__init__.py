"""Expert maps: expert placement, and atomic map switches of a group."""

from carobslip.expertmap._balance import (
    BalanceBounds,
    BalancePlan,
    balance,
    copies_per_switch,
)
from carobslip.expertmap._coordinator import (
    Coordinator,
    Ranks,
    RankUnreachable,
    SwitchEnd,
)
from carobslip.expertmap._coordinator_settings import GroupCoordinatorSettings
from carobslip.expertmap._count_codec import CountsWriter, read_counts
from carobslip.expertmap._group_coordinator import GroupCoordinator
from carobslip.expertmap._group_map import (
    ArmedMap,
    Layout,
    RankReport,
    join_ranks,
)
from carobslip.expertmap._group_times import GroupTimes, group_times
from carobslip.expertmap._layout_codec import (
    LayoutReader,
    LayoutWriter,
    PackedLayout,
)
from carobslip.expertmap._load_planning import LoadPlanner
from carobslip.expertmap._map import ExpertMap, MapVersion
from carobslip.expertmap._orders import (
    EngineControl,
    EngineUnavailable,
    ExpertCounts,
    GroupRanks,
    OrderEnd,
    OrderKind,
    RankAnswer,
    RankOrder,
)
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
from carobslip.expertmap._plan import MapPlan, MapPlanner, PlanBounds
from carobslip.expertmap._plan_settings import PlanSettings, plan_settings
from carobslip.expertmap._rank import (
    Decision,
    Order,
    Phase,
    Promise,
    RankEngine,
    RankState,
    RankSwitch,
)
from carobslip.expertmap._rank_guard import RankGuard, send_order
from carobslip.expertmap._rank_updates import RankUpdate
from carobslip.expertmap._step_margin import StepMargin
from carobslip.expertmap._switch import GroupSwitch, SwitchResult

__all__ = [
    'ArmedMap',
    'BalanceBounds',
    'BalancePlan',
    'Coordinator',
    'CountsWriter',
    'Decision',
    'EngineControl',
    'EngineUnavailable',
    'ExpertCounts',
    'ExpertMap',
    'GroupCoordinator',
    'GroupLoad',
    'GroupCoordinatorSettings',
    'GroupTimes',
    'GroupRanks',
    'GroupSwitch',
    'Layout',
    'LayoutReader',
    'LayoutWriter',
    'LoadPlanner',
    'MapPlan',
    'MapPlanner',
    'MapVersion',
    'Order',
    'OrderEnd',
    'OrderKind',
    'PackedLayout',
    'Phase',
    'Placement',
    'PlacementSettings',
    'PlanBounds',
    'PlanSettings',
    'Promise',
    'RankAnswer',
    'RankEngine',
    'RankGuard',
    'RankOrder',
    'RankReport',
    'RankState',
    'RankSwitch',
    'RankUnreachable',
    'RankUpdate',
    'Ranks',
    'StepMargin',
    'SwitchEnd',
    'SwitchResult',
    'balance',
    'is_worth_moving',
    'copies_per_switch',
    'group_times',
    'join_ranks',
    'moved_replicas',
    'place_experts',
    'plan_settings',
    'rank_times',
    'read_counts',
    'rebuild_from_scratch',
    'send_order',
    'step_time',
]
