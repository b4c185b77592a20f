"""The way of one forwarded request, from its route to its whole answer."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Any, Final

import msgspec

from carobslip import (
    clocks,
    configuration,
    guard,
    identifiers,
    observability,
    targets,
    verdicts,
)
from carobslip.forwarding import (
    _admission,
    _events,
    _loads,
    _ports,
    _repeat_budget,
    _request,
    _stalls,
    _table,
)

_Reason = verdicts.Reason
_Verdict = verdicts.Verdict

#: Longest answer that is held back until it is whole.
_ANSWER_MAX_BYTES: Final = 8_388_608
#: Part of the objective that a request may wait for a start and still have
#: its first byte in time; the rest is for reading the prompt and one pass.
_ON_TIME_WAIT_SHARE: Final = 0.6
#: Callers give a stream up after two seconds without an event; the first one
#: needs part of that time after the start.
_STREAM_WAIT_MAX_MS: Final = 1200.0
#: A plain call waits for a start during this part of its time.
_PLAIN_WAIT_SHARE: Final = 0.4
#: Plain calls that an entry may have at one target although it does not know
#: the load of others: they are short, and come seldom to each entry.
_PLAIN_SHARE_MIN: Final = 3
#: Tries that provably end without a run are cheap, but not free.
_UNRUN_TRIES_MAX: Final = 4
#: After this many rejections in a row targets are forming or full; those that
#: rejected the request are asked again after the pause.
_REJECTIONS_BEFORE_PAUSE: Final = 2
_REJECTED_PAUSE_S: Final = 0.25
#: A caller that meets an entry without current beliefs comes back soon.
_RETRY_SOON_MS: Final = 500
#: A process that has just started knows its configuration within this time.
_START_WAIT_MS: Final = 300.0
#: A group whose rank is lost stalls for about this long.
_GROUP_STALL_MS: Final = 1500.0
#: Requests at a stalled target look for room elsewhere at this interval.
_STALL_LOOK_S: Final = 0.05


class ForwardingRules(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds that operators set for all entries.

    Attributes:
        key_age_max_ms: A request with a key is served only while the
            configuration was known to be the newest one within this time.
        cold_factor: Times ``cold_rps`` that a cold target may get.
        cold_extra_rps: Requests a second on top of that.
    """

    key_age_max_ms: float = 5000
    cold_factor: float = 1
    cold_extra_rps: float = 0


class FleetView(msgspec.Struct, frozen=True, kw_only=True):
    """What a forwarder asks about the fleet.

    Attributes:
        entries: Returns how many entries are alive.
        is_current: False while this process has just woken from a pause.
    """

    entries: Callable[[], int]
    is_current: Callable[[], bool]


class Tools(msgspec.Struct, frozen=True, kw_only=True):
    """Clock, chance and records of a process."""

    clock: clocks.Clock
    generator: random.Random
    log: observability.EventLog
    metrics: observability.Metrics


class _Work:
    """How far one request has come."""

    def __init__(
        self,
        request: _request.ForwardRequest,
        caller: _ports.Caller,
        route: configuration.Route,
        team: configuration.Team | None,
        service: identifiers.ServiceId,
    ) -> None:
        self.request = request
        self.caller = caller
        self.route = route
        self.team = team
        self.service = service
        self.sent = 0
        self.arrivals = 0
        self.unrun = 0
        self.is_at_target = False
        self.may_have_run = False
        self.begun = False
        self.next_place: targets.TargetRecord | None = None
        self.waited_ms = 0.0
        self.first_event_ms: float | None = None
        self.last_event: int | None = None
        self.lost_at: set[identifiers.TargetId] = set()
        self.rejected_by: set[identifiers.TargetId] = set()
        patience_ms = min(request.patience_ms, route.timeout_ms)
        self.deadline_ms = request.arrived_ms + patience_ms

    @property
    def excluded(self) -> frozenset[identifiers.TargetId]:
        """Targets that are not tried now."""
        return frozenset(self.lost_at | self.rejected_by)

    @property
    def resume_after(self) -> str | None:
        """The event after which a stream goes on, if any."""
        if self.last_event is not None:
            return str(self.last_event)
        return self.request.last_event


