"""Caller connections whose input, answers and waits are bounded."""

import array
import asyncio
import fcntl
import termios
from collections.abc import Awaitable, Callable
from typing import Any, Final

import msgspec
from aiohttp import web

from carobslip import callerlimits, observability
from carobslip.adapters import caller_input, client_limits

#: Interval of the timeout checks; the timeouts themselves are seconds long.
_CHECK_INTERVAL_S: Final = 0.25
#: Heads of up to this many times the configured limit are read to the end, so
#: that the refusal can name the request.
_HEAD_FACTOR: Final = 2
#: The parser stops reading when twice this much of a body is not yet read.
_BODY_BUFFER_BYTES: Final = 32_768
#: What the connection to a target buffers while a caller does not read.
_TARGET_BUFFER_BYTES: Final = 196_608
#: How long the rest of a refused body is read, so that the refusal arrives.
_LINGER_S: Final = 3.0
_Event = observability.Event

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class ConnectionBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a caller connection.

    Attributes:
        header_timeout_ms: From the first byte of a request to the end of its
            headers.
        idle_timeout_ms: Between two requests, and before the first one.
        header_bytes: Size of request line and headers.
    """

    header_timeout_ms: float
    idle_timeout_ms: float
    header_bytes: int = 16_384


class CallerConnection(caller_input.CallerInput):
    """A connection of a caller, with the waits for its input and reading."""

    def __init__(
        self,
        server: web.Server,
        limits: client_limits.ClientLimits,
        head_bytes_max: int,
        **named: Any,
    ) -> None:
        super().__init__(server, limits, head_bytes_max, **named)
        self._is_admitted = False
        self._link: asyncio.BaseTransport | None = None
        self._closing_since_s: float | None = None
        self._unsent = limits.budget.open(
            callerlimits.Use.ANSWER, self.close_unused
        )
        #: A long answer that is written in parts.
        self.answer = limits.budget.open(
            callerlimits.Use.ANSWER, self.close_unused
        )
        self._blocked_since_s: float | None = None
        self._blocked_before_s = 0.0
        self._unsent_at_block = 0
        self._unsent_at_check = 0
        self._sent_while_blocked = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Closes the connection if there are too many."""
        peer = transport.get_extra_info('peername')
        self.source = str(peer[0]) if peer else ''
        self._is_admitted = self._limits.gate.admit(self)
        if self._is_admitted:
            self._link = transport
            super().connection_made(transport)
        elif isinstance(transport, asyncio.WriteTransport):
            transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Frees what the connection holds."""
        if self._is_admitted:
            self._is_admitted = False
            self._limits.gate.note_closed(self)
        self._link = None
        self.clear_input()
        self._unsent.clear()
        self._limits.note_dropped(self.answer.size_bytes)
        self.answer.clear()
        super().connection_lost(exc)

    def close_unused(self) -> None:
        """Closes the connection at once, with what waits for its caller."""
        super().close_unused()
        if isinstance(self._link, asyncio.WriteTransport):
            self._link.abort()

    def pause_writing(self) -> None:
        """The caller does not read; counts what waits for it."""
        super().pause_writing()
        self._blocked_since_s = self._clock()
        self._unsent_at_block = self._unsent_bytes()
        self._unsent_at_check = self._unsent_at_block
        # A long answer has been read to its end.
        size_bytes = 0 if self.answer.size_bytes else _TARGET_BUFFER_BYTES
        if self.transport is not None:
            size_bytes += self.transport.get_write_buffer_size()
        self._unsent.force(size_bytes)

    def resume_writing(self) -> None:
        """The caller has read most of what waited for it."""
        if self._blocked_since_s is not None:
            self._blocked_before_s += self._clock() - self._blocked_since_s
            self._sent_while_blocked += (
                self._unsent_at_block - self._unsent_bytes()
            )
            self._blocked_since_s = None
        self._unsent.clear()
        super().resume_writing()
        if self._is_admitted and not self._is_busy:
            self._limits.gate.note_waiting(self)

    def close_waiting(self) -> bool:
        """Closes the connection unless a request or an answer uses it."""
        return not self._is_blocked and super().close_waiting()

    def begin_request(self) -> None:
        """Stops the timeouts; the headers of a request are complete."""
        self._is_busy = True
        self._is_reading_headers = False

    def end_request(self) -> None:
        """Starts the idle timeout; the request has been answered."""
        self._is_busy = False
        self._waiting_since_s = self._clock()
        self._blocked_before_s = 0.0
        self._sent_while_blocked = 0
        if self._is_admitted:
            self._limits.gate.note_waiting(self)
        if self._input is caller_input.Input.ANSWER:
            self._advance()

    def expired_timeout(self, bounds: ConnectionBounds) -> str | None:
        """Returns the timeout that has expired, or None."""
        if self._is_slow_reader(bounds) or self._is_slow_to_close(bounds):
            return 'slow reader'
        if self._is_busy or self._is_blocked or self.is_inside_body:
            return None
        waited_ms = (self._clock() - self._waiting_since_s) * 1000
        if self._is_reading_headers and waited_ms > bounds.header_timeout_ms:
            return 'slow headers'
        if not self._is_reading_headers and waited_ms > bounds.idle_timeout_ms:
            return 'idle'
        return None

    @property
    def _is_blocked(self) -> bool:
        """Whether an answer waits because the caller does not read."""
        return self._blocked_since_s is not None

    def _is_slow_reader(self, bounds: ConnectionBounds) -> bool:
        if self._blocked_since_s is None:
            return False
        unsent_bytes = self._unsent_bytes()
        moved = self._unsent_at_block - unsent_bytes
        if unsent_bytes < self._unsent_at_check:
            self._unsent_at_check = unsent_bytes
            self._unsent.progress_s = self._clock()
            self.answer.progress_s = self._unsent.progress_s
        blocked_s = self._clock() - self._blocked_since_s
        left_s = callerlimits.transfer_left_s(
            spent_s=self._blocked_before_s + blocked_s,
            moved_bytes=self._sent_while_blocked + moved,
            idle_timeout_ms=bounds.idle_timeout_ms,
        )
        return left_s <= 0

    def _is_slow_to_close(self, bounds: ConnectionBounds) -> bool:
        """Whether a closed connection still waits for its caller to read."""
        if self._link is None or not self._link.is_closing():
            return False
        if self._closing_since_s is None:
            self._closing_since_s = self._clock()
        closing_ms = (self._clock() - self._closing_since_s) * 1000
        return closing_ms > bounds.idle_timeout_ms

    def _unsent_bytes(self) -> int:
        """Returns what the caller has not acknowledged, the kernel's included.

        The kernel reports room only after a third of its buffer is free.
        """
        transport = self.transport
        if transport is None:
            return 0
        queued = array.array('i', [0])
        sock = transport.get_extra_info('socket')
        if sock is not None and sock.fileno() >= 0:
            fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, queued)
        return transport.get_write_buffer_size() + queued[0]


class CallerConnections(web.Server):
    """An HTTP server that closes connections whose timeout has expired.

    Args:
        handler: Answers requests.
        bounds: Returns the current limits.
        limits: What all connections of the process share.
        metrics: Counts closed connections by reason.
        keep_alive_s: Idle timeout of the library; it is longer, so that it
            never expires first.
        request_factory: Builds requests for the handler; None for plain ones.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        bounds: Callable[[], ConnectionBounds],
        limits: client_limits.ClientLimits,
        metrics: observability.Metrics,
        keep_alive_s: float,
        request_factory: Any = None,
    ) -> None:
        super().__init__(
            self._handle,
            handler_cancellation=True,
            request_factory=request_factory,
        )
        self._answer = handler
        self._bounds = bounds
        self._limits = limits
        self._metrics = metrics
        self._keep_alive_s = keep_alive_s
        self._head_bytes_max = 0
        self._apply(bounds())

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        return CallerConnection(
            self,
            self._limits,
            self._head_bytes_max,
            loop=asyncio.get_running_loop(),
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=self._keep_alive_s,
            max_line_size=self._head_bytes_max,
            max_field_size=self._head_bytes_max,
            read_bufsize=_BODY_BUFFER_BYTES,
            lingering_time=_LINGER_S,
        )

    async def watch(self) -> None:
        """Closes connections whose timeout has expired, until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            bounds = self._bounds()
            self._apply(bounds)
            for connection in self.connections:
                if isinstance(connection, CallerConnection):
                    self._close_if_expired(connection, bounds)
            self._limits.write_report()

    def _apply(self, bounds: ConnectionBounds) -> None:
        self._head_bytes_max = _HEAD_FACTOR * bounds.header_bytes

    def _close_if_expired(
        self,
        connection: CallerConnection,
        bounds: ConnectionBounds,
    ) -> None:
        why = connection.expired_timeout(bounds)
        if why is None:
            return
        if why == 'slow reader':
            self._metrics.count('connection_closed.slow_reader')
            self._limits.count(_Event.CALLER_READS_SLOWLY, 'closed')
            connection.close_unused()
            return
        if connection.transport is None or connection.transport.is_closing():
            return
        self._metrics.count(f'connection_closed.{why.replace(" ", "_")}')
        if why != 'idle':
            self._limits.count(_Event.CALLER_SLOW, why.replace(' ', '_'))
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
