"""Coordinates one group: tracks its load and rebalances its layout."""

import asyncio
from collections.abc import Sequence
from typing import Final

import msgspec

from carobslip import clocks, identifiers, observability, tasks
from carobslip.expertmap import (
    _balance,
    _coordinator_numbers,
    _count_codec,
    _expert_demand,
    _group_map,
    _group_times,
    _load_planning,
    _orders,
    _plan,
    _plan_settings,
    _rank_updates,
    _step_margin,
    _switch,
)

#: It counts as broken sooner if this many probes in a row of the rank's engine
#: failed: then its machine is gone or hangs, not only its guard.
_FAILED_PROBES_MAX: Final = 2
#: A group counts as broken when a hold or a partly armed map is this old: it
#: cannot be ended at present.
_STUCK_AFTER_MS: Final = 600.0
#: A hold or an armed map that is not from a switch of this coordinator is ended
#: after this time, as another coordinator may still be active.
_RECOVER_AFTER_MS: Final = 200.0
#: A report that arrives this long after a switch was made after it.
_REPORT_TRANSIT_MS: Final = 100.0
#: Requests for the experts of a rank; a lost answer concerns that rank alone.
_LAYOUT_ATTEMPTS: Final = 3
#: Decayed sum of selections below which no new layout is planned.
_SELECTIONS_MIN: Final = 500.0
#: Below this share of its slots in use a group has low load. Passes are then
#: short under any layout, and copies pay off only if they lower the load of the
#: most loaded rank by a twentieth. The imbalance, a sum of eighth powers, then
#: falls by three tenths.
_LOW_LOAD_SHARE: Final = 0.5
_LOW_LOAD_GAIN_MIN: Final = 0.3
#: Switches that may follow each other without a pause, as paces change.
_SWITCHES_IN_A_ROW: Final = 2


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


