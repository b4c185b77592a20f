"""Caller connections with timeouts for slow headers and idleness."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

import msgspec
from aiohttp import web

from carobslip import observability

#: Interval of the timeout checks; the timeouts themselves are seconds long.
_CHECK_INTERVAL_S: Final = 0.25
#: Longest single header line that the parser accepts. The configured limit on
#: all headers is checked afterwards, and is below this one in practice.
_LINE_MAX_BYTES: Final = 65_536

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class ConnectionBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts of a caller connection.

    Attributes:
        header_timeout_ms: From the first byte of a request to the end of its
            headers.
        idle_timeout_ms: Between two requests, and before the first one.
    """

    header_timeout_ms: float
    idle_timeout_ms: float


class CallerConnection(web.RequestHandler):
    """A connection that records since when it has waited for its caller."""

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self._clock = asyncio.get_running_loop().time
        self._is_busy = False
        self._is_reading_headers = False
        self._waiting_since_s = self._clock()

    def data_received(self, data: bytes) -> None:
        """Starts the header timeout at the first byte of a request."""
        if not self._is_busy and not self._is_reading_headers:
            self._is_reading_headers = True
            self._waiting_since_s = self._clock()
        super().data_received(data)

    def begin_request(self) -> None:
        """Stops the timeouts; the headers of a request are complete."""
        self._is_busy = True
        self._is_reading_headers = False

    def end_request(self) -> None:
        """Starts the idle timeout; the request has been answered."""
        self._is_busy = False
        self._waiting_since_s = self._clock()

    def expired_timeout(self, bounds: ConnectionBounds) -> str | None:
        """Returns the timeout that has expired, or None."""
        if self._is_busy:
            return None
        waited_ms = (self._clock() - self._waiting_since_s) * 1000
        if self._is_reading_headers and waited_ms > bounds.header_timeout_ms:
            return 'slow headers'
        if not self._is_reading_headers and waited_ms > bounds.idle_timeout_ms:
            return 'idle'
        return None


class CallerConnections(web.Server):
    """An HTTP server that closes connections whose timeout has expired.

    Args:
        handler: Answers requests.
        bounds: Returns the current timeouts.
        log: Receives an event for each caller whose headers were too slow.
        metrics: Counts closed connections by reason.
        keep_alive_s: Idle timeout of the library; it is longer, so that it
            never expires first.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        bounds: Callable[[], ConnectionBounds],
        log: observability.EventLog,
        metrics: observability.Metrics,
        keep_alive_s: float,
    ) -> None:
        super().__init__(self._handle, handler_cancellation=True)
        self._answer = handler
        self._bounds = bounds
        self._log = log
        self._metrics = metrics
        self._keep_alive_s = keep_alive_s

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        return CallerConnection(
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=self._keep_alive_s,
            max_line_size=_LINE_MAX_BYTES,
            max_field_size=_LINE_MAX_BYTES,
        )

    async def watch(self) -> None:
        """Closes connections whose timeout has expired, until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            bounds = self._bounds()
            for connection in self.connections:
                if isinstance(connection, CallerConnection):
                    self._close_if_expired(connection, bounds)

    def _close_if_expired(
        self,
        connection: CallerConnection,
        bounds: ConnectionBounds,
    ) -> None:
        why = connection.expired_timeout(bounds)
        if why is None or connection.transport is None:
            return
        if connection.transport.is_closing():
            return
        self._metrics.count(f'connection_closed.{why.replace(" ", "_")}')
        if why != 'idle':
            self._log.write(
                observability.Event.CALLER_SLOW,
                why=why,
                header_timeout_ms=round(bounds.header_timeout_ms),
            )
        connection.transport.close()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        if not isinstance(connection, CallerConnection):
            return await self._answer(request)
        connection.begin_request()
        try:
            return await self._answer(request)
        finally:
            connection.end_request()
