"""Fields of the log events of a switch."""

from carobslip.expertmap import _balance, _plan


def plan_fields(
    plan: _balance.BalancePlan | _plan.MapPlan | None,
    pass_ms: float,
) -> dict[str, object]:
    """Returns the fields that describe a plan.

    Args:
        plan: The plan; None for a switch that only ends another one.
        pass_ms: Present length of a pass.
    """
    if plan is None:
        return {'copies': 0, 'skew_before': 0, 'skew_after': 0}
    fields: dict[str, object] = {
        'copies': plan.copies,
        'skew_before': round(plan.skew_before, 2),
        'skew_after': round(plan.skew_after, 2),
    }
    if isinstance(plan, _plan.MapPlan):
        fields['dropped'] = plan.dropped
        fields['expected_pass_ms'] = round(pass_ms * plan.pass_ratio)
    return fields


def rounded(time_ms: float | None) -> int | None:
    """Returns a time in whole milliseconds, if it was measured."""
    return None if time_ms is None else round(time_ms)
