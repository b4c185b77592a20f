"""Control messages over pynng request and reply sockets."""

import asyncio
import collections
import contextlib
from typing import Any, Final

import pynng

from carobslip import control

#: A coordinator has a connection to each rank of its group and to each entry.
_SOCKETS_MAX: Final = 384
#: Sockets that were last used longer ago are closed.
_IDLE_S: Final = 10.0
_WORKERS: Final = 64
#: Answers to one peer that may wait to be sent. Further requests of a peer that
#: reads no answers are dropped, so that it cannot occupy all workers.
_UNSENT_MAX: Final = 4
#: Requests of one peer that arrive together wait this often, and this long, for
#: the answers before them. Several requests for slots arrive at once.
_BURST_WAITS: Final = 4
_BURST_WAIT_S: Final = 0.005
#: A connection on which calls got no answer for this time is replaced. It may
#: have gone silent for good, and the library would use it without an end.
_SILENT_S: Final = 1.0
#: Timeout for sending an answer, which is then dropped: the request of the peer
#: has timed out by then, and other requests wait for the worker.
_SEND_TIMEOUT_S: Final = 1.0
_RECONNECT_MIN_MS: Final = 50
_RECONNECT_MAX_MS: Final = 500
#: Threads of the messaging library: few, since a node has few resources for it.
_THREADS: Final = (
    (pynng.lib.NNG_INIT_NUM_TASK_THREADS, 2),
    (pynng.lib.NNG_INIT_MAX_TASK_THREADS, 2),
    (pynng.lib.NNG_INIT_NUM_EXPIRE_THREADS, 1),
    (pynng.lib.NNG_INIT_MAX_EXPIRE_THREADS, 1),
    (pynng.lib.NNG_INIT_NUM_POLLER_THREADS, 1),
    (pynng.lib.NNG_INIT_MAX_POLLER_THREADS, 1),
    (pynng.lib.NNG_INIT_NUM_RESOLVER_THREADS, 1),
)


def limit_threads() -> None:
    """Limits the library's threads; call before opening the first socket."""
    for parameter, threads in _THREADS:
        pynng.lib.nng_init_set_parameter(parameter, threads)


