"""The input of a caller connection, one request at a time.

A connection passes the HTTP parser a whole head, then its body, and the next head
only after the answer. What the caller sends ahead stays in a buffer of bounded
size. Chunked bodies are decoded here and reach the parser in large chunks, since
the parser keeps several objects for each of them.
"""

import asyncio
import time
from typing import Any, Final

from aiohttp import http, web

from carobslip import callerlimits, observability
from carobslip.adapters import caller_states, client_limits

#: Chunks that are decoded before other connections get a turn.
_CHUNKS_PER_TURN: Final = 1000
#: Interval at which the end of a refused body is awaited.
_ADVANCE_INTERVAL_S: Final = 0.05
#: Heads of up to this size are not counted once they are parsed.
_SMALL_HEAD_BYTES: Final = 2048
#: Reads of up to this size are not counted until the handler takes them.
_SMALL_READ_BYTES: Final = 16_384
#: A parsed head as bytes, as text and as objects takes this many times its size.
_PARSED_FACTOR: Final = 4
_HEAD_END: Final = b'\r\n\r\n'
_HEAD_REFUSED: Final = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
_Event = observability.Event
Input = caller_states.Input
BodyFault = caller_states.BodyFault


class CallerInput(web.RequestHandler):
    """Bounds what a caller sends.

    Args:
        server: Handles the requests.
        limits: What all connections of the process share.
        head_bytes_max: Longest head that reaches the parser.
        named: Arguments of the base class.

    Attributes:
        source: Address of the caller.
        body_fault: Why the present body ended early; None if it did not.
        held_back_s: How long reading of the present body was delayed here.
    """

    def __init__(
        self,
        server: web.Server,
        limits: client_limits.ClientLimits,
        head_bytes_max: int,
        **named: Any,
    ) -> None:
        super().__init__(server, **named)
        self.source = ''
        self.body_fault: BodyFault | None = None
        self.held_back_s = 0.0
        self._limits = limits
        self._head_bytes_max = head_bytes_max
        self._clock = time.monotonic
        self._waiting_since_s = self._clock()
        self._is_busy = False
        self._is_reading_headers = False
        self._is_held = False
        self._input = Input.HEAD
        self._head = bytearray()
        self._blank_bytes = 0
        self._unread = b''
        self._body_left = 0
        self._decoder = callerlimits.ChunkDecoder(trailer_bytes_max=0)
        self._payload: Any = None
        self._received = limits.budget.open(
            callerlimits.Use.HEAD, self._drop_received
        )
        #: Content that the parser has and the handler has not taken. One turn of
        #: the event loop reads from all sockets before any handler runs.
        self._arrived = limits.budget.open(
            callerlimits.Use.BODY, self._drop_received
        )
        self._parsed = limits.budget.open(
            callerlimits.Use.BODY, self._drop_received
        )

    def data_received(self, data: bytes) -> None:
        """Passes on what belongs to the present request."""
        if not data:
            # The parser continues with what it has kept itself.
            self._parse(data)
            return
        if self._input is Input.NOTHING:
            return
        if self._unread:
            data = self._unread + data
            self._unread = b''
        self._take(data)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Reads on, unless the connection is held back here."""
        if resume_parser and self._arrived.size_bytes:
            self._arrived.clear()
        super().resume_reading(resume_parser)
        if self._is_held:
            self._pause_transport_reading()

    def close_unused(self) -> None:
        """Closes the connection at once, with what waits for its caller."""
        self._input = Input.NOTHING
        if self.transport is not None:
            self.transport.abort()

    def close_waiting(self) -> bool:
        """Closes the connection unless a complete request uses it."""
        is_used = self._is_busy or self._request_in_progress
        if is_used and not self.is_inside_body:
            return False
        self.close_unused()
        return True

    def clear_input(self) -> None:
        """Frees what was received and not passed on."""
        self._input = Input.NOTHING
        self._received.clear()
        self._parsed.clear()
        self._arrived.clear()
        self._head = bytearray()
        self._unread = b''

    def end_body(self, fault: BodyFault) -> None:
        """Ends a body that is not complete; its request is refused."""
        self.body_fault = fault
        self._input = Input.NOTHING
        self._unread = b''
        if self._payload is not None and not self._payload.is_eof():
            self._payload.feed_eof()

    @property
    def is_inside_body(self) -> bool:
        """Whether the body of a request is not complete."""
        return self._input in {Input.BODY, Input.CHUNKS}

    def _drop_received(self) -> None:
        """Drops what was not passed on; a request in progress goes on."""
        if not self._is_busy:
            self.close_unused()
            return
        self._unread = b''
        self._input = Input.NOTHING
        if self._payload is not None and not self._payload.is_eof():
            self.end_body(BodyFault.NO_MEMORY)
        else:
            self.close()

    def _parse(self, content: bytes) -> None:
        """Passes bytes to the parser of the library."""
        web.RequestHandler.data_received(self, content)

    def _take(self, data: bytes) -> None:
        while data:
            if self._input is Input.HEAD:
                data = self._take_head(data)
            elif self._input is Input.BODY:
                data = self._take_body(data)
            elif self._input is Input.CHUNKS:
                data = self._take_chunks(data)
            else:
                self._keep_ahead(data)
                return

    def _take_head(self, data: bytes) -> bytes:
        """Collects a head and passes it on; returns what follows it."""
        if not self._is_reading_headers:
            self._is_reading_headers = True
            self._waiting_since_s = self._clock()
        begin = max(0, len(self._head) - len(_HEAD_END) + 1)
        if self._head:
            self._head += data
            data = bytes(self._head)
        else:
            data = self._skip_blank(data)
        end = data.find(_HEAD_END, begin)
        size_bytes = len(data) if end < 0 else end + len(_HEAD_END)
        if size_bytes + self._blank_bytes > self._head_bytes_max:
            self._refuse_head()
            return b''
        if end < 0:
            self._keep_head(data)
            return b''
        if self._head:
            self._head = bytearray()
            self._received.clear()
        self._begin(data[:size_bytes])
        return data[size_bytes:]

    def _skip_blank(self, data: bytes) -> bytes:
        """Drops empty lines before a request; they have no meaning."""
        kept = data.lstrip(b'\r\n')
        self._blank_bytes += len(data) - len(kept)
        return kept

    def _keep_head(self, data: bytes) -> None:
        """Keeps a head that is not complete."""
        if not self._received.resize(len(data)):
            self.close_unused()
        elif not self._head:
            self._head += data

    def _refuse_head(self) -> None:
        self._limits.count(_Event.CALLER_INPUT_REFUSED, 'head')
        self._input = Input.NOTHING
        self._head = bytearray()
        if self._request_in_progress or self.transport is None:
            # The answer before it is still being written.
            self.close()
            return
        self.transport.write(_HEAD_REFUSED)
        self.transport.close()

    def _begin(self, head: bytes) -> None:
        """Passes on a whole head."""
        if not self._count_parsed(len(head)):
            return
        self._blank_bytes = 0
        self._is_reading_headers = False
        self._is_busy = True
        self.body_fault = None
        self.held_back_s = 0.0
        self._parse(head)
        if self._close or self._force_close:
            # The library has stopped reading; the head was not passed on.
            self._input = Input.NOTHING
            return
        if not self._messages:
            self._refuse_head()
            return
        message, payload = self._messages[-1]
        self._payload = payload
        if not isinstance(message, http.RawRequestMessage):
            # The parser refused it; the library answers 400 and closes.
            self._limits.count(_Event.CALLER_INPUT_REFUSED, 'malformed')
            self._input = Input.NOTHING
        elif payload.is_eof():
            self._input = Input.ANSWER
        elif message.chunked:
            self._input = Input.CHUNKS
            self._decoder = callerlimits.ChunkDecoder(
                trailer_bytes_max=self._head_bytes_max
            )
        else:
            self._input = Input.BODY
            self._body_left = int(message.headers.get('Content-Length', 0))
        if self.is_inside_body:
            self._limits.gate.note_receiving(self)
        else:
            self._note_complete()

    def _count_parsed(self, size_bytes: int) -> bool:
        """Counts a long head; closes the connection if memory is short."""
        if size_bytes <= _SMALL_HEAD_BYTES:
            return True
        self._parsed.use = callerlimits.Use.BODY
        if self._parsed.resize(size_bytes * _PARSED_FACTOR):
            return True
        self._input = Input.NOTHING
        if self._request_in_progress:
            self.close()
        else:
            self.close_unused()
        return False

    def _take_body(self, data: bytes) -> bytes:
        """Passes on a body of known length; returns what follows it."""
        piece = (
            data if len(data) <= self._body_left else data[: self._body_left]
        )
        if not self._count_arrived(len(piece)):
            return b''
        self._body_left -= len(piece)
        self._parse(piece)
        if not self._body_left:
            self._end_input()
        return data[len(piece) :]

    def _count_arrived(self, size_bytes: int) -> bool:
        """Counts a large read; ends the body if memory is short."""
        if size_bytes <= _SMALL_READ_BYTES:
            return True
        if self._arrived.resize(self._arrived.size_bytes + size_bytes):
            return True
        self.end_body(BodyFault.NO_MEMORY)
        return False

    def _take_chunks(self, data: bytes) -> bytes:
        """Passes on chunks; returns what may be taken next."""
        decoder = self._decoder
        before = decoder.chunks
        try:
            content, rest = decoder.feed(data, _CHUNKS_PER_TURN)
        except callerlimits.MalformedBody:
            self._limits.count(_Event.CALLER_INPUT_REFUSED, 'chunks')
            self.end_body(BodyFault.MALFORMED)
            return b''
        if not self._count_arrived(len(content)):
            return b''
        if content:
            self._parse(b'%x\r\n%b\r\n' % (len(content), content))
        if decoder.is_complete:
            self._parse(b'0\r\n\r\n')
            self._end_input()
            return rest
        delay_s = self._limits.chunks.delay_s(
            self._clock(), decoder.chunks - before, len(content)
        )
        if delay_s:
            self._hold_back(rest, delay_s)
            return b''
        return rest

    def _hold_back(self, data: bytes, delay_s: float) -> None:
        """Reads on after a delay."""
        self._limits.count(_Event.CALLER_CHUNKS_DELAYED, 'reads')
        self.held_back_s += delay_s
        self._keep(data)
        self._hold()
        asyncio.get_running_loop().call_later(delay_s, self._read_on)

    def _read_on(self) -> None:
        if self._input is Input.NOTHING or self.transport is None:
            return
        self._release()
        self._take(self._take_unread())

    def _keep_ahead(self, data: bytes) -> None:
        """Keeps what was sent before the present request was answered."""
        if self._input is Input.NOTHING:
            return
        self._keep(data)
        if len(data) > self._head_bytes_max:
            self._hold()

    def _keep(self, data: bytes) -> None:
        self._unread = data
        if self._received.resize(len(data)):
            return
        # None of it was passed on; the request before it is answered.
        self._drop_received()

    def _end_input(self) -> None:
        self._input = Input.ANSWER
        if self._is_busy:
            self._note_complete()
        else:
            self._advance()

    def _note_complete(self) -> None:
        """The request may run from here on; nothing of it is taken away."""
        self._parsed.use = callerlimits.Use.REQUEST
        self._limits.gate.note_request(self)

    def _advance(self) -> None:
        """Expects the next request, once the present body has been read."""
        if self._input is not Input.ANSWER or self._is_busy:
            return
        if self._upgraded or not self._payload.is_eof():
            asyncio.get_running_loop().call_later(
                _ADVANCE_INTERVAL_S, self._advance
            )
            return
        self._input = Input.HEAD
        self._parsed.clear()
        if self._unread:
            self._release()
            self._take(self._take_unread())

    def _take_unread(self) -> bytes:
        data = self._unread
        self._unread = b''
        self._received.clear()
        return data

    def _hold(self) -> None:
        self._is_held = True
        self._pause_transport_reading()

    def _release(self) -> None:
        if self._is_held:
            self._is_held = False
            if not self._reading_paused:
                self._resume_transport_reading()
