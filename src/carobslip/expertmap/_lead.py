"""Leads one group: follows its load and keeps its layout even."""

import asyncio
from collections.abc import Sequence
from typing import Annotated, Final

import msgspec

from carobslip import clocks, identifiers, observability
from carobslip.expertmap import (
    _balance,
    _count_codec,
    _group_map,
    _orders,
    _switch,
)

#: News older than this say that a rank or its guard is in trouble.
_NEWS_FRESH_MS: Final = 500.0
#: A rank whose guard has said nothing for this long is asked itself.
_SILENCE_MS: Final = 250.0
#: A group counts as closed when a rank has not been heard of for this long.
_LOST_RANK_MS: Final = 1000.0
#: It counts as closed sooner if the rank's engine left this many questions in
#: a row without an answer: its machine is gone or hangs, not its guard alone.
_UNANSWERED_MAX: Final = 2
#: A hold that has stood for this long cannot be ended at present.
_STUCK_MS: Final = 600.0
#: A hold or an armed map that no switch of this coordinator explains is
#: ended after this time: another coordinator may still be at work.
_STANDING_MS: Final = 200.0
#: Part of the older choices that still counts after one period; what is asked
#: of experts shifts every few seconds.
_KEPT_SHARE: Final = 0.3
#: Choices since the last switch without which a layout is not judged.
_CHOICES_MIN: Final = 500.0
#: Below this part of its slots a group is calm: passes are short whatever the
#: layout, and only what lowers the most loaded rank by a twentieth is worth its
#: copies (a fall of the strain, an eighth power, by three tenths).
_CALM_SHARE: Final = 0.5
_CALM_GAIN_MIN: Final = 0.3


