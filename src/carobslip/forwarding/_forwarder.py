"""Forwards one request, from routing to the end of its answer."""

import asyncio
import contextlib
from typing import Final

import msgspec

from carobslip import (
    configuration,
    identifiers,
    observability,
    slotbroker,
    targets,
    verdicts,
)
from carobslip.forwarding import (
    _admission,
    _attempts,
    _context,
    _crash_watch,
    _demand,
    _loads,
    _pending_request,
    _ports,
    _request,
    _slot_source,
    _stalls,
    _table,
)

_Reason = verdicts.Reason
_Verdict = verdicts.Verdict

#: Part of the objective that a request may wait for a start and still get its
#: first byte in time; the rest is for reading the prompt and one pass.
_ON_TIME_WAIT_SHARE: Final = 0.6
#: Longest wait of a stream for its start. Callers give up a stream after two
#: seconds without an event, and the first event takes part of that time.
_STREAM_WAIT_MAX_MS: Final = 1200.0
#: Longest wait for another target after the last event of a stream whose target
#: was lost; its caller has the earlier events, so it cannot be refused.
_RESUMED_STREAM_WAIT_MAX_MS: Final = 1600.0
#: Part of its time limit that a plain call may wait for a start.
_PLAIN_WAIT_SHARE: Final = 0.4
#: Plain calls that an entry may have at one target without a report of the load
#: from other entries: they are short and rare at each entry.
_PLAIN_SHARE_MIN: Final = 3
#: Attempts that provably end without a run; they are cheap, but not free.
_UNEXECUTED_ATTEMPTS_MAX: Final = 4
#: After this many rejections in a row, targets are assumed to be forming or
#: full; those that rejected the request are tried again after the pause.
_REJECTIONS_BEFORE_PAUSE: Final = 2
_REJECTED_PAUSE_S: Final = 0.25
#: Retry delay for callers of an entry whose state is not current.
_RETRY_SHORT_MS: Final = 500
#: A process that has just started gets its configuration within this time.
_START_WAIT_MS: Final = 300.0