class GroupCoordinator:
    """Plans and switches layouts while its guard coordinates the group.

    A :class:`Coordinator` in contrast runs the ballots of a single switch of an
    :class:`ExpertMap`.

    Args:
        group: The group.
        size: Ranks in the group.
        own_rank: Rank of the engine beside this process.
        ranks: Reaches the guards of all ranks.
        clock: Monotonic and wall time.
        log: Records switches.
        engines_fence: Whether engines refuse orders with a lower fencing number
            than one that they have seen.
    """

    def __init__(
        self,
        *,
        group: identifiers.GroupId,
        size: int,
        own_rank: int,
        ranks: _orders.GroupRanks,
        clock: clocks.Clock,
        log: observability.EventLog,
        engines_fence: bool = False,
    ) -> None:
        self.group = group
        self.settings: GroupCoordinatorSettings | None = None
        self._own_rank = own_rank
        self._ranks = ranks
        self._clock = clock
        self._log = log
        self._supervisor = tasks.Supervisor(log=log)
        self._engines_fence = engines_fence
        self._updates = _rank_updates.LatestUpdates(clock=clock)
        self._demand = _expert_demand.ExpertDemand()
        self._load_planner = _load_planning.LoadPlanner()
        self._layout: _group_map.Layout | None = None
        self._epoch = 0
        self._fence = _coordinator_numbers.first_fence(
            clock.wall_ms(), own_rank
        )
        self._unfinished_since_ms: float | None = None
        self._margin = _step_margin.StepMargin(size=size)
        self._work: asyncio.Task[None] | None = None
        self._probes: dict[int, asyncio.Task[None]] = {}
        self._failed_probes: dict[int, int] = {}
        self._began_ms = clock.now_ms()
        self._switch_began_ms = 0.0
        self._planned_ms = 0.0
        self._version_used = 0
        self._waiting_for = ''
        self._switch_ended_ms = -_REPORT_TRANSIT_MS
        self._times = _group_times.group_times(size)

    @property
    def is_broken(self) -> bool:
        """Whether requests to the group would stall."""
        if self._has_lost_rank():
            return True
        now_ms = self._clock.now_ms()
        if now_ms - self._began_ms < self._times.rank_timeout_ms:
            return False
        reports = self._reports_since(now_ms - self._times.rank_timeout_ms)
        if not reports:
            return False
        since_ms = self._unfinished_since_ms
        if since_ms is not None and now_ms - since_ms > _STUCK_AFTER_MS:
            return True
        is_short = len(reports) < reports[0].size
        return is_short or not all(one.is_open for one in reports)

    @property
    def is_open(self) -> bool:
        """Whether all ranks report and the group is complete."""
        reports = self._fresh_reports()
        if not reports or len(reports) < reports[0].size:
            return False
        epochs = {report.epoch for report in reports}
        return len(epochs) == 1 and all(one.is_open for one in reports)

    def loads(self) -> list[tuple[str, int, int]]:
        """Returns address, running and waiting requests of each rank.

        Ranks that have never reported are included while the group is broken,
        as such a rank may be the cause.
        """
        known = self._updates.loads()
        if not self.is_broken:
            return known
        latest = self._updates.by_rank
        size = max(
            (one.update.report.size for one in latest.values()), default=0
        )
        addresses = [
            self._ranks.address_of(rank)
            for rank in range(size)
            if rank not in latest
        ]
        return known + [(one, 0, 0) for one in addresses if one is not None]

    def record_update(self, update: _rank_updates.RankUpdate) -> None:
        """Records an update of a rank; drops duplicates."""
        if self._updates.is_duplicate(update):
            return
        self._store_update(update)
        if update.report.rank == self._own_rank:
            self._margin.note_step(update.report.step, self._clock.now_ms())
        if update.counts:
            self._demand.add(_count_codec.read_counts(update.counts))

    def probe_and_rebalance(self) -> None:
        """Runs once a period; switches run in a separate task."""
        settings = self.settings
        if settings is not None:
            self._demand.decay(sets=settings.sets, experts=settings.experts)
        self._probe_silent_ranks()
        if self._work is not None and not self._work.done():
            return
        if settings is None:
            return
        if not self.is_open:
            self._layout = None
            self._note_waiting('not all ranks report an open group')
            self._recover_unfinished()
            return
        report = self._fresh_reports()[0]
        if report.epoch != self._epoch:
            self._epoch = report.epoch
            self._layout = None
        self._work = self._supervisor.run_once(
            self._rebalance(settings, report.size)
        )

    async def close(self) -> None:
        """Waits for a switch in progress, which must not stay unfinished."""
        if self._work is not None:
            await self._work

    def _recover_unfinished(self) -> None:
        """Ends an unfinished switch although not all ranks report."""
        reports = self._fresh_reports()
        if not reports or not self._has_unfinished_switch():
            return
        self._epoch = reports[0].epoch
        self._work = self._supervisor.run_once(
            self._run_switch(reports[0].size, None, None),
        )

    def _probe_silent_ranks(self) -> None:
        oldest_ms = self._clock.now_ms() - self._times.probe_after_ms
        reports = self._fresh_reports()
        size = reports[0].size if reports else 0
        self._failed_probes = {
            rank: count
            for rank, count in self._failed_probes.items()
            if rank < size
        }
        for rank in range(size):
            running_probe = self._probes.get(rank)
            is_asked = running_probe is not None and not running_probe.done()
            if is_asked or self._updates.is_fresh(rank, oldest_ms):
                continue
            self._probes[rank] = self._supervisor.run_once(
                self._probe_rank(rank)
            )

    async def _probe_rank(self, rank: int) -> None:
        answer = await self._ranks.order(
            rank,
            _orders.RankOrder(
                kind=_orders.OrderKind.REPORT,
                epoch=self._epoch,
                fence=self._fence,
            ),
            through=self._own_rank,
        )
        address = self._ranks.address_of(rank)
        if answer.report is None or address is None:
            # Without an address, no request was sent.
            failures = 0 if address is None else 1
            self._failed_probes[rank] = (
                self._failed_probes.get(rank, 0) + failures
            )
            return
        update = _rank_updates.RankUpdate(
            report=answer.report,
            sequence=0,
            counts=b'',
            address=address,
        )
        self._store_update(update)

    def _store_update(self, update: _rank_updates.RankUpdate) -> None:
        self._updates.store(update)
        self._failed_probes.pop(update.report.rank, None)

    def _has_lost_rank(self) -> bool:
        """Tells whether neither guard nor engine of a rank answers."""
        oldest_ms = self._clock.now_ms() - self._times.report_fresh_ms
        return any(
            count >= _FAILED_PROBES_MAX
            and not self._updates.is_fresh(rank, oldest_ms)
            for rank, count in self._failed_probes.items()
        )

    async def _rebalance(
        self, settings: GroupCoordinatorSettings, size: int
    ) -> None:
        layout = self._layout
        if self._has_unfinished_switch():
            await self._run_switch(size, layout, None)
            return
        if any(one.held or one.armed for one in self._reports_after_switch()):
            return
        if layout is None:
            await self._refresh_layout(size)
            return
        if settings.planning is not None:
            await self._follow_load(settings, settings.planning, size)
            return
        waited_ms = self._clock.now_ms() - self._switch_began_ms
        if waited_ms < self._times.switch_interval_ms:
            return
        plan = self._plan_by_balance(settings, layout)
        if plan is not None:
            await self._run_switch(size, layout, plan)

    async def _follow_load(
        self,
        settings: GroupCoordinatorSettings,
        planning: _plan_settings.PlanSettings,
        size: int,
    ) -> None:
        """Plans and switches maps of a contended service.

        A change of pace does not wait for the interval. One that is reported
        during a switch leads to another plan directly after it.
        """
        for _ in range(_SWITCHES_IN_A_ROW):
            reports = self._fresh_reports()
            layout = self._layout
            if layout is None or len(reports) != size:
                return
            now_ms = self._clock.now_ms()
            is_due = now_ms - self._planned_ms >= planning.interval_ms
            if not is_due and not self._load_planner.is_pace_new(reports):
                return
            if self._demand.total < _SELECTIONS_MIN:
                return
            self._planned_ms = now_ms
            plan = await self._load_planner.plan(
                layout,
                self._demand.tokens,
                reports,
                _scale_to_load(planning.bounds, reports, settings.slots),
            )
            if plan is None:
                return
            await self._run_switch(size, layout, plan)

    def _plan_by_balance(
        self,
        settings: GroupCoordinatorSettings,
        layout: _group_map.Layout,
    ) -> _balance.BalancePlan | None:
        tokens = self._demand.tokens
        if self._demand.total < _SELECTIONS_MIN or len(tokens) != len(layout):
            return None
        reports = self._fresh_reports()
        slowdowns = [report.pace for report in reports]
        bounds = settings.bounds
        running = sum(report.running for report in reports)
        if running < _LOW_LOAD_SHARE * settings.slots * len(reports):
            bounds = msgspec.structs.replace(
                bounds, gain_min=_LOW_LOAD_GAIN_MIN
            )
        return _balance.balance(layout, tokens, bounds, slowdowns)

    async def _run_switch(
        self,
        size: int,
        layout: _group_map.Layout | None,
        plan: _balance.BalancePlan | _plan.MapPlan | None,
    ) -> None:
        if layout is None:
            layout = await self._fetch_layout(size)
        began_ms = self._clock.now_ms()
        self._switch_began_ms = began_ms
        margin = self._choose_margin()
        switch = _switch.GroupSwitch(
            ranks=self._ranks,
            size=size,
            own_rank=self._own_rank,
            epoch=self._epoch,
            fence=self._fence,
            clock=self._clock,
            engines_fence=self._engines_fence,
            step_margin=margin,
            version_min=self._version_used,
        )
        if plan is None or layout is None:
            result = await switch.recover(layout)
        else:
            result = await switch.switch(
                plan.layout,
                layout,
                known=self._known_reports(),
            )
        self._version_used = switch.version
        self._switch_ended_ms = self._clock.now_ms()
        self._margin.note_switch(switch.lost_orders, switch.arming_ms)
        switched = result is _switch.SwitchResult.SWITCHED
        if switched and plan is not None:
            self._layout = plan.layout
        elif result is not _switch.SwitchResult.KEPT:
            self._layout = None
        if result is _switch.SwitchResult.SUPERSEDED:
            self._fence = _coordinator_numbers.raise_fence(
                max(self._fence, switch.highest_fence), self._own_rank
            )
        self._log.write(
            observability.Event.MAP_SWITCHED
            if switched
            else observability.Event.MAP_ABORTED,
            group=self.group,
            epoch=self._epoch,
            result=result.value,
            why=switch.why,
            fence=self._fence,
            knows_layout=layout is not None,
            lost_orders=switch.lost_orders,
            margin=margin,
            arming_ms=_rounded(switch.arming_ms),
            pass_ms=round(self._margin.pass_ms),
            **_plan_fields(plan, self._margin.pass_ms),
            took_ms=round(self._clock.now_ms() - began_ms),
        )

    def _choose_margin(self) -> int:
        settings = self.settings
        if settings is None or settings.planning is None:
            return self._margin.by_losses()
        return self._margin.by_times()

    async def _refresh_layout(self, size: int) -> None:
        self._layout = await self._fetch_layout(size)

    async def _fetch_layout(self, size: int) -> _group_map.Layout | None:
        """Fetches the experts of every rank; raises the fence if needed."""
        told: dict[int, _orders.RankAnswer] = {}
        for _ in range(_LAYOUT_ATTEMPTS):
            order = _orders.RankOrder(
                kind=_orders.OrderKind.REPORT,
                epoch=self._epoch,
                fence=self._fence,
                with_experts=True,
            )
            asked = [rank for rank in range(size) if rank not in told]
            answers = await asyncio.gather(
                *(self._ranks.order(rank, order) for rank in asked),
            )
            highest = max(answer.fence for answer in answers)
            if highest > self._fence:
                self._fence = _coordinator_numbers.raise_fence(
                    highest, self._own_rank
                )
            told.update(
                (rank, answer)
                for rank, answer in zip(asked, answers, strict=True)
                if answer.experts
            )
            if len(told) == size:
                return self._join_layout(told)
        self._note_waiting(
            'not all ranks told their experts',
            without_experts=[rank for rank in range(size) if rank not in told],
        )
        return None

    def _join_layout(
        self,
        told: dict[int, _orders.RankAnswer],
    ) -> _group_map.Layout | None:
        answers = [told[rank] for rank in sorted(told)]
        if not _have_same_map(answers):
            self._note_waiting('ranks have different maps')
            return None
        self._waiting_for = ''
        return _group_map.join_ranks([answer.experts for answer in answers])

    def _note_waiting(self, why: str, **inputs: object) -> None:
        """Records why no layout is planned, once for each reason in a row."""
        if why == self._waiting_for:
            return
        self._waiting_for = why
        self._log.write(
            observability.Event.MAP_WAITING,
            group=self.group,
            epoch=self._epoch,
            why=why,
            silent_ms=self._updates.silent_ms(self._times.probe_after_ms),
            **inputs,
        )

    def _has_unfinished_switch(self) -> bool:
        """Tells whether a hold or a partly armed map is overdue."""
        reports = self._reports_after_switch()
        armed = [report.armed for report in reports]
        # A group whose ranks are all armed alike only waits for its pass.
        stands = any(report.held is not None for report in reports) or any(
            one != armed[0] for one in armed
        )
        now_ms = self._clock.now_ms()
        if not stands:
            self._unfinished_since_ms = None
            return False
        if self._unfinished_since_ms is None:
            self._unfinished_since_ms = now_ms
        return now_ms - self._unfinished_since_ms >= _RECOVER_AFTER_MS

    def _known_reports(self) -> list[_group_map.RankReport]:
        """Returns the reports that a switch may use instead of asking again.

        There are none before the first switch: an earlier coordinator of this
        rank may have used versions that no report shows yet.
        """
        return self._reports_after_switch() if self._version_used else []

    def _reports_after_switch(self) -> list[_group_map.RankReport]:
        """Returns fresh reports that were not made during the last switch."""
        return self._reports_since(
            max(
                self._clock.now_ms() - self._times.report_fresh_ms,
                self._switch_ended_ms + _REPORT_TRANSIT_MS,
            ),
        )

    def _fresh_reports(self) -> list[_group_map.RankReport]:
        return self._reports_since(
            self._clock.now_ms() - self._times.report_fresh_ms,
        )

    def _reports_since(
        self,
        oldest_ms: float,
    ) -> list[_group_map.RankReport]:
        return self._updates.reports_since(oldest_ms)


def _have_same_map(answers: Sequence[_orders.RankAnswer]) -> bool:
    versions = {
        answer.report.map_version
        for answer in answers
        if answer.report is not None
    }
    return len(versions) == 1


def _scale_to_load(
    bounds: _plan.PlanBounds,
    reports: Sequence[_group_map.RankReport],
    slots: int,
) -> _plan.PlanBounds:
    """Returns the bounds for the load of a group.

    Below half of its slots in use a group has short passes under any map, and
    the time that a map gains is worth less.
    """
    running = sum(report.running for report in reports)
    share = running / max(1, slots * len(reports))
    factor = min(1.0, share / _LOW_LOAD_SHARE)
    return msgspec.structs.replace(bounds, valid_ms=bounds.valid_ms * factor)


def _plan_fields(
    plan: _balance.BalancePlan | _plan.MapPlan | None,
    pass_ms: float,
) -> dict[str, object]:
    """Returns the fields of a log event that describe a plan."""
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


def _rounded(time_ms: float | None) -> int | None:
    return None if time_ms is None else round(time_ms)
