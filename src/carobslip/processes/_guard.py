"""The guard process."""

import asyncio
from typing import Final

import aiomisc
import msgspec
from aiohttp import web

from carobslip import clocks, directory, guard, observability, settings
from carobslip.adapters import guard_server, operator_server, target_client
from carobslip.processes import _assembly, _drain, _status

#: Entries learn within this time that the guard is leaving.
_STOP_DELAY_S: Final = 0.5


class GuardProcess(aiomisc.Service):
    """Runs attempts on one target until a planned stop.

    Args:
        own: Settings of this process.
    """

    def __init__(self, *, own: settings.GuardSettings) -> None:
        super().__init__()
        self._own = own
        self._runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Joins the fleet, then starts to accept attempts."""
        own = self._own
        self._clock = clocks.SystemClock()
        self._log = observability.EventLog(instance=own.instance)
        self._metrics = _assembly.new_metrics(own)
        self._session = _assembly.new_client_session(self._log, self._metrics)
        self._target = target_client.HttpTarget(
            base_url=own.target.base_url,
            probe_path=own.probe_path,
            log=self._log,
            metrics=self._metrics,
        )
        self._member = _assembly.new_member(
            own,
            _record_of(own),
            self._clock,
            self._session,
            self._log,
        )
        await self._member.join()
        self._service = self._new_service()
        self._member.on_configuration = self._service.apply_configuration
        self._service.apply_configuration()
        await self._serve()
        self._log.write(
            observability.Event.PROCESS_STARTED,
            version=self._member.holder.version,
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Drains attempts in progress, then stops."""
        self._log.write(observability.Event.DRAIN_STARTED)
        self._service.start_drain()
        await self._member.announce_leaving()
        await asyncio.sleep(_STOP_DELAY_S)
        await _drain.wait_until_idle(
            lambda: self._service.is_idle,
            drain_ms=self._member.holder.configuration.defaults.drain_ms,
            clock=self._clock,
            log=self._log,
        )
        for runner in self._runners:
            await runner.cleanup()
        await self._member.close()
        await self._target.close()
        await self._session.close()

    def _new_service(self) -> guard.GuardService:
        return guard.GuardService(
            target_id=self._own.target.target,
            service_id=self._own.target.service,
            data_centre=self._own.data_centre,
            target=self._target,
            node=self._member.node,
            clock=self._clock,
            address_of=self._member.fleet.control_address_of,
            is_current=self._member.pause_detector.is_current,
        )

    async def _serve(self) -> None:
        server = guard_server.GuardServer(service=self._service)
        operator = operator_server.OperatorServer(
            handlers={'/status': self._status},
        )
        self._runners = [
            await _assembly.serve_http(
                server.application(),
                self._own.http_address,
            ),
            await _assembly.serve_http(
                operator.application(),
                self._own.operator_address,
            ),
        ]

    def _status(self, request: web.Request) -> _status.Status:
        status = _status.build_status(
            self._member,
            requests_in_progress=self._service.attempts_in_progress,
            targets=[self._service.hint()],
        )
        return msgspec.structs.replace(
            status,
            keys_remembered=len(self._service.record),
            keys_used_bytes=self._service.record.used_bytes,
        )


def _record_of(own: settings.GuardSettings) -> directory.InstanceRecord:
    return directory.InstanceRecord(
        instance=own.instance,
        role=directory.Role.GUARD,
        data_centre=own.data_centre,
        http_address=own.http_address,
        control_address=own.control_address,
        service=own.target.service,
        target=own.target.target,
    )