class Forwarder:
    """Sends requests to targets and forwards their answers.

    A request goes to a second target only if it provably did not run at the
    first, or if it may run more than once.

    Args:
        holder: The configuration in force.
        registry: The published targets.
        loads: Load of the targets.
        port: Calls targets.
        fleet: Returns the number of entries, and whether this one is current.
        rules: The operators' bounds.
        shared: Bounds on what all entries send together.
        crash_watch: Tells which requests may crash targets.
        context: Clock, random generator, log and metrics.
    """

    def __init__(
        self,
        *,
        holder: configuration.Holder,
        registry: targets.TargetRegistry,
        loads: _loads.LoadTracker,
        port: _ports.TargetPort,
        fleet: _context.FleetView,
        rules: _context.ForwardingRules,
        shared: _context.SharedLimits,
        crash_watch: _crash_watch.CrashWatch,
        context: _context.ProcessContext,
    ) -> None:
        self._holder = holder
        self._registry = registry
        self._is_current = fleet.is_current
        self.rules = rules
        self._budget = shared.budget
        self._crash_watch = crash_watch
        self._gate = crash_watch.gate
        self._clock = context.clock
        self._random = context.generator
        self._log = context.log
        self._metrics = context.metrics
        self._index: _table.ForwardingIndex | None = None
        self._configured = asyncio.Event()
        self.stalls = _stalls.StallTracker(clock=context.clock)
        self.in_progress = 0
        self.admission = self._new_slot_source(loads, fleet, shared, context)
        self._attempts = _attempts.Attempts(
            registry=registry,
            loads=loads,
            port=port,
            stalls=self.stalls,
            admission=self.admission,
            demand_of=self._demand_of,
            budget=shared.budget,
            crash_watch=crash_watch,
            context=context,
        )

    def _new_slot_source(
        self,
        loads: _loads.LoadTracker,
        fleet: _context.FleetView,
        shared: _context.SharedLimits,
        context: _context.ProcessContext,
    ) -> _slot_source.SlotSource:
        admission = _admission.Admission(
            loads=loads,
            candidates=self.candidates,
            entries=fleet.entries,
            permits=shared.permits,
            clock=context.clock,
            generator=context.generator,
            position=fleet.position,
            cold_share=fleet.cold_share,
        )
        if shared.slots is None:
            return admission
        return _slot_source.BrokeredAdmission(
            own=admission,
            port=shared.slots,
            contended=lambda: self.contended_services,
            candidates=self.candidates,
            loads=loads,
            clock=context.clock,
            log=context.log,
            metrics=context.metrics,
        )

    def apply_configuration(self) -> None:
        """Puts the configuration of the holder in force."""
        self._index = _table.ForwardingIndex(
            table=self._holder.configuration.forwarding,
        )
        self._configured.set()
        self.admission.recheck_queues()

    def stop_accepting(self) -> None:
        """Refuses requests that no target has got; a planned stop is near.

        Those that targets have got are continued.
        """
        self.admission.close()

    @property
    def contended_services(self) -> frozenset[identifiers.ServiceId]:
        """Services whose slots brokers assign."""
        if self._index is None:
            return frozenset()
        return self._index.contended_services

    def pass_figures(
        self, service: identifiers.ServiceId
    ) -> slotbroker.PassFigures | None:
        """Returns what a service states about the passes of its targets."""
        return (
            None if self._index is None else self._index.pass_figures(service)
        )

    @property
    def limits(self) -> configuration.CallerLimits:
        """Bounds on callers that are in force."""
        if self._index is None:
            return configuration.CallerLimits()
        return self._index.table.limits

    @property
    def is_ready(self) -> bool:
        """Tells whether requests can be routed."""
        return self._index is not None and len(self._registry) > 0

    async def forward(
        self,
        request: _request.ForwardRequest,
        caller: _ports.Caller,
    ) -> verdicts.Outcome:
        """Sends one request to a target and its answer to the caller.

        Args:
            request: The caller's complete request.
            caller: Receives the answer.

        Returns:
            RAN when a target's complete answer was forwarded, an error of the
            target included; otherwise the outcome to report to the caller.
        """
        if self._index is None:
            await self._wait_for_configuration(request)
        await self._crash_watch.wait_until_informed(request)
        pending = self._prepare(request, caller)
        if isinstance(pending, verdicts.Outcome):
            self.note_refused(request.request_id, request.path, pending)
            return pending
        self.in_progress += 1
        self._budget.note_request(pending.service)
        try:
            async with asyncio.timeout(
                (pending.deadline_ms - self._clock.now_ms()) / 1000,
            ):
                outcome = await self._run_attempts(pending)
        except TimeoutError:
            outcome = self._end_timed_out(pending)
        except asyncio.CancelledError:
            self._log.write(
                observability.Event.CALLER_LEFT,
                request=request.request_id,
                route=pending.route.name,
                sent=pending.sent,
                waited_ms=round(pending.waited_ms),
                after_ms=round(self._clock.now_ms() - request.arrived_ms),
                **self._progress_of(pending),
                **pending.slot_trace.fields(),
            )
            raise
        finally:
            self.in_progress -= 1
            self._budget.release_unused(pending)
        self._note_end(pending, outcome)
        return outcome

    def _progress_of(
        self, pending: _pending_request.PendingRequest
    ) -> dict[str, float | int | None]:
        if pending.last_call is None:
            return {}
        return pending.last_call.fields(self._clock.now_ms())

    def note_refused(
        self,
        request_id: identifiers.RequestId,
        path: str,
        outcome: verdicts.Outcome,
    ) -> None:
        """Records that a request was refused before it had a route."""
        self._metrics.count(f'refused.{outcome.reason.value}')
        self._log.write(
            observability.Event.REQUEST_REFUSED,
            request=request_id,
            reason=outcome.reason.value,
            path=path,
            configuration_version=self._holder.version,
            configuration_age_ms=round(self._holder.age_ms()),
        )

    async def _wait_for_configuration(
        self,
        request: _request.ForwardRequest,
    ) -> None:
        """Holds a request until the starting process has a configuration."""
        wait_ms = min(_START_WAIT_MS, request.patience_ms / 4)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                await self._configured.wait()

    def _is_doubtful(self, team: configuration.Team | None) -> bool:
        """Tells whether an old configuration does not decide about a key."""
        return team is None or self.rules.refuses_old_keys

    def _prepare(
        self,
        request: _request.ForwardRequest,
        caller: _ports.Caller,
    ) -> _pending_request.PendingRequest | verdicts.Outcome:
        """Returns the request with route, team and service, or a refusal."""
        index = self._index
        if index is None:
            return _refuse_with_short_retry(_Reason.NO_CONFIGURATION)
        if not self._is_current():
            return _refuse_with_short_retry(_Reason.PAUSED)
        is_old = self._holder.age_ms() > self.rules.key_age_max_ms
        route = index.find_route(request.host, request.path)
        if route is None:
            # A stale table does not prove that the route does not exist.
            reason = _Reason.NOT_CURRENT if is_old else _Reason.UNKNOWN_ROUTE
            return _refuse_with_short_retry(reason)
        team: configuration.Team | None = None
        if index.needs_keys and not route.public:
            team = index.find_team(request.api_key)
            if is_old and self._is_doubtful(team):
                return _refuse_with_short_retry(_Reason.NOT_CURRENT)
            if team is None:
                return verdicts.not_run(_Reason.UNKNOWN_KEY)
        service = _table.choose_service(route, self._random)
        return _pending_request.PendingRequest(
            request=request,
            caller=caller,
            route=route,
            team=team,
            service=service,
            is_contended=service in index.contended_services,
        )

    async def _run_attempts(
        self, pending: _pending_request.PendingRequest
    ) -> verdicts.Outcome:
        while True:
            place = await self._take_place(pending)
            if isinstance(place, verdicts.Outcome):
                return place
            with self._gate.sending(pending.request.crash_parts):
                outcome = await self._attempts.run(pending, place)
            if outcome.verdict is _Verdict.RAN:
                return outcome
            if not self._may_try_again(pending):
                return self._give_up(pending, outcome)
            await asyncio.sleep(pending.resend_pause_ms / 1000)
            pending.resend_pause_ms = 0.0
            if pending.unexecuted >= _REJECTIONS_BEFORE_PAUSE:
                await asyncio.sleep(_REJECTED_PAUSE_S)
                pending.rejected_by.clear()

    async def _take_place(
        self, pending: _pending_request.PendingRequest
    ) -> targets.TargetRecord | verdicts.Outcome:
        """Returns the target to send to, or the outcome if there is none."""
        while True:
            held = self._end_held_back(pending)
            if held is not None:
                return held
            place = await self._find_place(pending)
            if isinstance(place, _demand.Refusal):
                return self._end_without_place(pending, place)
            if await self._has_permit(pending, place):
                break
        # More may be known about the prompt than before the wait.
        held = self._end_held_back(pending)
        if held is None:
            return place
        self.admission.release(place)
        return held

    async def _has_permit(
        self,
        pending: _pending_request.PendingRequest,
        place: targets.TargetRecord,
    ) -> bool:
        """Tells whether the target takes a request; if not, frees the slot."""
        granted = False
        try:
            granted = await self.admission.permits.may_send(place.target)
        finally:
            if not granted:
                pending.permits_refused += 1
                self.admission.release(place)
        return granted

    def _end_held_back(
        self, pending: _pending_request.PendingRequest
    ) -> verdicts.Outcome | None:
        """Returns the outcome of a request that must not be sent now."""
        hold = self._gate.find_hold(
            pending.request.crash_parts, has_events=pending.begun
        )
        if hold is None:
            return None
        if pending.may_have_run:
            return verdicts.may_have_run(_Reason.CRASHES_TARGETS, hold.why)
        return verdicts.not_run(
            _Reason.CRASHES_TARGETS,
            hold.why,
            retry_after_ms=int(hold.retry_after_ms),
        )

    async def _find_place(
        self,
        pending: _pending_request.PendingRequest,
    ) -> targets.TargetRecord | _demand.Refusal:
        asked_ms = self._clock.now_ms()
        try:
            return await self.admission.admit(self._demand_of(pending))
        finally:
            pending.waited_ms += self._clock.now_ms() - asked_ms

    def _may_try_again(self, pending: _pending_request.PendingRequest) -> bool:
        if pending.may_have_run and not pending.may_repeat:
            return False
        if pending.is_suspect:
            return False
        if pending.unexecuted >= _UNEXECUTED_ATTEMPTS_MAX:
            return False
        if pending.sent >= pending.route.attempts_max:
            return False
        return self._budget.reserve(pending)

    def _demand_of(
        self, pending: _pending_request.PendingRequest
    ) -> _demand.Demand:
        arrived_ms = pending.request.arrived_ms
        on_time_ms = _ON_TIME_WAIT_SHARE * pending.route.objective_ms
        is_stream = pending.route.kind is configuration.RequestKind.STREAM
        if not is_stream:
            wait_ms = _PLAIN_WAIT_SHARE * (pending.deadline_ms - arrived_ms)
            wait_until_ms = arrived_ms + wait_ms
        elif pending.may_have_run:
            wait_until_ms = pending.progress_ms + _RESUMED_STREAM_WAIT_MAX_MS
        else:
            wait_until_ms = arrived_ms + _STREAM_WAIT_MAX_MS
        request = pending.request
        return _demand.Demand(
            service=pending.service,
            priority=pending.priority,
            on_time_until_ms=arrived_ms + on_time_ms,
            wait_until_ms=min(wait_until_ms, pending.deadline_ms),
            may_have_run=pending.may_have_run,
            excluded=pending.excluded,
            cold_rps=self.cold_rps(pending.service),
            share_min=1 if is_stream else _PLAIN_SHARE_MIN,
            route_priority=pending.route.priority,
            objective_until_ms=arrived_ms + pending.route.objective_ms,
            patience_until_ms=pending.deadline_ms,
            team=None if pending.team is None else pending.team.team,
            prompt_tokens=request.prompt_tokens,
            answer_tokens_max=request.answer_tokens_max,
            answer_tokens_hint=request.answer_tokens_hint,
            content_digest=pending.content_digest,
            trace=pending.slot_trace,
            spreads_cold_rate=pending.service in self.contended_services,
        )

    def cold_rps(self, service: identifiers.ServiceId) -> float:
        """Returns the requests a second that a cold target may get; 0: any."""
        known = (
            None if self._index is None else (self._index.services.get(service))
        )
        if known is None or known.cold_rps <= 0:
            return 0.0
        rules = self.rules
        return known.cold_rps * rules.cold_factor + rules.cold_extra_rps

    def candidates(
        self,
        service: identifiers.ServiceId,
    ) -> list[targets.TargetRecord]:
        """Returns the targets that may be used for a service."""
        if self._index is None:
            return []
        return self._registry.usable(
            service, self._holder.withdrawn_data_centres()
        )

    def _end_without_place(
        self,
        pending: _pending_request.PendingRequest,
        refusal: _demand.Refusal,
    ) -> verdicts.Outcome:
        """Returns the outcome of a request that was refused a slot."""
        pending.without_place = refusal.without_place
        if pending.may_have_run:
            return verdicts.may_have_run(
                _Reason.CONNECTION_LOST,
                refusal.reason,
            )
        if self.admission.is_closed:
            return _refuse_with_short_retry(_Reason.DRAINING)
        return verdicts.not_run(
            _Reason.NO_ROOM,
            f'{refusal.reason}, {refusal.waiting} waiting',
            retry_after_ms=int(refusal.retry_after_ms),
        )

    def _give_up(
        self,
        pending: _pending_request.PendingRequest,
        last: verdicts.Outcome,
    ) -> verdicts.Outcome:
        if pending.may_have_run:
            return verdicts.may_have_run(last.reason, last.explanation)
        return msgspec.structs.replace(last, retry_after_ms=_RETRY_SHORT_MS)

    def _end_timed_out(
        self, pending: _pending_request.PendingRequest
    ) -> verdicts.Outcome:
        if pending.is_at_target or pending.may_have_run or pending.begun:
            return verdicts.may_have_run(_Reason.REPLY_TIMEOUT)
        return verdicts.not_run(_Reason.QUEUE_TIMEOUT)

    def _note_end(
        self,
        pending: _pending_request.PendingRequest,
        outcome: verdicts.Outcome,
    ) -> None:
        took_ms = self._clock.now_ms() - pending.request.arrived_ms
        self._metrics.count(f'ended.{outcome.verdict.value}')
        self._metrics.time_ms('request', took_ms)
        self._log.write(
            observability.Event.REQUEST_ENDED,
            request=pending.request.request_id,
            route=pending.route.name,
            service=pending.service,
            verdict=outcome.verdict.value,
            reason=outcome.reason.value,
            why=outcome.explanation,
            sent=pending.sent,
            arrivals=pending.arrivals,
            begun=pending.begun,
            last_event=pending.last_event,
            waited_ms=round(pending.waited_ms),
            without_place=pending.without_place,
            permits_refused=pending.permits_refused,
            **pending.slot_trace.fields(),
            first_event_ms=None
            if pending.first_event_ms is None
            else round(pending.first_event_ms),
            took_ms=round(took_ms),
            patience_ms=round(pending.request.patience_ms),
            configuration_version=self._holder.version,
            configuration_age_ms=round(self._holder.age_ms()),
        )


def _refuse_with_short_retry(reason: verdicts.Reason) -> verdicts.Outcome:
    return verdicts.not_run(reason, retry_after_ms=_RETRY_SHORT_MS)
