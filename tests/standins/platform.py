"""Stand-in for the platform: serves the configuration and the list.

Run with ``python -m tests.standins.platform IP:PORT``. Changes and faults
are posted to ``/control``.
"""

import asyncio
import sys

import msgspec
from aiohttp import web


class Control(msgspec.Struct, kw_only=True, omit_defaults=True):
    """A change of the stand-in; absent fields keep their value."""

    configuration: str | None = None
    instances: str | None = None
    down: bool | None = None
    list_down: bool | None = None
    delay_ms: int | None = None
    stale: bool | None = None


class Platform:
    """Answers and counts reads and long polls; fails on request."""

    def __init__(self) -> None:
        self.configuration = ''
        self.version = 0
        self.stale_configuration: str | None = None
        self.instances = '{"instances": []}'
        self.down = False
        self.list_down = False
        self.delay_ms = 0
        self.reads = 0
        self.changed = asyncio.Event()

    def application(self) -> web.Application:
        application = web.Application(client_max_size=4_000_000)
        application.router.add_get('/configuration', self.read)
        application.router.add_get('/instances', self.list)
        application.router.add_post('/control', self.control)
        application.router.add_get('/reads', self.count)
        return application

    async def read(self, request: web.Request) -> web.Response:
        self.reads += 1
        await asyncio.sleep(self.delay_ms / 1000)
        if self.down:
            return web.Response(status=503)
        if self.stale_configuration is not None:
            return web.Response(text=self.stale_configuration)
        after = int(request.query.get('after_version', '0'))
        wait_s = int(request.query.get('wait_ms', '0')) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while self.version <= after and wait_s:
                    await self.changed.wait()
        except TimeoutError:
            pass
        if self.down:
            return web.Response(status=503)
        if self.version <= after:
            return web.Response(status=304)
        return web.Response(text=self.configuration)

    async def list(self, request: web.Request) -> web.Response:
        self.reads += 1
        if self.list_down:
            return web.Response(status=503)
        return web.Response(text=self.instances)

    async def control(self, request: web.Request) -> web.Response:
        change = msgspec.json.decode(await request.read(), type=Control)
        self.apply(change)
        self.changed.set()
        self.changed = asyncio.Event()
        return web.Response(text='ok')

    def apply(self, change: Control) -> None:
        if change.stale is not None:
            self.stale_configuration = (
                self.configuration if change.stale else None
            )
        if change.configuration is not None:
            self.configuration = change.configuration
            import pyjson5

            try:
                self.version = pyjson5.decode(self.configuration)['version']
            except Exception:
                self.version += 1
        if change.instances is not None:
            self.instances = change.instances
        if change.down is not None:
            self.down = change.down
        if change.list_down is not None:
            self.list_down = change.list_down
        if change.delay_ms is not None:
            self.delay_ms = change.delay_ms

    async def count(self, request: web.Request) -> web.Response:
        return web.Response(text=str(self.reads))


def main() -> None:
    host, port = sys.argv[1].split(':')
    web.run_app(
        Platform().application(),
        host=host,
        port=int(port),
        print=None,
        access_log=None,
        shutdown_timeout=0.1,
    )


if __name__ == '__main__':
    main()
