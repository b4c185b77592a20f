"""Parameters of the engines that a coordinator plans for."""

import msgspec

from carobslip.expertmap import _balance, _plan_settings


class GroupCoordinatorSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of the group's engines.

    Attributes:
        sets: Sets of layers with a map each.
        experts: Experts in a set.
        slots: Requests that an engine runs at once.
        bounds: Bounds of new layouts.
        planning: How a contended service plans its maps; None for a service
            whose layouts only have to fit ``bounds``.
    """

    sets: int
    experts: int
    slots: int
    bounds: _balance.BalanceBounds
    planning: _plan_settings.PlanSettings | None = None
