"""The entry process."""

import asyncio
import random
from typing import Any, Final

import aiomisc
from aiohttp import web

from carobslip import (
    clocks,
    configuration,
    control,
    directory,
    entry,
    identifiers,
    observability,
    reports,
    routing,
    settings,
    tasks,
    verdicts,
)
from carobslip.adapters import (
    bounded_runner,
    caller_server,
    guard_client,
    operator_server,
)
from carobslip.processes import _assembly, _drain, _hint_refresher, _status

#: Callers with cached addresses still connect for a while after a stop began.
_STOP_DELAY_S: Final = 0.5


class EntryProcess(aiomisc.Service):
    """Serves callers until a planned stop.

    Args:
        own: Settings of this process.
    """

    def __init__(self, *, own: settings.EntrySettings) -> None:
        super().__init__()
        self._own = own
        self._runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Joins the fleet, then starts to serve callers."""
        own = self._own
        self._clock = clocks.SystemClock()
        self._log = observability.EventLog(instance=own.instance)
        self._metrics = _assembly.new_metrics(own)
        self._session = _assembly.new_client_session(self._log, self._metrics)
        self._member = _assembly.new_member(
            own,
            _record_of(own),
            self._clock,
            self._session,
            self._log,
        )
        self._hints = routing.HintStore(clock=self._clock)
        self._traces = entry.TraceStore()
        self._burn_counter = reports.BurnCounter(
            clock=self._clock,
            objective_of=self._objective_of,
        )
        self._chooser = routing.Chooser(
            entry=own.instance,
            fleet=self._member.fleet,
            hints=self._hints,
            generator=random.Random(),
        )
        await self._member.join()
        refresher = _hint_refresher.HintRefresher(
            member=self._member,
            chooser=self._chooser,
            hints=self._hints,
        )
        self._supervisor = tasks.Supervisor(log=self._log)
        self._supervisor.keep_running(refresher.run)
        self._limits = bounded_runner.new_limits(self._log, self._metrics)
        self._server = self._new_caller_server()
        await self._serve()
        self._log.write(
            observability.Event.PROCESS_STARTED,
            version=self._member.holder.version,
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Drains requests in progress, then stops."""
        self._log.write(observability.Event.DRAIN_STARTED)
        drain_ms = self._member.holder.configuration.defaults.drain_ms
        asyncio.get_running_loop().call_later(
            _drain.accept_ms(drain_ms) / 1000, self._server.stop_accepting
        )
        await self._member.announce_leaving()
        await asyncio.sleep(_STOP_DELAY_S)
        await _drain.wait_until_idle(
            lambda: self._server.in_progress == 0,
            drain_ms=drain_ms,
            clock=self._clock,
            log=self._log,
        )
        for runner in self._runners:
            await runner.cleanup()
        await self._supervisor.close()
        await self._member.close()
        await self._session.close()

    async def _serve(self) -> None:
        operator = operator_server.OperatorServer(
            handlers={
                '/status': self._status,
                '/explain/{request_id}': self._explain,
                '/burn': self._burn,
            },
        )
        front = bounded_runner.BoundedRunner(
            self._server.application(),
            limits=self._limits,
            metrics=self._metrics,
            keep_running=self._supervisor.keep_running,
            shutdown_s=_assembly.SHUTDOWN_S,
        )
        await _assembly.start_runner(
            front,
            self._own.http_address,
            backlog=self._limits.capacity.backlog,
        )
        self._runners = [
            front,
            await _assembly.serve_http(
                operator.application(),
                self._own.operator_address,
            ),
        ]

    def _new_caller_server(self) -> caller_server.CallerServer:
        runner = entry.Runner(
            entry=self._own.instance,
            node=self._member.node,
            guards=guard_client.HttpGuardClient(session=self._session),
            chooser=self._chooser,
            hints=self._hints,
            clock=self._clock,
            traces=self._traces,
        )
        return caller_server.CallerServer(
            own=self._member.record,
            runner=runner,
            holder=self._member.holder,
            fleet=self._member.fleet,
            clock=self._clock,
            log=self._log,
            on_ended=self._record_request_end,
            limits=self._limits,
        )

    def _record_request_end(
        self,
        request: entry.CallerRequest,
        duration_ms: float,
        outcome: verdicts.Outcome,
    ) -> None:
        name = f'{request.service}.{outcome.verdict.value}'
        self._metrics.count(f'requests.{name}')
        self._metrics.time_ms(f'duration.{request.service}', duration_ms)
        self._burn_counter.note(
            request.service,
            request.team,
            duration_ms,
            outcome,
        )

    def _burn(self, request: web.Request) -> reports.EntryCounts:
        return reports.EntryCounts(
            instance=self._own.instance,
            data_centre=self._own.data_centre,
            series=self._burn_counter.series(),
        )

    def _objective_of(
        self,
        service: identifiers.ServiceId,
    ) -> configuration.Objective:
        known = self._member.holder.configuration.services.get(service)
        return configuration.Objective() if known is None else known.objective

    def _status(self, request: web.Request) -> _status.Status:
        return _status.build_status(
            self._member,
            requests_in_progress=self._server.in_progress,
            targets=self._hints_in_use(),
        )

    def _hints_in_use(self) -> list[control.GuardHint]:
        held = self._member.holder.configuration
        known = [
            self._hints.find(guard.target)
            for service in held.services
            for guard in self._chooser.usable(service, held)
            if guard.target is not None
        ]
        return [guard.hint for guard in known if guard is not None]

    def _explain(self, request: web.Request) -> Any:
        request_id = identifiers.RequestId(request.match_info['request_id'])
        trace = self._traces.find(request_id)
        if trace is None:
            raise LookupError('no recent request with this id was seen here')
        return trace


def _record_of(own: settings.EntrySettings) -> directory.InstanceRecord:
    return directory.InstanceRecord(
        instance=own.instance,
        role=directory.Role.ENTRY,
        data_centre=own.data_centre,
        http_address=own.http_address,
        control_address=own.control_address,
    )
