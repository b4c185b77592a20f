"""Reads the bodies of callers' requests within their limits."""

import asyncio
from collections.abc import Callable
from typing import Final

from aiohttp import web

from carobslip import callerlimits, configuration, verdicts
from carobslip.adapters import caller_input

_Reason = verdicts.Reason
#: Delay before a request that met no free memory may succeed.
_MEMORY_RETRY_MS: Final = 1000
_BODY_FAULTS: Final = {
    caller_input.BodyFault.MALFORMED: verdicts.not_run(
        _Reason.BAD_REQUEST, 'the framing of the body is invalid'
    ),
    caller_input.BodyFault.NO_MEMORY: verdicts.not_run(
        _Reason.NO_ROOM,
        'no memory for the body',
        retry_after_ms=_MEMORY_RETRY_MS,
    ),
}


def open_holding(
    request: web.BaseRequest, budget: callerlimits.ByteBudget
) -> callerlimits.Holding:
    """Returns the holding for a body; it may be lost while incomplete."""
    return budget.open(callerlimits.Use.BODY, _end_body_of(request))


async def read_body(
    request: web.BaseRequest,
    holding: callerlimits.Holding,
    limits: configuration.CallerLimits,
) -> bytes | verdicts.Outcome:
    """Reads a body; returns a refusal if it exceeds a limit or stalls."""
    if request.content.is_eof():
        # Most bodies arrive with their head; they need no time limit.
        return _check(request, holding, request.content.read_nowait(), limits)
    body = _Body()
    try:
        return await _read_parts(request, holding, limits, body)
    finally:
        # A cancelled task may stay in a reference cycle for long.
        body.clear()


async def _read_parts(
    request: web.BaseRequest,
    holding: callerlimits.Holding,
    limits: configuration.CallerLimits,
    body: '_Body',
) -> bytes | verdicts.Outcome:
    started_s = asyncio.get_running_loop().time()
    while True:
        until_s = _read_until_s(request, started_s, body.size_bytes, limits)
        content = await _read_some(request, until_s)
        if content is None:
            return verdicts.not_run(_Reason.REQUEST_TIMEOUT)
        if not content:
            return _check(request, holding, body.content(), limits)
        body.add(content)
        if body.size_bytes > limits.body_bytes:
            return verdicts.not_run(_Reason.BODY_TOO_LARGE)
        if not holding.resize(body.size_bytes):
            return _BODY_FAULTS[caller_input.BodyFault.NO_MEMORY]


def _check(
    request: web.BaseRequest,
    holding: callerlimits.Holding,
    body: bytes,
    limits: configuration.CallerLimits,
) -> bytes | verdicts.Outcome:
    """Returns a body that has ended, or the refusal of one in excess."""
    fault = _body_fault_of(request)
    if fault is not None:
        return _BODY_FAULTS[fault]
    if len(body) > limits.body_bytes:
        return verdicts.not_run(_Reason.BODY_TOO_LARGE)
    if not holding.resize(len(body)):
        return _BODY_FAULTS[caller_input.BodyFault.NO_MEMORY]
    return body


class _Body:
    """Joins the reads of a body; very small ones do not cost an object each."""

    def __init__(self) -> None:
        self._first = b''
        self._joined = bytearray()
        self.size_bytes = 0

    def add(self, content: bytes) -> None:
        self.size_bytes += len(content)
        if self._joined:
            self._joined += content
        elif self._first:
            self._joined += self._first
            self._joined += content
        else:
            self._first = content

    def clear(self) -> None:
        self._first = b''
        self._joined = bytearray()

    def content(self) -> bytes:
        return bytes(self._joined) or self._first


async def _read_some(request: web.BaseRequest, until_s: float) -> bytes | None:
    """Returns what has arrived, or None at the given time."""
    try:
        async with asyncio.timeout_at(until_s):
            return await request.content.readany()
    except TimeoutError:
        return None


def _end_body_of(request: web.BaseRequest) -> Callable[[], None] | None:
    """Returns what ends an incomplete body; its request is refused."""
    connection = request.protocol
    if not isinstance(connection, caller_input.CallerInput):
        return None
    return lambda: connection.end_body(caller_input.BodyFault.NO_MEMORY)


def _body_fault_of(
    request: web.BaseRequest,
) -> caller_input.BodyFault | None:
    connection = request.protocol
    if not isinstance(connection, caller_input.CallerInput):
        return None
    return connection.body_fault


def _read_until_s(
    request: web.BaseRequest,
    started_s: float,
    size_bytes: int,
    limits: configuration.CallerLimits,
) -> float:
    """Returns when the next read of a body ends, on the clock of the loop."""
    now_s = asyncio.get_running_loop().time()
    idle_s = limits.idle_timeout_ms / 1000
    held_back_s = 0.0
    if isinstance(request.protocol, caller_input.CallerInput):
        held_back_s = request.protocol.held_back_s
    left_s = callerlimits.transfer_left_s(
        spent_s=now_s - started_s - held_back_s,
        moved_bytes=size_bytes,
        idle_timeout_ms=limits.idle_timeout_ms,
    )
    return now_s + min(left_s, idle_s + held_back_s)
