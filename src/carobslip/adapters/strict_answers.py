"""Connections of HTTP clients that refuse broken answers.

Every client session of the system uses this connector, so that an answer is
checked in one place, whoever reads it.
"""

import asyncio
import functools
import sys
from collections.abc import Callable
from typing import Any, Final

import aiohttp
from aiohttp import client_proto, http_exceptions, http_parser

from carobslip import observability
from carobslip.adapters import answer_heads

#: Bytes that may arrive without an answer or a part of its body: the longest
#: head that the library's parser accepts, 128 fields of 8,190 bytes.
_UNUSED_MAX_BYTES: Final = 1_048_576
#: Bytes around the content of a body that come with each byte of it; more of
#: them count as unused. Chunks of a few bytes take long to parse.
_FRAMING_RATIO: Final = 2
#: Bytes that are parsed before the answers in them are checked.
_PART_BYTES: Final = 16_384
_EXPLANATION_MAX_CHARS: Final = 200
_COMPILED_PARSER: Final = 'aiohttp._http_parser'
_STRICT_FLAG: Final = 'DEBUG'

_Fault = answer_heads.AnswerFault
_OnRefused = Callable[[asyncio.BaseTransport | None, _Fault, str], None]


def _parse_strictly() -> None:
    """Makes the library's parsers strict.

    They are lenient towards servers, except in the library's debug mode, which
    is known when it is imported. Both forms of the parser read this flag.
    """
    http_parser.HttpResponseParserPy.lax = False
    setattr(http_parser, _STRICT_FLAG, True)
    compiled = sys.modules.get(_COMPILED_PARSER)
    if compiled is not None:
        setattr(compiled, _STRICT_FLAG, True)


class AnswerProtocol(client_proto.ResponseHandler):
    """Passes on the answers that can be used.

    A broken answer ends its connection, and the request gets an
    ``aiohttp.ClientError``: it has arrived, and its answer is not known.

    Args:
        loop: The event loop.
        on_refused: Called once with the transport, the fault and an
            explanation.
    """

    def __init__(
        self, *, loop: asyncio.AbstractEventLoop, on_refused: _OnRefused
    ) -> None:
        super().__init__(loop)
        self._on_refused = on_refused
        self._is_answered = True
        self._is_refused = False
        self._body_bytes = 0
        self._unused_bytes = 0

    def set_response_params(self, **named: Any) -> None:
        """Expects the answer to the request that is sent next."""
        self._is_answered = False
        self._unused_bytes = 0
        super().set_response_params(**named)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes until the connection is refused."""
        for begin in range(0, len(data), _PART_BYTES):
            if self._unused_bytes > _UNUSED_MAX_BYTES:
                self._refuse(
                    _Fault.ENDLESS,
                    f'{self._unused_bytes} bytes without an answer',
                )
            if self._is_refused:
                return
            part = data[begin : begin + _PART_BYTES]
            super().data_received(part)
            self._note_parsed(len(part))

    def _note_parsed(self, size_bytes: int) -> None:
        """Counts bytes that were of no use, and records a broken answer."""
        used_bytes = (1 + _FRAMING_RATIO) * self._take_progress()
        self._unused_bytes = max(
            0, self._unused_bytes + size_bytes - used_bytes
        )
        fault = self.exception()
        if isinstance(fault, http_exceptions.HttpProcessingError):
            self._note_refused(_Fault.SYNTAX, fault.message)

    def _take_progress(self) -> int:
        """Returns the bytes of bodies since the last call."""
        before_bytes = self._body_bytes
        payload = self._payload
        self._body_bytes = 0 if payload is None else payload.total_bytes
        if self._body_bytes < before_bytes:
            return self._body_bytes
        return self._body_bytes - before_bytes

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queues the head of an answer, with the reader of its body."""
        message = data[0]
        fault = self._find_fault(message)
        if fault is not None:
            major, minor = message.version
            self._refuse(fault, f'HTTP/{major}.{minor} {message.code:03}')
        if self._is_refused:
            return
        self._is_answered = not answer_heads.is_interim(message)
        super().feed_data(data, size)

    def _find_fault(
        self, message: http_parser.RawResponseMessage
    ) -> _Fault | None:
        if self._is_answered:
            return _Fault.SURPLUS
        return answer_heads.find_fault(message)

    def _refuse(self, fault: _Fault, explanation: str) -> None:
        """Ends the connection; answers that were passed on stay whole."""
        if self._is_refused:
            return
        self._note_refused(fault, explanation)
        text = f'{fault.value}: {explanation}'
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(text))
        self.set_exception(http_exceptions.BadHttpMessage(text))
        if self.transport is not None:
            self.transport.close()

    def _note_refused(self, fault: _Fault, explanation: str) -> None:
        if not self._is_refused:
            self._is_refused = True
            self._on_refused(self.transport, fault, explanation)


class StrictConnector(aiohttp.TCPConnector):
    """Connects client sessions by protocols that refuse broken answers.

    Args:
        log: Records the answers that were refused.
        metrics: Counts them by fault.
        named: Arguments of the base class.
    """

    def __init__(
        self,
        *,
        log: observability.EventLog | None = None,
        metrics: observability.Metrics | None = None,
        **named: Any,
    ) -> None:
        super().__init__(**named)
        _parse_strictly()
        self._log = log
        self._metrics = metrics or observability.NoMetrics()
        self._factory = functools.partial(self._new_protocol)

    def _new_protocol(self) -> client_proto.ResponseHandler:
        return AnswerProtocol(loop=self._loop, on_refused=self._note_refused)

    def _note_refused(
        self,
        transport: asyncio.BaseTransport | None,
        fault: _Fault,
        explanation: str,
    ) -> None:
        self._metrics.count(f'answers_refused.{fault.value}')
        if self._log is None:
            return
        peer = transport and transport.get_extra_info('peername')
        self._log.write(
            observability.Event.ANSWER_REFUSED,
            address=f'{peer[0]}:{peer[1]}' if peer else None,
            cause=fault.value,
            explanation=ascii(explanation[:_EXPLANATION_MAX_CHARS]),
        )