class Forwarder:
    """Sends requests to targets and passes whole answers on.

    A request goes to a second target only if it provably did not run at the
    first, or if it may run more than once.

    Args:
        holder: The configuration in force.
        book: The published targets.
        loads: Load of the targets.
        port: Calls targets.
        fleet: Tells about the other entries, and about pauses.
        rules: The operators' bounds.
        budget: Bounds second sends.
        tools: Clock, chance and records.
    """

    def __init__(
        self,
        *,
        holder: configuration.Holder,
        book: targets.TargetBook,
        loads: _loads.LoadBook,
        port: _ports.TargetPort,
        fleet: FleetView,
        rules: ForwardingRules,
        budget: _repeat_budget.RepeatBudget,
        tools: Tools,
    ) -> None:
        self._holder = holder
        self._book = book
        self._loads = loads
        self._port = port
        self._is_current = fleet.is_current
        self.rules = rules
        self._budget = budget
        self._clock = tools.clock
        self._random = tools.generator
        self._log = tools.log
        self._metrics = tools.metrics
        self._index: _table.ForwardingIndex | None = None
        self._configured = asyncio.Event()
        self.stalls = _stalls.StallBook()
        self.in_progress = 0
        self.admission = _admission.Admission(
            loads=loads,
            candidates=self._candidates,
            entries=fleet.entries,
            clock=tools.clock,
            generator=tools.generator,
        )

    def apply_configuration(self) -> None:
        """Uses the held configuration from now on."""
        held = self._holder.configuration
        self._index = _table.ForwardingIndex(
            table=held.forwarding,
            withdrawn=frozenset(
                entry.data_centre
                for entry in held.out
                if entry.data_centre is not None
            ),
        )
        self._configured.set()
        self.admission.wake_all()

    @property
    def limits(self) -> configuration.CallerLimits:
        """Bounds on callers in force."""
        if self._index is None:
            return configuration.CallerLimits()
        return self._index.table.limits

    @property
    def is_ready(self) -> bool:
        """Tells whether requests can be routed."""
        return self._index is not None and len(self._book) > 0

    async def forward(
        self,
        request: _request.ForwardRequest,
        caller: _ports.Caller,
    ) -> verdicts.Outcome:
        """Brings one request to a target and its answer back.

        Args:
            request: The caller's request, whole.
            caller: Takes the answer.

        Returns:
            RAN when a target's whole answer was passed on, an error of the
            target included; otherwise what the caller must be told.
        """
        if self._index is None:
            await self._wait_for_configuration(request)
        work = self._prepare(request, caller)
        if isinstance(work, verdicts.Outcome):
            self._note_refused(request, work)
            return work
        self.in_progress += 1
        self._budget.note_request(work.service)
        try:
            async with asyncio.timeout(
                (work.deadline_ms - self._clock.now_ms()) / 1000,
            ):
                outcome = await self._try_all(work)
        except TimeoutError:
            outcome = self._end_late(work)
        except asyncio.CancelledError:
            self._log.write(
                observability.Event.CALLER_LEFT,
                request=request.request_id,
                route=work.route.name,
                sent=work.sent,
                after_ms=round(self._clock.now_ms() - request.arrived_ms),
            )
            raise
        finally:
            self.in_progress -= 1
        self._note_end(work, outcome)
        return outcome

    async def _wait_for_configuration(
        self,
        request: _request.ForwardRequest,
    ) -> None:
        """Holds a request for the moment that a start takes."""
        wait_ms = min(_START_WAIT_MS, request.patience_ms / 4)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                await self._configured.wait()

    def _prepare(
        self,
        request: _request.ForwardRequest,
        caller: _ports.Caller,
    ) -> _Work | verdicts.Outcome:
        """Finds route, team and service, or the reason of a refusal."""
        index = self._index
        if index is None:
            return _refuse_soon(_Reason.NO_CONFIGURATION)
        if not self._is_current():
            return _refuse_soon(_Reason.PAUSED)
        is_old = self._holder.age_ms() > self.rules.key_age_max_ms
        route = index.find_route(request.host, request.path)
        if route is None:
            # An older table is no proof that the route does not exist.
            reason = _Reason.NOT_CURRENT if is_old else _Reason.UNKNOWN_ROUTE
            return _refuse_soon(reason)
        team: configuration.Team | None = None
        if index.needs_keys and not route.public:
            team = index.find_team(request.api_key)
            if is_old:
                return _refuse_soon(_Reason.NOT_CURRENT)
            if team is None:
                return verdicts.not_run(_Reason.UNKNOWN_KEY)
        service = _table.choose_service(route, self._random)
        return _Work(request, caller, route, team, service)

    async def _try_all(self, work: _Work) -> verdicts.Outcome:
        try:
            return await self._try_in_turn(work)
        finally:
            if work.next_place is not None:
                self.admission.release(work.next_place)

    async def _try_in_turn(self, work: _Work) -> verdicts.Outcome:
        while True:
            place = await self._next_place(work)
            if isinstance(place, _admission.Refusal):
                return self._conclude(work, place)
            try:
                outcome = await self._try_one(work, place)
            finally:
                self.admission.release(place)
            if outcome.verdict is _Verdict.RAN:
                return outcome
            if outcome.verdict is _Verdict.MAY_HAVE_RUN:
                work.may_have_run = True
                work.lost_at.add(place.target)
                work.rejected_by.clear()
            else:
                work.rejected_by.add(place.target)
            if not self._may_try_again(work):
                return self._give_up(work, outcome)
            if work.unrun >= _REJECTIONS_BEFORE_PAUSE:
                await asyncio.sleep(_REJECTED_PAUSE_S)
                work.rejected_by.clear()

    async def _next_place(
        self,
        work: _Work,
    ) -> targets.TargetRecord | _admission.Refusal:
        place = work.next_place
        if place is not None:
            work.next_place = None
            return place
        asked_ms = self._clock.now_ms()
        admitted = await self.admission.admit(self._demand_of(work))
        work.waited_ms += self._clock.now_ms() - asked_ms
        return admitted

    def _may_try_again(self, work: _Work) -> bool:
        if work.may_have_run and not work.route.may_repeat:
            return False
        if work.unrun >= _UNRUN_TRIES_MAX:
            return False
        if work.sent >= work.route.attempts_max:
            return False
        return work.arrivals == 0 or self._budget.try_spend(work.service)

    async def _try_one(
        self,
        work: _Work,
        place: targets.TargetRecord,
    ) -> verdicts.Outcome:
        """Sends the request to one target, and judges how that ended."""
        started_ms = self._clock.now_ms()
        work.sent += 1
        work.arrivals += 1
        work.is_at_target = True
        outcome = await self._call_unless_stalled(work, place)
        work.is_at_target = False
        took_ms = self._clock.now_ms() - started_ms
        if outcome.verdict is _Verdict.RAN:
            self._loads.note_success(place.target, took_ms)
        else:
            if outcome.verdict is _Verdict.NOT_RUN:
                work.sent -= 1
                work.unrun += 1
            self._log.write(
                observability.Event.ATTEMPT_ENDED,
                request=work.request.request_id,
                target=place.target,
                verdict=outcome.verdict.value,
                reason=outcome.reason.value,
                fault=outcome.explanation,
                took_ms=round(took_ms),
                list_revision=self._book.revision,
            )
        return outcome

    async def _call_unless_stalled(
        self,
        work: _Work,
        place: targets.TargetRecord,
    ) -> verdicts.Outcome:
        """Calls a target, and takes the call back when its group stalls."""
        call = asyncio.ensure_future(self._call(work, place))
        stall = asyncio.ensure_future(self.stalls.wait(place.target))
        try:
            await asyncio.wait(
                (call, stall),
                return_when=asyncio.FIRST_COMPLETED,
            )
            while not call.done():
                if self._move(work, place):
                    return verdicts.may_have_run(
                        _Reason.TARGET_FAILED,
                        'its group stands still',
                    )
                await asyncio.wait((call,), timeout=_STALL_LOOK_S)
            return call.result()
        finally:
            await _cancel_all(call, stall)

    def _move(self, work: _Work, place: targets.TargetRecord) -> bool:
        """Takes a place elsewhere for a call at a stalled target.

        The call is given up only once it has another place.
        """
        if not self.stalls.is_stalled(place.target):
            return False
        if not work.route.may_repeat or work.sent >= work.route.attempts_max:
            return False
        if not self._budget.has_room(work.service):
            return False
        work.next_place = self.admission.take(self._demand_of(work))
        return work.next_place is not None

    async def _call(
        self,
        work: _Work,
        place: targets.TargetRecord,
    ) -> verdicts.Outcome:
        call = _ports.ForwardCall(
            request=work.request,
            target=place.target,
            address=place.address,
            team=None if work.team is None else work.team.team,
            time_left_ms=work.deadline_ms - self._clock.now_ms(),
            last_event=work.resume_after,
            may_reuse_connection=work.route.may_repeat
            and work.request.method == 'POST',
        )
        try:
            async with self._port.call(call) as answer:
                return await self._pass_on(work, place, answer)
        except guard.TargetNotReached as fault:
            work.arrivals -= 1
            self._note_failure(place, is_unreachable=True)
            return verdicts.not_run(_Reason.NOT_CONNECTED, str(fault))
        except guard.TargetLost as fault:
            self._note_failure(place, is_unreachable=False)
            return verdicts.may_have_run(_Reason.CONNECTION_LOST, str(fault))

    async def _pass_on(
        self,
        work: _Work,
        place: targets.TargetRecord,
        answer: _ports.TargetAnswer,
    ) -> verdicts.Outcome:
        if answer.load is not None:
            total = answer.load.running + answer.load.waiting
            self._loads.note_total(
                place.target,
                total,
                valid_ms=_loads.ANSWER_VALID_MS,
            )
        if answer.has_not_run or answer.is_other_target:
            return self._judge_refusal(place, answer)
        if answer.head.is_success and answer.is_event_stream:
            await self._relay_stream(work, answer)
            return verdicts.ran()
        body = await _read_whole(answer)
        if work.begun:
            # The answer of the first target has begun; an error of the
            # second cannot take its place.
            return verdicts.may_have_run(
                _Reason.TARGET_FAILED,
                f'status {answer.head.status} when resumed',
            )
        if not answer.head.is_success and self._should_repeat(work, answer):
            return verdicts.may_have_run(
                _Reason.TARGET_FAILED,
                f'status {answer.head.status}',
            )
        await work.caller.answer(answer.head, body)
        return verdicts.ran()

    def _should_repeat(
        self,
        work: _Work,
        answer: _ports.TargetAnswer,
    ) -> bool:
        """Tells whether a target's failure is worth a second target."""
        return (
            answer.head.status >= 500
            and work.route.may_repeat
            and work.sent < work.route.attempts_max
            and self._budget.has_room(work.service)
        )

    def _judge_refusal(
        self,
        place: targets.TargetRecord,
        answer: _ports.TargetAnswer,
    ) -> verdicts.Outcome:
        if answer.is_other_target:
            self._book.note_replaced(place.target)
            return verdicts.not_run(_Reason.WRONG_INCARNATION)
        culprit = answer.culprit
        if culprit is not None and culprit != place.target:
            self._loads.avoid(culprit, _GROUP_STALL_MS)
        self._note_failure(place, is_unreachable=False)
        return verdicts.not_run(
            _Reason.TARGET_REFUSED,
            f'status {answer.head.status}, at fault {culprit or "itself"}',
        )

    async def _relay_stream(
        self,
        work: _Work,
        answer: _ports.TargetAnswer,
    ) -> None:
        """Passes a stream on event by event.

        Raises:
            guard.TargetLost: The stream broke; whole events were passed on.
        """
        splitter = _events.EventSplitter()
        async for content in answer.chunks():
            fresh = [
                event.raw
                for event in splitter.feed(content)
                if self._is_next(work, event)
            ]
            if fresh:
                await self._write(work, answer.head, b''.join(fresh))
        if splitter.rest or not work.begun:
            await self._write(work, answer.head, splitter.rest)
        await work.caller.end()

    def _is_next(self, work: _Work, event: _events.StreamEvent) -> bool:
        """Tells whether an event is new; notes its number.

        Raises:
            guard.TargetLost: An event is missing before it.
        """
        if event.number is None:
            return True
        last = work.last_event
        if last is not None and event.number <= last:
            return False
        if last is not None and event.number > last + 1:
            raise guard.TargetLost(f'event {event.number} follows {last}')
        work.last_event = event.number
        return True

    async def _write(
        self,
        work: _Work,
        head: _request.AnswerHead,
        content: bytes,
    ) -> None:
        if not work.begun:
            work.begun = True
            after_ms = self._clock.now_ms() - work.request.arrived_ms
            work.first_event_ms = after_ms
            self._metrics.time_ms('first_event', after_ms)
            await work.caller.begin(head)
        if content:
            await work.caller.write(content)

    def _demand_of(self, work: _Work) -> _admission.Demand:
        arrived_ms = work.request.arrived_ms
        on_time_ms = _ON_TIME_WAIT_SHARE * work.route.objective_ms
        is_stream = work.route.kind is configuration.RequestKind.STREAM
        if is_stream:
            wait_ms = _STREAM_WAIT_MAX_MS
        else:
            wait_ms = _PLAIN_WAIT_SHARE * (work.deadline_ms - arrived_ms)
        team_priority = None if work.team is None else work.team.priority
        return _admission.Demand(
            service=work.service,
            priority=work.route.priority
            if team_priority is None
            else team_priority,
            on_time_until_ms=arrived_ms + on_time_ms,
            wait_until_ms=min(arrived_ms + wait_ms, work.deadline_ms),
            excluded=work.excluded,
            cold_rps=self._cold_rps(work.service),
            share_min=1 if is_stream else _PLAIN_SHARE_MIN,
        )

    def _cold_rps(self, service: identifiers.ServiceId) -> float:
        known = (
            None if self._index is None else (self._index.services.get(service))
        )
        if known is None or known.cold_rps <= 0:
            return 0.0
        rules = self.rules
        return known.cold_rps * rules.cold_factor + rules.cold_extra_rps

    def _candidates(
        self,
        service: identifiers.ServiceId,
    ) -> list[targets.TargetRecord]:
        if self._index is None:
            return []
        return self._book.usable(service, self._index.withdrawn)

    def _conclude(
        self,
        work: _Work,
        refusal: _admission.Refusal,
    ) -> verdicts.Outcome:
        """Ends a request that no further target takes."""
        if work.may_have_run:
            return verdicts.may_have_run(
                _Reason.CONNECTION_LOST,
                refusal.reason,
            )
        return verdicts.not_run(
            _Reason.NO_ROOM,
            f'{refusal.reason}, {refusal.waiting} waiting',
            retry_after_ms=int(refusal.retry_after_ms),
        )

    def _give_up(
        self,
        work: _Work,
        last: verdicts.Outcome,
    ) -> verdicts.Outcome:
        if work.may_have_run:
            return verdicts.may_have_run(last.reason, last.explanation)
        return msgspec.structs.replace(last, retry_after_ms=_RETRY_SOON_MS)

    def _end_late(self, work: _Work) -> verdicts.Outcome:
        if work.is_at_target or work.may_have_run or work.begun:
            return verdicts.may_have_run(_Reason.REPLY_TIMEOUT)
        return verdicts.not_run(_Reason.QUEUE_TIMEOUT)

    def _note_failure(
        self,
        place: targets.TargetRecord,
        *,
        is_unreachable: bool,
    ) -> None:
        avoid_ms = self._loads.note_failure(
            place.target,
            is_unreachable=is_unreachable,
        )
        if avoid_ms:
            self._log.write(
                observability.Event.TARGET_AVOIDED,
                target=place.target,
                avoid_ms=round(avoid_ms),
            )

    def _note_refused(
        self,
        request: _request.ForwardRequest,
        outcome: verdicts.Outcome,
    ) -> None:
        self._metrics.count(f'refused.{outcome.reason.value}')
        self._log.write(
            observability.Event.REQUEST_REFUSED,
            request=request.request_id,
            reason=outcome.reason.value,
            path=request.path,
            configuration_version=self._holder.version,
            configuration_age_ms=round(self._holder.age_ms()),
        )

    def _note_end(self, work: _Work, outcome: verdicts.Outcome) -> None:
        took_ms = self._clock.now_ms() - work.request.arrived_ms
        self._metrics.count(f'ended.{outcome.verdict.value}')
        self._metrics.time_ms('request', took_ms)
        self._log.write(
            observability.Event.REQUEST_ENDED,
            request=work.request.request_id,
            route=work.route.name,
            service=work.service,
            verdict=outcome.verdict.value,
            reason=outcome.reason.value,
            why=outcome.explanation,
            sent=work.sent,
            waited_ms=round(work.waited_ms),
            first_event_ms=None
            if work.first_event_ms is None
            else round(work.first_event_ms),
            took_ms=round(took_ms),
            patience_ms=round(work.request.patience_ms),
            configuration_version=self._holder.version,
            configuration_age_ms=round(self._holder.age_ms()),
        )


async def _cancel_all(*tasks: asyncio.Future[Any]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _read_whole(answer: _ports.TargetAnswer) -> bytes:
    parts = []
    size_bytes = 0
    async for content in answer.chunks():
        parts.append(content)
        size_bytes += len(content)
        if size_bytes > _ANSWER_MAX_BYTES:
            raise guard.TargetLost('the answer is too long')
    return b''.join(parts)


def _refuse_soon(reason: verdicts.Reason) -> verdicts.Outcome:
    return verdicts.not_run(reason, retry_after_ms=_RETRY_SOON_MS)