class RankNews(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a guard tells the coordinator of its engine's group.

    Attributes:
        report: The engine's report.
        sequence: Counts the news of this guard; repeated ones are dropped.
        counts: Choices by set and expert since the previous news, packed.
        address: Where the engine takes calls.
    """

    report: _group_map.RankReport
    sequence: int
    counts: Annotated[
        bytes,
        msgspec.Meta(max_length=_count_codec.COUNTS_MAX),
    ]
    address: str


class LeadSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of the group's engines.

    Attributes:
        sets: Sets of layers with a map each.
        experts: Experts in a set.
        slots: Requests that an engine runs at once.
        bounds: Bounds of new layouts.
    """

    sets: int
    experts: int
    slots: int
    bounds: _balance.BalanceBounds


class _Heard:
    """The latest news of a rank."""

    def __init__(self, news: RankNews, now_ms: float) -> None:
        self.news = news
        self.at_ms = now_ms


class GroupLead:
    """Plans and switches layouts while its guard coordinates the group.

    Args:
        group: The group.
        own_rank: Rank of the engine beside this process.
        ranks: Reaches the guards of all ranks.
        clock: Monotonic and wall time.
        log: Takes decisions.
    """

    def __init__(
        self,
        *,
        group: identifiers.GroupId,
        own_rank: int,
        ranks: _orders.GroupRanks,
        clock: clocks.Clock,
        log: observability.EventLog,
    ) -> None:
        self.group = group
        self.settings: LeadSettings | None = None
        self._own_rank = own_rank
        self._ranks = ranks
        self._clock = clock
        self._log = log
        self._heard: dict[int, _Heard] = {}
        self._tokens: list[list[float]] = []
        self._fresh: list[float] = []
        self._layout: _group_map.Layout | None = None
        self._epoch = 0
        self._fence = clock.wall_ms() // 1000
        self._standing_since_ms: float | None = None
        self._step_margin = _switch.STEP_MARGIN_MIN
        self._work: asyncio.Task[None] | None = None
        self._questions: dict[int, asyncio.Task[None]] = {}
        self._unanswered: dict[int, int] = {}
        self._began_ms = clock.now_ms()

    @property
    def is_broken(self) -> bool:
        """Tells whether requests to the group would stall."""
        if self._has_lost_rank():
            return True
        now_ms = self._clock.now_ms()
        if now_ms - self._began_ms < _LOST_RANK_MS:
            return False
        reports = self._reports_since(now_ms - _LOST_RANK_MS)
        if not reports:
            return False
        since_ms = self._standing_since_ms
        if since_ms is not None and now_ms - since_ms > _STUCK_MS:
            return True
        is_short = len(reports) < reports[0].size
        return is_short or not all(one.is_open for one in reports)

    @property
    def is_open(self) -> bool:
        """Tells whether all ranks are heard of and work."""
        reports = self._fresh_reports()
        if not reports or len(reports) < reports[0].size:
            return False
        epochs = {report.epoch for report in reports}
        return len(epochs) == 1 and all(one.is_open for one in reports)

    def loads(self) -> list[tuple[str, int, int]]:
        """Returns address, running and waiting requests of each rank.

        Ranks that were never heard of are among them while the group is
        broken, as such a rank may be the reason.
        """
        known = [
            (
                heard.news.address,
                heard.news.report.running,
                heard.news.report.waiting,
            )
            for _rank, heard in sorted(self._heard.items())
        ]
        if not self.is_broken:
            return known
        reports = [heard.news.report for heard in self._heard.values()]
        size = max((report.size for report in reports), default=0)
        addresses = [
            self._ranks.address_of(rank)
            for rank in range(size)
            if rank not in self._heard
        ]
        return known + [(one, 0, 0) for one in addresses if one is not None]

    def hear(self, news: RankNews) -> None:
        """Takes news of a rank."""
        rank = news.report.rank
        known = self._heard.get(rank)
        if known is not None:
            same_address = known.news.address == news.address
            if same_address and news.sequence == known.news.sequence:
                return
        self._note_heard(news)
        if news.counts:
            self._add_counts(_count_codec.read_counts(news.counts))

    def tick(self) -> None:
        """Looks at the group once a period; work goes on in a task."""
        self._forget_older_choices()
        self._ask_silent_ranks()
        if self._work is not None and not self._work.done():
            return
        settings = self.settings
        if settings is None:
            return
        if not self.is_open:
            self._layout = None
            self._end_standing()
            return
        report = self._fresh_reports()[0]
        if report.epoch != self._epoch:
            self._epoch = report.epoch
            self._layout = None
        self._work = asyncio.ensure_future(self._act(settings, report.size))

    async def close(self) -> None:
        """Waits for a switch in progress, which must not be left standing."""
        if self._work is not None:
            await self._work

    def _end_standing(self) -> None:
        """Ends a hold although not all ranks are heard of."""
        reports = self._fresh_reports()
        if not reports or not self._has_standing():
            return
        self._epoch = reports[0].epoch
        self._work = asyncio.ensure_future(
            self._run_switch(reports[0].size, None, None),
        )

    def _ask_silent_ranks(self) -> None:
        oldest_ms = self._clock.now_ms() - _SILENCE_MS
        reports = self._fresh_reports()
        size = reports[0].size if reports else 0
        self._unanswered = {
            rank: count
            for rank, count in self._unanswered.items()
            if rank < size
        }
        for rank in range(size):
            heard = self._heard.get(rank)
            question = self._questions.get(rank)
            is_asked = question is not None and not question.done()
            if is_asked or (heard is not None and heard.at_ms >= oldest_ms):
                continue
            self._questions[rank] = asyncio.ensure_future(self._ask(rank))

    async def _ask(self, rank: int) -> None:
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
            # Without an address, nobody was asked.
            silent = 0 if address is None else 1
            self._unanswered[rank] = self._unanswered.get(rank, 0) + silent
            return
        news = RankNews(
            report=answer.report,
            sequence=0,
            counts=b'',
            address=address,
        )
        self._note_heard(news)

    def _note_heard(self, news: RankNews) -> None:
        rank = news.report.rank
        self._heard[rank] = _Heard(news, self._clock.now_ms())
        self._unanswered.pop(rank, None)

    def _has_lost_rank(self) -> bool:
        """Tells whether a rank's machine has been silent altogether."""
        oldest_ms = self._clock.now_ms() - _NEWS_FRESH_MS
        for rank, count in self._unanswered.items():
            heard = self._heard.get(rank)
            is_fresh = heard is not None and heard.at_ms >= oldest_ms
            if count >= _UNANSWERED_MAX and not is_fresh:
                return True
        return False

    async def _act(self, settings: LeadSettings, size: int) -> None:
        layout = self._layout
        if self._has_standing():
            await self._run_switch(size, layout, None)
            return
        if any(one.held or one.armed for one in self._fresh_reports()):
            return
        if layout is None:
            await self._read_layout(size)
            return
        plan = self._plan(settings, layout)
        if plan is not None:
            await self._run_switch(size, layout, plan)

    def _plan(
        self,
        settings: LeadSettings,
        layout: _group_map.Layout,
    ) -> _balance.BalancePlan | None:
        choices = sum(sum(tokens) for tokens in self._tokens)
        if choices < _CHOICES_MIN or len(self._tokens) != len(layout):
            return None
        reports = self._fresh_reports()
        paces = [report.pace for report in reports]
        bounds = settings.bounds
        running = sum(report.running for report in reports)
        if running < _CALM_SHARE * settings.slots * len(reports):
            bounds = msgspec.structs.replace(bounds, gain_min=_CALM_GAIN_MIN)
        return _balance.balance(layout, self._tokens, bounds, paces)

    async def _run_switch(
        self,
        size: int,
        layout: _group_map.Layout | None,
        plan: _balance.BalancePlan | None,
    ) -> None:
        if layout is None:
            layout = await self._ask_layout(size)
        began_ms = self._clock.now_ms()
        switch = _switch.GroupSwitch(
            ranks=self._ranks,
            size=size,
            own_rank=self._own_rank,
            epoch=self._epoch,
            fence=self._fence,
            clock=self._clock,
            step_margin=self._step_margin,
        )
        if plan is None or layout is None:
            result = await switch.recover(layout)
        else:
            result = await switch.switch(plan.layout, layout)
        self._adapt_margin(switch.lost_orders)
        switched = result is _switch.SwitchResult.SWITCHED
        if switched and plan is not None:
            self._layout = plan.layout
        elif result is not _switch.SwitchResult.KEPT:
            self._layout = None
        if result is _switch.SwitchResult.SUPERSEDED:
            self._fence = max(self._fence, switch.fence_seen) + 1
        self._log.write(
            observability.Event.MAP_SWITCHED
            if switched
            else observability.Event.MAP_ABORTED,
            group=self.group,
            epoch=self._epoch,
            result=result.value,
            why=switch.why,
            fence=self._fence,
            copies=0 if plan is None else plan.copies,
            lost_orders=switch.lost_orders,
            skew_before=0 if plan is None else round(plan.skew_before, 2),
            skew_after=0 if plan is None else round(plan.skew_after, 2),
            took_ms=round(self._clock.now_ms() - began_ms),
        )

    def _adapt_margin(self, lost_orders: int) -> None:
        """Plans switches further ahead while orders get lost."""
        if lost_orders:
            wider = 2 * self._step_margin
            self._step_margin = min(wider, _switch.STEP_MARGIN_MAX)
        else:
            closer = self._step_margin - 1
            self._step_margin = max(closer, _switch.STEP_MARGIN_MIN)

    async def _read_layout(self, size: int) -> None:
        self._layout = await self._ask_layout(size)

    async def _ask_layout(self, size: int) -> _group_map.Layout | None:
        """Asks every rank for its experts, and for numbers in use."""
        order = _orders.RankOrder(
            kind=_orders.OrderKind.REPORT,
            epoch=self._epoch,
            fence=self._fence,
            with_experts=True,
        )
        answers = await asyncio.gather(
            *(self._ranks.order(rank, order) for rank in range(size)),
        )
        self._fence = max(
            self._fence,
            1 + max(answer.fence for answer in answers),
        )
        by_rank = [answer.experts for answer in answers if answer.experts]
        if len(by_rank) == size and _is_one_map(answers):
            return _group_map.join_ranks(by_rank)
        return None

    def _has_standing(self) -> bool:
        """Tells whether a hold or an armed map has stood for a while."""
        reports = self._fresh_reports()
        armed = [report.armed for report in reports]
        # A group that is armed as a whole waits for its next pass.
        stands = any(report.held is not None for report in reports) or any(
            one != armed[0] for one in armed
        )
        now_ms = self._clock.now_ms()
        if not stands:
            self._standing_since_ms = None
            return False
        if self._standing_since_ms is None:
            self._standing_since_ms = now_ms
        return now_ms - self._standing_since_ms >= _STANDING_MS

    def _fresh_reports(self) -> list[_group_map.RankReport]:
        return self._reports_since(self._clock.now_ms() - _NEWS_FRESH_MS)

    def _reports_since(
        self,
        oldest_ms: float,
    ) -> list[_group_map.RankReport]:
        return [
            heard.news.report
            for _rank, heard in sorted(self._heard.items())
            if heard.at_ms >= oldest_ms
        ]

    def _add_counts(self, counts: Sequence[int]) -> None:
        if len(counts) == len(self._fresh):
            self._fresh = [
                known + count
                for known, count in zip(self._fresh, counts, strict=True)
            ]
        elif counts:
            self._fresh = [float(count) for count in counts]

    def _forget_older_choices(self) -> None:
        settings = self.settings
        if settings is None:
            return
        width = settings.experts
        if len(self._fresh) != settings.sets * width:
            return
        fresh = [
            self._fresh[begin : begin + width]
            for begin in range(0, len(self._fresh), width)
        ]
        if len(self._tokens) != len(fresh):
            self._tokens = [[0.0] * width for _one in fresh]
        self._tokens = [
            [
                _KEPT_SHARE * old + new
                for old, new in zip(older, newer, strict=True)
            ]
            for older, newer in zip(self._tokens, fresh, strict=True)
        ]
        self._fresh = [0.0] * len(self._fresh)


def _is_one_map(answers: Sequence[_orders.RankAnswer]) -> bool:
    versions = {
        answer.report.map_version
        for answer in answers
        if answer.report is not None
    }
    return len(versions) == 1
