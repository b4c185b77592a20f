"""Serves an application on caller connections whose use is bounded."""

import resource
from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web

from carobslip import callerlimits, observability
from carobslip.adapters import (
    caller_connections,
    caller_headers,
    client_limits,
)

#: Memory that an instance of this kind has; its settings do not tell it.
_MEMORY_MB: Final = 512
#: Callers of this path keep idle connections for long. Idle ones are closed
#: earlier only if connections run out.
_IDLE_TIMEOUT_MS: Final = 3_600_000
_BOUNDS: Final = caller_connections.ConnectionBounds(
    header_timeout_ms=caller_headers.LIMITS.header_timeout_ms,
    idle_timeout_ms=_IDLE_TIMEOUT_MS,
    header_bytes=caller_headers.LIMITS.header_bytes,
)


def new_limits(
    log: observability.EventLog, metrics: observability.Metrics
) -> client_limits.ClientLimits:
    """Returns limits derived from the descriptors that the process may open."""
    descriptors, _most = resource.getrlimit(resource.RLIMIT_NOFILE)
    return client_limits.ClientLimits(
        log=log,
        metrics=metrics,
        capacity=callerlimits.capacity_of(
            memory_mb=_MEMORY_MB, descriptors=descriptors
        ),
    )


class BoundedRunner(web.AppRunner):
    """Runs an application for callers.

    Args:
        application: Answers the requests.
        limits: What all connections of the process share.
        metrics: Counts closed connections by reason.
        keep_running: Runs the checks of timeouts until the process stops.
        shutdown_s: Open connections are closed this long after a stop.
    """

    def __init__(
        self,
        application: web.Application,
        *,
        limits: client_limits.ClientLimits,
        metrics: observability.Metrics,
        keep_running: Callable[[Callable[[], Awaitable[None]]], None],
        shutdown_s: float,
    ) -> None:
        super().__init__(
            application, access_log=None, shutdown_timeout=shutdown_s
        )
        self._limits = limits
        self._metrics = metrics
        self._keep_running = keep_running

    async def _make_server(self) -> web.Server:
        plain = await super()._make_server()
        front = caller_connections.CallerConnections(
            handler=plain.request_handler,
            bounds=lambda: _BOUNDS,
            limits=self._limits,
            metrics=self._metrics,
            keep_alive_s=_IDLE_TIMEOUT_MS / 1000,
            request_factory=plain.request_factory,
        )
        self._keep_running(front.watch)
        return front
