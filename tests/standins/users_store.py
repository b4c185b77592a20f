"""A fake of the users' store: ranges, watches and failures."""

import asyncio
import base64
import json

from aiohttp import web


class FakeStore:
    """A key-value store with revisions, read over HTTP and written by tests.

    ``error_status`` is the status of all answers unless it is 0, and
    ``raw_answer`` the body of all others unless it is None. ``end_watch`` ends
    the connection of each watch instead of an answer.
    """

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.compacted_revision = 0
        self.error_status = 0
        self.raw_answer = None
        self.page_size = 500
        self.calls = []
        self.bytes_per_s = None
        self.end_watch = None
        self._changed = asyncio.Event()
        self._runner = None
        self.address = ''

    async def start(self):
        application = web.Application()
        application.router.add_get('/carobslip/kv-range', self._range)
        application.router.add_get('/carobslip/kv-watch', self._watch)
        self._runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self):
        await self._runner.cleanup()

    def put(self, key, value):
        """Writes bytes, or a JSON value."""
        content = (
            value if isinstance(value, bytes) else (json.dumps(value).encode())
        )
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'created': self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self._publish(item)

    def delete(self, key):
        self.revision += 1
        self.items.pop(key)
        self._publish({'key': key, 'revision': self.revision, 'deleted': True})

    def compact(self):
        self.compacted_revision = self.revision
        self.history.clear()

    def _publish(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _range(self, request):
        self.calls.append('range')
        if self.error_status:
            return web.Response(status=self.error_status)
        prefix = request.query['prefix']
        after = request.query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return await self._answer(
            request,
            {
                'items': [self.items[key] for key in keys[: self.page_size]],
                'has_more': len(keys) > self.page_size,
                'current_rev': self.revision,
            },
        )

    async def _watch(self, request):
        self.calls.append('watch')
        if self.error_status:
            return web.Response(status=self.error_status)
        after = int(request.query['after'])
        if after < self.compacted_revision:
            return web.Response(status=410)
        prefix = request.query['prefix']
        events = self._events_after(after, prefix)
        if self.end_watch is not None:
            await asyncio.sleep(0.05)
            return await self.end_watch(request)
        if not events:
            changed = self._changed
            try:
                async with asyncio.timeout(
                    int(request.query['wait_ms']) / 1000
                ):
                    await changed.wait()
            except TimeoutError:
                pass
            events = self._events_after(after, prefix)
        return await self._answer(
            request,
            {'events': events, 'current_rev': self.revision},
        )

    async def _answer(self, request, content):
        if self.raw_answer is not None:
            return web.Response(body=self.raw_answer)
        if self.bytes_per_s is None:
            return web.json_response(content)
        body = json.dumps(content).encode()
        response = web.StreamResponse()
        response.content_length = len(body)
        await response.prepare(request)
        step = self.bytes_per_s // 50
        for start in range(0, len(body), step):
            await response.write(body[start : start + step])
            await asyncio.sleep(0.02)
        return response

    def _events_after(self, after, prefix):
        return [
            event
            for event in self.history
            if event['revision'] > after and event['key'].startswith(prefix)
        ]
