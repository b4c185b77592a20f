"""Constructors that the entry and guard processes share."""

import random
from typing import Final

import aiohttp
from aiohttp import web

from carobslip import (
    clocks,
    directory,
    fleet,
    observability,
    settings,
)
from carobslip.adapters import control_nng, guard_client, platform_client

#: Open connections are closed this long after a server is stopped.
SHUTDOWN_S: Final = 1.0
_BACKLOG: Final = 1024


def split_address(address: str) -> tuple[str, int]:
    """Splits a validated ``IP:PORT``."""
    host, _separator, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def new_metrics(
    own: settings.EntrySettings | settings.GuardSettings,
) -> observability.Metrics:
    """Returns a statsd client, or a no-op if statsd is not configured."""
    if own.statsd is None:
        return observability.NoMetrics()
    host, port = split_address(own.statsd.address)
    return observability.StatsdMetrics(
        host=host,
        port=port,
        prefix=f'carobslip.{own.data_centre}.{own.instance}',
    )


def new_member(
    own: settings.EntrySettings | settings.GuardSettings,
    record: directory.InstanceRecord,
    clock: clocks.Clock,
    session: aiohttp.ClientSession,
    log: observability.EventLog,
) -> fleet.FleetMember:
    """Returns the process's fleet membership, using real transports."""
    control_nng.limit_threads()
    return fleet.FleetMember(
        record=record,
        transport=control_nng.NngTransport(),
        platform=platform_client.PlatformClient(
            addresses=own.platform,
            session=session,
        ),
        clock=clock,
        seeds=own.seeds,
        generator=random.Random(),
        log=log,
        times=fleet.FleetTimes(
            poll_ms=own.platform.poll_ms,
            watch_ms=own.platform.watch_ms,
        ),
    )


async def serve_http(
    application: web.Application,
    address: str,
) -> web.AppRunner:
    """Starts an HTTP server; a caller's disconnect cancels its handler."""
    runner = web.AppRunner(
        application,
        handler_cancellation=True,
        access_log=None,
        shutdown_timeout=SHUTDOWN_S,
    )
    await start_runner(runner, address)
    return runner


async def start_runner(
    runner: web.AppRunner, address: str, *, backlog: int = _BACKLOG
) -> None:
    """Starts to listen."""
    await runner.setup()
    host, port = split_address(address)
    await web.TCPSite(runner, host, port, backlog=backlog).start()


def new_client_session(
    log: observability.EventLog, metrics: observability.Metrics
) -> aiohttp.ClientSession:
    """Returns a client session for the process's outgoing calls."""
    return guard_client.new_session(log=log, metrics=metrics)