class NngTransport:
    """Implements the control transport.

    The library resends a request when a connection breaks, so every control
    request is idempotent. Sockets are kept for the most recently used peers;
    each call has its own context.
    """

    def __init__(self) -> None:
        self._sockets: collections.OrderedDict[str, Any] = (
            collections.OrderedDict()
        )
        self._used_s: dict[str, float] = {}
        #: When the first call since the last answer began on each socket.
        self._unanswered_s: dict[str, float] = {}
        self._unsent: collections.Counter[int] = collections.Counter()
        self._server: Any = None
        self._is_closing = False
        self._workers: list[asyncio.Task[None]] = []
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped_total = 0

    async def call(
        self,
        address: str,
        frame: bytes,
        timeout_ms: float,
    ) -> bytes:
        """Sends one request and returns the answer.

        Raises:
            PeerUnreachable: No answer came within ``timeout_ms``.
        """
        socket = self._socket(address)
        context = socket.new_context()
        loop = asyncio.get_running_loop()
        self._unanswered_s.setdefault(address, loop.time())
        deadline_s = loop.time() + timeout_ms / 1000
        try:
            async with asyncio.timeout_at(deadline_s):
                await context.asend(frame)
            _raise_swallowed_cancellation()
            # The library may swallow the cancellation by a timer as well, so the
            # answer has its own timer.
            async with asyncio.timeout_at(max(deadline_s, loop.time())):
                answer: bytes = await context.arecv()
            _raise_swallowed_cancellation()
        except (TimeoutError, pynng.NNGException) as fault:
            self._replace_if_silent(address, socket)
            raise control.PeerUnreachable(f'{address}: {fault!r}') from None
        finally:
            _close(context)
        if self._sockets.get(address) is socket:
            self._unanswered_s.pop(address, None)
        self.sent_bytes += len(frame)
        self.received_bytes += len(answer)
        return answer

    async def serve(self, address: str, handler: control.Handler) -> None:
        """Answers requests that arrive at ``address``."""
        self._server = pynng.Rep0(recv_max_size=control.MESSAGE_MAX_BYTES)
        self._server.listen(f'tcp://{address}')
        self._workers = [
            asyncio.ensure_future(self._run_worker(handler))
            for _ in range(_WORKERS)
        ]

    async def close(self) -> None:
        """Stops answering and drops all connections."""
        self._is_closing = True
        if self._server is not None:
            self._server.close()
        for worker in self._workers:
            worker.cancel()
        await asyncio.gather(*self._workers, return_exceptions=True)
        while self._sockets:
            self._sockets.popitem()[1].close()

    async def _run_worker(self, handler: control.Handler) -> None:
        context = self._server.new_context()
        try:
            while not self._is_closing:
                await self._answer_next(context, handler)
        finally:
            _close(context)

    async def _answer_next(
        self,
        context: Any,
        handler: control.Handler,
    ) -> None:
        try:
            await self._answer_one(context, handler)
        except pynng.NNGException:
            # The peer has disconnected; the next request is unaffected.
            await asyncio.sleep(0)
        _raise_swallowed_cancellation()

    async def _answer_one(self, context: Any, handler: control.Handler) -> None:
        message = await context.arecv_msg()
        peer = 0 if message.pipe is None else message.pipe.id
        if not await self._may_answer(peer):
            self.dropped_total += 1
            return
        frame = message.bytes
        answer = await handler(frame)
        self.received_bytes += len(frame)
        self._unsent[peer] += 1
        try:
            async with asyncio.timeout(_SEND_TIMEOUT_S):
                await context.asend(answer)
        except TimeoutError:
            self.dropped_total += 1
        else:
            self.sent_bytes += len(answer)
        finally:
            self._unsent[peer] -= 1
            if not self._unsent[peer]:
                self._unsent.pop(peer)

    async def _may_answer(self, peer: int) -> bool:
        """Tells whether a peer reads its answers, after a short wait."""
        waits = 0
        while self._unsent[peer] >= _UNSENT_MAX and waits < _BURST_WAITS:
            await asyncio.sleep(_BURST_WAIT_S)
            waits += 1
        return self._unsent[peer] < _UNSENT_MAX

    def _socket(self, address: str) -> Any:
        socket = self._sockets.get(address)
        if socket is None:
            socket = pynng.Req0(
                recv_max_size=control.MESSAGE_MAX_BYTES,
                reconnect_time_min=_RECONNECT_MIN_MS,
                reconnect_time_max=_RECONNECT_MAX_MS,
            )
            socket.dial(f'tcp://{address}', block=False)
            self._sockets[address] = socket
        self._used_s[address] = asyncio.get_running_loop().time()
        self._sockets.move_to_end(address)
        self._close_unused()
        return socket

    def _close_unused(self) -> None:
        """Closes sockets that are idle, and the oldest above the maximum."""
        oldest_s = asyncio.get_running_loop().time() - _IDLE_S
        while self._sockets:
            address = next(iter(self._sockets))
            is_idle = self._used_s.get(address, oldest_s) < oldest_s
            if not is_idle and len(self._sockets) <= _SOCKETS_MAX:
                return
            self._drop(address)

    def _replace_if_silent(self, address: str, socket: Any) -> None:
        """Closes a socket without answers; the next call opens another one."""
        if self._sockets.get(address) is not socket:
            return
        now_s = asyncio.get_running_loop().time()
        if now_s - self._unanswered_s.get(address, now_s) >= _SILENT_S:
            self._drop(address)

    def _drop(self, address: str) -> None:
        self._sockets.pop(address).close()
        self._used_s.pop(address, None)
        self._unanswered_s.pop(address, None)


def _close(context: Any) -> None:
    # Closing the socket first has closed its contexts as well.
    with contextlib.suppress(pynng.Closed):
        context.close()


def _raise_swallowed_cancellation() -> None:
    """Raises a cancellation that the messaging library has swallowed.

    It swallows one that coincides with a finished operation; the task would
    then never end, and code that awaits the task would hang.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
