"""Stand-in for a target: a drafting engine or a plain booking service.

Run with ``python -m tests.standins.target IP:PORT``. Its ledger at
``/ledger`` lists every call that it ran, independently of the system under
test. Faults are posted to ``/fault``.
"""

import asyncio
import sys

import msgspec
from aiohttp import web


class Fault(msgspec.Struct, kw_only=True):
    """Faults to inject; an absent field injects none."""

    hang: bool = False
    reset_before_run: bool = False
    reset_after_run: bool = False
    reset_after_chunks: int = 0
    delay_ms: int = 0
    cold: bool = False


class Draft(msgspec.Struct, kw_only=True):
    """The fields of a draft that the stand-in uses."""

    model: str = ''
    stream: bool = False
    max_tokens: int = 8


class Entry(msgspec.Struct, kw_only=True):
    """Ledger entry of one call that ran."""

    path: str
    key: str
    request_id: str
    body: str
    ended: bool = False


class Target:
    """Runs calls; latency grows above ``capacity`` concurrent calls."""

    def __init__(self) -> None:
        self.ledger: list[Entry] = []
        self.fault = Fault()
        self.in_progress = 0
        self.highest_in_progress = 0
        self.capacity = 8
        self.token_ms = 4.0
        self.work_ms = 20.0

    def application(self) -> web.Application:
        application = web.Application()
        router = application.router
        router.add_get('/health', self.health)
        router.add_get('/ledger', self.show_ledger)
        router.add_post('/fault', self.set_fault)
        router.add_route('*', '/{path:.*}', self.run)
        return application

    async def health(self, request: web.Request) -> web.Response:
        return web.Response(text='ok')

    async def show_ledger(self, request: web.Request) -> web.Response:
        content = {
            'ledger': self.ledger,
            'highest_in_progress': self.highest_in_progress,
            'in_progress': self.in_progress,
        }
        return web.Response(body=msgspec.json.encode(content))

    async def set_fault(self, request: web.Request) -> web.Response:
        self.fault = msgspec.json.decode(await request.read(), type=Fault)
        return web.Response(text='ok')

    async def run(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        fault = self.fault
        if fault.reset_before_run:
            request.transport.abort()
            return web.Response()
        entry = Entry(
            path=request.path_qs,
            key=request.headers.get('Idempotency-Key', ''),
            request_id=request.headers.get('Carobslip-Request-Id', ''),
            body=body.decode(errors='replace'),
        )
        self.ledger.append(entry)
        self.in_progress += 1
        self.highest_in_progress = max(
            self.highest_in_progress,
            self.in_progress,
        )
        try:
            if fault.hang:
                await asyncio.sleep(3600)
            await asyncio.sleep(fault.delay_ms / 1000)
            if request.path.startswith('/v1/'):
                return await self.draft(request, body, entry)
            return await self.book(request, body, entry)
        finally:
            self.in_progress -= 1

    def slowdown(self) -> float:
        excess = max(1.0, self.in_progress / self.capacity)
        return excess**2 * (8.0 if self.fault.cold else 1.0)

    async def book(
        self,
        request: web.Request,
        body: bytes,
        entry: Entry,
    ) -> web.StreamResponse:
        await asyncio.sleep(self.work_ms * self.slowdown() / 1000)
        entry.ended = True
        if self.fault.reset_after_run:
            request.transport.abort()
        number = len(self.ledger)
        return web.json_response(
            {'booking': number, 'echo': body.decode(errors='replace')},
            status=201 if request.method == 'POST' else 200,
        )

    async def draft(
        self,
        request: web.Request,
        body: bytes,
        entry: Entry,
    ) -> web.StreamResponse:
        draft = msgspec.json.decode(body, type=Draft)
        if not draft.stream:
            for _ in range(draft.max_tokens):
                await asyncio.sleep(self.token_ms * self.slowdown() / 1000)
            entry.ended = True
            return web.json_response(
                {'model': draft.model, 'echo': body.decode()},
            )
        response = web.StreamResponse(
            headers={'Content-Type': 'text/event-stream'},
        )
        await response.prepare(request)
        for number in range(draft.max_tokens):
            await asyncio.sleep(self.token_ms * self.slowdown() / 1000)
            if self.fault.reset_after_chunks == number + 1:
                request.transport.abort()
                return response
            await response.write(f'data: {{"token": {number}}}\n\n'.encode())
        await response.write(b'data: [DONE]\n\n')
        entry.ended = True
        return response


def main() -> None:
    host, port = sys.argv[1].split(':')
    web.run_app(
        Target().application(),
        host=host,
        port=int(port),
        print=None,
        access_log=None,
        shutdown_timeout=0.1,
        handler_cancellation=True,
    )


if __name__ == '__main__':
    main()
