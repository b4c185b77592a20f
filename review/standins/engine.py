"""A stand-in of a plain engine that registers in the store."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from review.standins import http, store

_BEAT_S = 1.2
_WORK_S = 0.0225
_SLOTS = 6
#: Events of a stream and the pause before each.
_EVENTS = 24
_EVENT_S = 0.02


class Run:
    """One request that an engine ran."""

    def __init__(self, engine: str, request: http.Request, at_s: float) -> None:
        self.engine = engine
        self.request = request
        self.at_s = at_s

    @property
    def request_id(self) -> str:
        """The caller's identifier of the request."""
        return self.request.headers.get('x-request-id', '')


class Engine:
    """Answers requests of one service, and beats in the store.

    Args:
        name: Its id.
        service: Its service.
        zone: Its zone.
        address: Where it takes requests.
        platform: The store.
        runs: Receives what it runs.
        is_streaming: It answers with a stream of events.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        address: str,
        platform: store.Store,
        runs: list[Run],
        is_streaming: bool = False,
    ) -> None:
        self.name = name
        self.address = address
        self.state = 'ready'
        self.work_s = _WORK_S
        #: Tells whether the answer of a request is lost after its run.
        self.loses: Callable[[http.Request], bool] = lambda _request: False
        #: Chooses requests for which it sends bytes without end; what it sends
        #: first (``REQUEST`` stands for the id), then again and again.
        self.floods: Callable[[http.Request], bool] = lambda _request: False
        self.flood_head = b''
        self.flood = b''
        self.flood_bytes_per_s = 0.0
        #: Chooses requests that fail with 500.
        self.fails: Callable[[http.Request], bool] = lambda _request: False
        #: Chooses answers after which surplus bytes follow on their connection.
        self.has_surplus: Callable[[], bool] = lambda: False
        self.surplus = b''
        #: Requests that were answered with success, or with a failure.
        self.succeeded: set[str] = set()
        self.failed: set[str] = set()
        self._surplus_due: set[int] = set()
        self.running = 0
        self._service = service
        self._zone = zone
        self._platform = platform
        self._runs = runs
        self._is_streaming = is_streaming
        self._seq = 0
        self._born = int(time.time() * 1000)
        self._beats: asyncio.Task[None] | None = None
        self._server = http.Server(self._answer)

    async def start(self) -> None:
        """Starts to serve and registers."""
        host, _separator, port = self.address.rpartition(':')
        await self._server.start(host, int(port))
        self._beats = asyncio.ensure_future(self._beat())

    async def crash(self) -> None:
        """Ends at once: resets its connections and sends no more beats."""
        if self._beats is not None:
            self._beats.cancel()
        await self._server.stop(resets=True)

    def drain(self) -> None:
        """Reports that it is leaving."""
        self.state = 'draining'
        self.write_beat()

    async def leave(self) -> None:
        """Removes its entry and ends."""
        await self.crash()
        self._platform.delete(f'servers/{self.name}')

    def entry(self) -> dict[str, Any]:
        """Returns its entry in the store."""
        return {
            'service': self._service,
            'address': self.address,
            'zone': self._zone,
            'version': 'v1',
            'slots': _SLOTS,
            'state': self.state,
            'cold_left_ms': 0,
            'seq': self._seq,
            'born': self._born,
        }

    def write_beat(self) -> None:
        """Writes its entry to the store."""
        self._seq += 1
        self._platform.put(f'servers/{self.name}', self.entry())

    async def _beat(self) -> None:
        while True:
            self.write_beat()
            await asyncio.sleep(_BEAT_S)

    async def _answer(
        self, request: http.Request, writer: asyncio.StreamWriter
    ) -> bool:
        headers = {
            'X-Instance-Id': self.name,
            'X-Server-Load': f'{self.running},0,{_SLOTS}',
        }
        if request.target == '/carobslip/report':
            body = f'{{"born": {self._born}}}'.encode()
            await http.write_answer(writer, 200, headers, body)
            return True
        request_id = request.headers.get('x-request-id', '')
        headers['X-Request-Id'] = request_id
        if request.headers.get('x-expect-instance') not in {None, self.name}:
            await http.write_answer(writer, 421, headers)
            return True
        if self.running >= _SLOTS or not request_id:
            status = 503 if request_id else 400
            headers['X-Not-Executed'] = '1'
            await http.write_answer(writer, status, headers)
            return True
        self._runs.append(Run(self.name, request, time.monotonic()))
        self.running += 1
        try:
            if self.floods(request):
                await self._send_flood(writer, request_id)
                return False
            if self.fails(request):
                return await self._fail(writer, headers)
            if self._is_streaming:
                return await self._stream(writer, headers)
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        if self.loses(request):
            http.reset(writer)
            return False
        body = f'{self.name} ran {request_id}'.encode()
        headers['X-Response-Seal'] = f'{len(body):x}.{request_id}'
        headers['X-Server-Load'] = f'{self.running},0,{_SLOTS}'
        await http.write_answer(writer, 200, headers, body)
        return True

    async def _stream(
        self, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> bool:
        headers |= {
            'X-Response-Seal': f'{_EVENTS:x}.{headers["X-Request-Id"]}',
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        writer.write(http.head_of(200, headers))
        for number in range(1, _EVENTS + 1):
            await asyncio.sleep(_EVENT_S)
            event = f'id: {number}\ndata: {self.name}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.succeeded.add(headers['X-Request-Id'])
        if self.has_surplus():
            self._surplus_due.add(id(writer))
        return True

    async def _fail(
        self, writer: asyncio.StreamWriter, headers: dict[str, str]
    ) -> bool:
        """Answers with 500, after the surplus bytes of an earlier answer."""
        if id(writer) in self._surplus_due:
            self._surplus_due.discard(id(writer))
            writer.write(self.surplus)
            await writer.drain()
            await asyncio.sleep(_EVENT_S)
        body = b'an error'
        self.failed.add(headers['X-Request-Id'])
        headers |= {'X-Response-Seal': f'8.{headers["X-Request-Id"]}'}
        await http.write_answer(writer, 500, headers, body)
        return True

    async def _send_flood(
        self, writer: asyncio.StreamWriter, request_id: str
    ) -> None:
        """Sends bytes until the caller closes the connection."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        sent_bytes = 0
        writer.write(self.flood_head.replace(b'REQUEST', request_id.encode()))
        while True:
            writer.write(self.flood)
            await writer.drain()
            sent_bytes += len(self.flood)
            due_s = began_s + sent_bytes / self.flood_bytes_per_s
            await asyncio.sleep(max(0.0, due_s - loop.time()))
