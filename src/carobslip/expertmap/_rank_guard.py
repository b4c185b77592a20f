"""Relays orders of coordinators to an engine, and tracks the switch state."""

import asyncio
from typing import Final

import msgspec

from carobslip.expertmap import _group_map, _orders

#: A copy that takes longer than this multiple of its usual time has failed.
_COPY_TIMEOUT_FACTOR: Final = 4
_COPY_POLL_S: Final = 0.02
#: Reports that engines send to other machines lag by this time.
_REPORT_LAG_S: Final = 0.25


class RankGuard:
    """Handles the orders that coordinators send to a guard.

    Args:
        engine: The engine beside the guard.
    """

    def __init__(self, *, engine: _orders.EngineControl) -> None:
        self._engine = engine
        self._fence = 0
        self._coordinator_rank: int | None = None
        self._coordinator_armed_map: _group_map.ArmedMap | None = None
        self._coordinator_in_doubt = False
        self.expert_copy_ms = 0.0

    async def order(self, order: _orders.RankOrder) -> _orders.RankAnswer:
        """Sends an order to the guard's own engine."""
        if order.fence < self._fence:
            return self._fenced()
        self._fence = order.fence
        if order.kind is _orders.OrderKind.PREPARE and not order.is_undo:
            # A new switch begins only after the previous one has ended. A guard
            # that was started later does not know what was armed before.
            self._coordinator_armed_map = None
            self._coordinator_in_doubt = False
            self._coordinator_rank = order.coordinator_rank
        answer = await send_order(
            self._engine,
            order,
            expert_copy_ms=self.expert_copy_ms,
        )
        return msgspec.structs.replace(
            answer,
            coordinator_rank=self._coordinator_rank,
            coordinator_armed_map=self._coordinator_armed_map,
            coordinator_in_doubt=self._coordinator_in_doubt,
        )

    async def arm_coordinator(
        self,
        order: _orders.RankOrder,
        engine: _orders.EngineControl,
    ) -> _orders.RankAnswer:
        """Arms the engine beside the coordinator, and records the outcome.

        Args:
            order: The order for that engine.
            engine: The engine beside the coordinator.
        """
        if order.fence < self._fence:
            return self._fenced()
        self._fence = order.fence
        was_in_doubt = self._coordinator_in_doubt
        self._coordinator_in_doubt = True
        end = await engine.order(order)
        if end is _orders.OrderEnd.DONE:
            self._coordinator_armed_map = _group_map.ArmedMap(
                version=order.version,
                step=order.step,
            )
        # A refusal ends no earlier order, as it may come from the connection.
        is_lost = end is _orders.OrderEnd.LOST
        is_refused = end is _orders.OrderEnd.REFUSED
        self._coordinator_in_doubt = is_lost or (is_refused and was_in_doubt)
        return _orders.RankAnswer(end=end, fence=order.fence)

    def _fenced(self) -> _orders.RankAnswer:
        return _orders.RankAnswer(
            end=_orders.OrderEnd.FENCED,
            fence=self._fence,
        )


async def send_order(
    engine: _orders.EngineControl,
    order: _orders.RankOrder,
    *,
    expert_copy_ms: float,
    is_remote: bool = False,
) -> _orders.RankAnswer:
    """Sends an order to an engine, and returns its state afterwards.

    Args:
        engine: The engine.
        order: The order.
        expert_copy_ms: Time to copy one expert.
        is_remote: The engine is on another machine, whose reports lag.
    """
    end = _orders.OrderEnd.DONE
    experts: tuple[tuple[int, ...], ...] = ()
    report: _group_map.RankReport | None = None
    try:
        experts = await _experts_for(engine, order)
        if order.kind is not _orders.OrderKind.REPORT:
            end = await engine.order(order)
        if is_remote and order.kind is _orders.OrderKind.HOLD:
            return _orders.RankAnswer(end=end, fence=order.fence)
        await asyncio.sleep(_REPORT_LAG_S if is_remote else 0)
        report = await _report_after(engine, order, expert_copy_ms)
    except _orders.EngineUnavailable:
        end = _orders.OrderEnd.LOST
    return _orders.RankAnswer(
        end=end,
        report=report,
        experts=experts,
        fence=order.fence,
    )


async def _experts_for(
    engine: _orders.EngineControl,
    order: _orders.RankOrder,
) -> tuple[tuple[int, ...], ...]:
    # The group pauses while another machine reads its experts.
    return await engine.experts() if order.with_experts else ()


async def _report_after(
    engine: _orders.EngineControl,
    order: _orders.RankOrder,
    expert_copy_ms: float,
) -> _group_map.RankReport | None:
    """Returns the report; after PREPARE, waits for complete copies."""
    report = await engine.report()
    if order.kind is not _orders.OrderKind.PREPARE:
        return report
    limit_ms = _COPY_TIMEOUT_FACTOR * expert_copy_ms
    for _ in range(int(limit_ms / 1000 / _COPY_POLL_S)):
        if report is None or report.prepared == order.version:
            break
        await asyncio.sleep(_COPY_POLL_S)
        report = await engine.report()
    return report
