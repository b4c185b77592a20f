"""HTTP server for callers."""

from collections.abc import Callable
from typing import Any, Final

import msgspec
from aiohttp import web

from carobslip import (
    callerlimits,
    clocks,
    configuration,
    decoding,
    directory,
    entry,
    identifiers,
    observability,
    verdicts,
)
from carobslip.adapters import (
    caller_bodies,
    caller_headers,
    client_limits,
    problems,
)

REQUEST_ID_HEADER: Final = 'Carobslip-Request-Id'
VERDICT_HEADER: Final = 'Carobslip-Verdict'
ENTRIES_HEADER: Final = 'Carobslip-Entries'

_PROBLEM_TYPE: Final = 'application/problem+json'
#: Other entries take requests that a stopping one refuses.
_DRAINING_RETRY_MS: Final = 100
_EVENT_STREAM: Final = 'text/event-stream'

_Reason = verdicts.Reason
_Build = Callable[
    [web.Request, bytes, identifiers.RequestId], entry.CallerRequest
]


class _DraftFields(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a draft that routing needs."""

    model: str
    stream: bool = False


class HttpCaller:
    """Streams one reply to a caller."""

    def __init__(
        self,
        *,
        request: web.Request,
        request_id: identifiers.RequestId,
        headers: dict[str, str],
    ) -> None:
        self._request = request
        self._request_id = request_id
        self._headers = headers
        self.response: web.StreamResponse | None = None
        self.is_event_stream = False

    async def begin(self, status: int, content_type: str) -> None:
        """Sends the head of the reply."""
        self.is_event_stream = content_type.startswith(_EVENT_STREAM)
        self.response = web.StreamResponse(
            status=status,
            headers={
                **self._headers,
                'Content-Type': content_type,
                REQUEST_ID_HEADER: self._request_id,
                VERDICT_HEADER: verdicts.Verdict.RAN.value,
            },
        )
        await self.response.prepare(self._request)

    async def write(self, content: bytes) -> None:
        """Sends a part of the body, waiting while the caller is slow."""
        if self.response is not None:
            await self.response.write(content)


class CallerServer:
    """Serves the HTTP API for callers.

    Args:
        own: This instance.
        runner: Runs requests on targets.
        holder: Holds the configuration.
        fleet: Lists the entry instances.
        clock: Monotonic and wall time.
        log: Receives events.
        on_ended: Called with each request, its duration and its outcome.
        limits: What callers may use; None for that of a usual instance.
    """

    def __init__(
        self,
        *,
        own: directory.InstanceRecord,
        runner: entry.Runner,
        holder: configuration.Holder,
        fleet: directory.Directory,
        clock: clocks.Clock,
        log: observability.EventLog,
        on_ended: Callable[
            [entry.CallerRequest, float, verdicts.Outcome],
            None,
        ],
        limits: client_limits.ClientLimits | None = None,
    ) -> None:
        self._budget = (
            client_limits.new_budget() if limits is None else limits.budget
        )
        self._own = own
        self._runner = runner
        self._holder = holder
        self._fleet = fleet
        self._clock = clock
        self._log = log
        self._on_ended = on_ended
        self.in_progress = 0
        self._is_accepting = True

    def stop_accepting(self) -> None:
        """Refuses new requests; those in progress are completed."""
        self._is_accepting = False

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application()
        router = application.router
        router.add_get('/v1/entries', self._entries)
        router.add_get('/v1/models', self._models)
        router.add_route(
            '*',
            '/v1/services/{service}/{path:.*}',
            self._run_service,
        )
        router.add_post('/v1/chat/completions', self._run_draft)
        router.add_post('/v1/completions', self._run_draft)
        return application

    async def _entries(self, request: web.Request) -> web.Response:
        usable = [
            {
                'address': record.http_address,
                'data_centre': record.data_centre,
            }
            for record in self._usable_entries()
        ]
        ttl_ms = self._holder.configuration.address_ttl_ms
        return _json({'entries': usable, 'ttl_ms': ttl_ms})

    async def _models(self, request: web.Request) -> web.Response:
        models = [
            {'id': model, 'object': 'model', 'owned_by': name}
            for name, service in self._holder.configuration.services.items()
            for model in service.models
        ]
        return _json({'object': 'list', 'data': models})

    async def _run_service(self, request: web.Request) -> web.StreamResponse:
        return await self._run(request, self._service_request)

    async def _run_draft(self, request: web.Request) -> web.StreamResponse:
        return await self._run(request, self._draft_request)

    async def _run(
        self,
        request: web.Request,
        build: _Build,
    ) -> web.StreamResponse:
        holding = caller_bodies.open_holding(request, self._budget)
        try:
            return await self._run_held(request, build, holding)
        finally:
            holding.clear()

    async def _run_held(
        self,
        request: web.Request,
        build: _Build,
        holding: callerlimits.Holding,
    ) -> web.StreamResponse:
        request_id = identifiers.new_request_id(self._clock.wall_ms())
        self.in_progress += 1
        try:
            body = await caller_headers.read_body(request, holding)
            checked = build(request, body, request_id)
        except caller_headers.Refused as refused:
            return self._problem(request_id, refused.outcome)
        finally:
            self.in_progress -= 1
        if not self._is_accepting:
            return self._problem(
                request_id,
                verdicts.not_run(
                    _Reason.DRAINING, retry_after_ms=_DRAINING_RETRY_MS
                ),
            )
        # From here on the request may run, so that its bytes stay.
        holding.use = callerlimits.Use.REQUEST
        return await self._run_checked(request, checked)

    async def _run_checked(
        self,
        request: web.Request,
        checked: entry.CallerRequest,
    ) -> web.StreamResponse:
        caller = HttpCaller(
            request=request,
            request_id=checked.request_id,
            headers=self._redirect_headers(),
        )
        started_ms = self._clock.now_ms()
        self.in_progress += 1
        outcome = verdicts.may_have_run(_Reason.CANCELLED)
        try:
            outcome = await self._runner.run(checked, caller)
        except ConnectionError:
            return caller.response or web.StreamResponse()
        finally:
            self.in_progress -= 1
            self._on_ended(checked, self._clock.now_ms() - started_ms, outcome)
        return await self._finish(request, checked, caller, outcome)

    async def _finish(
        self,
        request: web.Request,
        checked: entry.CallerRequest,
        caller: HttpCaller,
        outcome: verdicts.Outcome,
    ) -> web.StreamResponse:
        if outcome.verdict is verdicts.Verdict.MAY_HAVE_RUN:
            self._log.write(
                observability.Event.REQUEST_IN_DOUBT,
                request_id=checked.request_id,
                reason=outcome.reason.value,
            )
        if caller.response is None:
            return self._problem(checked.request_id, outcome)
        if outcome.verdict is verdicts.Verdict.RAN:
            await caller.response.write_eof()
            return caller.response
        return await self._abort_reply(request, checked, caller, outcome)

    async def _abort_reply(
        self,
        request: web.Request,
        checked: entry.CallerRequest,
        caller: HttpCaller,
        outcome: verdicts.Outcome,
    ) -> web.StreamResponse:
        """Aborts a reply in progress so that it cannot pass for complete."""
        self._log.write(
            observability.Event.REQUEST_BROKEN,
            request_id=checked.request_id,
            reason=outcome.reason.value,
        )
        if caller.is_event_stream:
            problem = msgspec.json.encode(
                problems.problem_of(checked.request_id, outcome),
            )
            await caller.write(b'event: error\ndata: ' + problem + b'\n\n')
        if request.transport is not None:
            request.transport.close()
        return caller.response or web.StreamResponse()

    def _service_request(
        self,
        request: web.Request,
        body: bytes,
        request_id: identifiers.RequestId,
    ) -> entry.CallerRequest:
        service_id = identifiers.ServiceId(request.match_info['service'])
        path = '/' + request.match_info['path']
        if request.query_string:
            path = f'{path}?{request.query_string}'
        return self._build(request, body, request_id, service_id, path, None)

    def _draft_request(
        self,
        request: web.Request,
        body: bytes,
        request_id: identifiers.RequestId,
    ) -> entry.CallerRequest:
        try:
            draft = msgspec.json.decode(body, type=_DraftFields)
        except decoding.MALFORMED as fault:
            raise caller_headers.refused(
                _Reason.BAD_REQUEST, str(fault)
            ) from None
        service_id = self._holder.configuration.service_for_model(draft.model)
        if service_id is None:
            raise caller_headers.refused(
                _Reason.UNKNOWN_SERVICE,
                f'no service has the model {draft.model!r}',
            )
        return self._build(
            request,
            body,
            request_id,
            service_id,
            request.path,
            identifiers.ModelId(draft.model),
        )

    def _build(
        self,
        request: web.Request,
        body: bytes,
        request_id: identifiers.RequestId,
        service_id: identifiers.ServiceId,
        path: str,
        model: identifiers.ModelId | None,
    ) -> entry.CallerRequest:
        service = self._holder.configuration.services.get(service_id)
        if service is None:
            raise caller_headers.refused(
                _Reason.UNKNOWN_SERVICE,
                f'no service named {service_id!r}',
            )
        team = caller_headers.read_team(request)
        policy = self._holder.resolver.policy_for(
            configuration.Scope(service=service_id, team=team, model=model),
        )
        if len(body) > policy.body_max_bytes:
            raise caller_headers.refused(
                _Reason.BODY_TOO_LARGE,
                f'the body has {len(body)} bytes, the limit is '
                f'{policy.body_max_bytes}',
            )
        timeout_ms = caller_headers.read_timeout_ms(request, policy)
        return entry.CallerRequest(
            request_id=request_id,
            service=service_id,
            team=team,
            model=model,
            method=request.method,
            path=path,
            content_type=request.headers.get(
                'Content-Type',
                'application/octet-stream',
            )[: caller_headers.NAME_MAX_CHARS],
            body=body,
            key=caller_headers.read_key(request),
            repeatable=service.is_repeatable(
                request.method,
                path.partition('?')[0],
            ),
            deadline_ms=self._clock.now_ms() + timeout_ms,
        )

    def _problem(
        self,
        request_id: identifiers.RequestId,
        outcome: verdicts.Outcome,
    ) -> web.Response:
        problem = problems.problem_of(request_id, outcome)
        headers = {
            **self._redirect_headers(),
            REQUEST_ID_HEADER: request_id,
            VERDICT_HEADER: outcome.verdict.value,
        }
        if outcome.retry_after_ms is not None:
            seconds = max(1, round(outcome.retry_after_ms / 1000))
            headers['Retry-After'] = str(seconds)
        return web.Response(
            status=problem.status,
            headers=headers,
            body=msgspec.json.encode(problem),
            content_type=_PROBLEM_TYPE,
        )

    def _redirect_headers(self) -> dict[str, str]:
        """Returns the usable entries if this instance is not one of them."""
        usable = self._usable_entries()
        if any(record.instance == self._own.instance for record in usable):
            return {}
        addresses = ', '.join(record.http_address for record in usable)
        return {ENTRIES_HEADER: addresses} if addresses else {}

    def _usable_entries(self) -> list[directory.InstanceRecord]:
        held = self._holder.configuration
        return [
            record
            for record in self._fleet.entries()
            if not held.data_centre_is_out(record.data_centre)
        ]


def _json(content: Any) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(content),
        content_type='application/json',
    )
