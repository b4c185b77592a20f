"""Coordinates one group: tracks its load and rebalances its layout."""

import asyncio
from collections.abc import Sequence
from typing import Final

from carobslip import clocks, identifiers, observability, tasks
from carobslip.expertmap import (
    _balance,
    _balance_planning,
    _coordinator_numbers,
    _coordinator_settings,
    _count_codec,
    _expert_demand,
    _group_map,
    _group_times,
    _layout_fetch,
    _load_planning,
    _orders,
    _plan,
    _plan_settings,
    _rank_probes,
    _rank_updates,
    _step_margin,
    _switch,
    _switch_fields,
)

#: A group counts as broken when a hold or a partly armed map is this old: it
#: cannot be ended at present.
_STUCK_AFTER_MS: Final = 600.0
#: A hold or an armed map that is not from a switch of this coordinator is ended
#: after this time, as another coordinator may still be active.
_RECOVER_AFTER_MS: Final = 200.0
#: A report that arrives this long after a switch was made after it.
_REPORT_TRANSIT_MS: Final = 100.0
#: Decayed sum of selections below which no new layout is planned.
_SELECTIONS_MIN: Final = 500.0
#: Switches that may follow each other without a pause, as paces change.
_SWITCHES_IN_A_ROW: Final = 2


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
        self.settings: _coordinator_settings.GroupCoordinatorSettings | None = (
            None
        )
        self._own_rank = own_rank
        self._ranks = ranks
        self._clock = clock
        self._log = log
        self._supervisor = tasks.Supervisor(log=log)
        self._engines_fence = engines_fence
        self._updates = _rank_updates.LatestUpdates(clock=clock)
        self._demand = _expert_demand.ExpertDemand()
        self._load_planner = _load_planning.LoadPlanner(clock=clock)
        self._layout: _group_map.Layout | None = None
        self._epoch = 0
        self._fence = _coordinator_numbers.first_fence(
            clock.wall_ms(), own_rank
        )
        self._unfinished_since_ms: float | None = None
        self._margin = _step_margin.StepMargin(size=size)
        self._work: asyncio.Task[None] | None = None
        self._began_ms = clock.now_ms()
        self._switch_began_ms = 0.0
        self._version_used = 0
        self._waiting_for = ''
        self._switch_ended_ms = -_REPORT_TRANSIT_MS
        self._times = _group_times.group_times(size)
        self._probes = _rank_probes.RankProbes(
            ranks=ranks,
            updates=self._updates,
            clock=clock,
            times=self._times,
            own_rank=own_rank,
            supervisor=self._supervisor,
        )

    @property
    def is_broken(self) -> bool:
        """Whether requests to the group would stall."""
        if self._probes.has_lost_rank():
            return True
        now_ms = self._clock.now_ms()
        if now_ms - self._began_ms < self._times.rank_timeout_ms:
            return False
        reports = self._updates.reports_since(
            now_ms - self._times.rank_timeout_ms
        )
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

    @property
    def pass_ms(self) -> float:
        """Mean length of the recent passes of a contended service; else 0."""
        return self._margin.pass_ms if self._is_for_contention else 0.0

    @property
    def _is_for_contention(self) -> bool:
        settings = self.settings
        return settings is not None and settings.planning is not None

    @property
    def slowest_pace(self) -> float:
        """Time that the slowest rank needs relative to the usual."""
        paces = [report.pace for report in self._fresh_reports()]
        return max(paces, default=1.0)

    def loads(self) -> list[tuple[str, int, int]]:
        """Returns address, running and waiting requests of each rank.

        Ranks that have never reported are included while the group is broken,
        as such a rank may be the cause.
        """
        known = self._updates.loads()
        if not self.is_broken:
            return known
        addresses = map(self._ranks.address_of, self._updates.missing_ranks())
        return known + [(one, 0, 0) for one in addresses if one is not None]

    def record_update(self, update: _rank_updates.RankUpdate) -> None:
        """Records an update of a rank; drops duplicates."""
        if self._updates.is_duplicate(update):
            return
        self._updates.store(update)
        self._probes.note_answer(update.report.rank)
        if update.report.rank == self._own_rank:
            self._margin.note_step(update.report.step, self._clock.now_ms())
        if update.counts:
            self._demand.add(_count_codec.read_counts(update.counts))

    def probe_and_rebalance(self) -> None:
        """Runs once a period; switches run in a separate task."""
        settings = self.settings
        if settings is not None:
            self._demand.decay(sets=settings.sets, experts=settings.experts)
        reports = self._fresh_reports()
        self._probes.probe_silent(
            size=reports[0].size if reports else 0,
            epoch=self._epoch,
            fence=self._fence,
        )
        if self._work is not None and not self._work.done():
            return
        if settings is None:
            return
        if not self.is_open:
            self._layout = None
            self._note_waiting('not all ranks report an open group')
            self._recover_unfinished()
            return
        report = reports[0]
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

    async def _rebalance(
        self,
        settings: _coordinator_settings.GroupCoordinatorSettings,
        size: int,
    ) -> None:
        layout = self._layout
        if self._has_unfinished_switch():
            await self._run_switch(size, layout, None)
            return
        if any(one.held or one.armed for one in self._reports_after_switch()):
            return
        if layout is None:
            self._layout = await self._fetch_layout(size)
            return
        if settings.planning is not None:
            await self._follow_load(settings, settings.planning, size)
            return
        waited_ms = self._clock.now_ms() - self._switch_began_ms
        if waited_ms < self._times.switch_interval_ms:
            return
        if self._demand.total < _SELECTIONS_MIN:
            return
        plan = _balance_planning.plan_layout(
            layout, self._demand.tokens, self._fresh_reports(), settings
        )
        if plan is not None:
            await self._run_switch(size, layout, plan)

    async def _follow_load(
        self,
        settings: _coordinator_settings.GroupCoordinatorSettings,
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
            if self._demand.total < _SELECTIONS_MIN:
                return
            if not self._load_planner.claim(planning.interval_ms, reports):
                return
            plan = await self._load_planner.plan(
                layout,
                self._demand.tokens,
                reports,
                _load_planning.scale_to_load(
                    planning.bounds, reports, settings.slots
                ),
            )
            if plan is None:
                return
            await self._run_switch(size, layout, plan)

    async def _run_switch(
        self,
        size: int,
        layout: _group_map.Layout | None,
        plan: _balance.BalancePlan | _plan.MapPlan | None,
    ) -> None:
        if layout is None:
            layout = await self._fetch_layout(size, may_be_armed=plan is None)
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
        self._fence = switch.fence
        self._switch_ended_ms = self._clock.now_ms()
        self._margin.note_switch(switch.lost_orders, switch.arming_ms)
        switched = result is _switch.SwitchResult.SWITCHED
        if switched and plan is not None:
            self._layout = plan.layout
        elif result is not _switch.SwitchResult.KEPT or self._is_for_contention:
            # Ranks that refuse a plan may hold another layout than expected.
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
            arming_ms=_switch_fields.rounded(switch.arming_ms),
            pass_ms=round(self._margin.pass_ms),
            **_switch_fields.plan_fields(plan, self._margin.pass_ms),
            took_ms=round(self._clock.now_ms() - began_ms),
        )

    def _choose_margin(self) -> int:
        settings = self.settings
        if settings is None or settings.planning is None:
            return self._margin.by_losses()
        return self._margin.by_times()

    async def _fetch_layout(
        self, size: int, *, may_be_armed: bool = False
    ) -> _group_map.Layout | None:
        """Fetches the experts of every rank; raises the fence if needed."""
        fetch = _layout_fetch.LayoutFetch(
            ranks=self._ranks,
            own_rank=self._own_rank,
            epoch=self._epoch,
            fence=self._fence,
            may_be_armed=may_be_armed,
        )
        layout = await fetch.run(size)
        self._fence = fetch.fence
        if layout is not None:
            self._waiting_for = ''
        elif fetch.without_experts:
            self._note_waiting(fetch.why, without_experts=fetch.without_experts)
        else:
            self._note_waiting(fetch.why)
        return layout

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
        is_partly_armed = any(one != armed[0] for one in armed)
        if is_partly_armed and self._is_for_contention:
            is_partly_armed = not _have_same_next_map(reports)
        stands = is_partly_armed or any(
            report.held is not None for report in reports
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
        return self._updates.reports_since(
            max(
                self._clock.now_ms() - self._times.report_fresh_ms,
                self._switch_ended_ms + _REPORT_TRANSIT_MS,
            ),
        )

    def _fresh_reports(self) -> list[_group_map.RankReport]:
        return self._updates.reports_since(
            self._clock.now_ms() - self._times.report_fresh_ms,
        )


def _have_same_next_map(reports: Sequence[_group_map.RankReport]) -> bool:
    """Tells whether all ranks run one map, or will with the armed pass.

    Reports from before and after the pass of a switch differ in what is armed.
    """
    versions = {
        report.map_version if report.armed is None else report.armed.version
        for report in reports
    }
    return len(versions) == 1
