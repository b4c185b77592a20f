"""A stand-in of the platform's store: ranges and watches."""

import asyncio
import base64
import json
from collections.abc import Callable
from typing import Any

import http_server


class Store:
    """A key-value store with revisions that processes may only read."""

    def __init__(self) -> None:
        self.revision = 1
        self.items = {}
        self.history = []
        #: Tells whether the connection of a watch goes silent now.
        self.silences: Callable[[str], bool] = lambda _prefix: False
        self._changed = asyncio.Event()

    async def start(self, host: str, port: int) -> None:
        """Starts serving."""
        self._server = await http_server.serve(host, port, self._answer)

    def put(self, key: str, value: object) -> int:
        """Writes a JSON value; returns its size in bytes."""
        self.revision += 1
        content = json.dumps(value, separators=(',', ':')).encode()
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'created': self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self._publish(item)
        return len(content)

    def delete(self, key: str) -> None:
        """Removes a key."""
        self.revision += 1
        self.items.pop(key)
        self._publish({'key': key, 'revision': self.revision, 'deleted': True})

    def _publish(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request: http_server.Request) -> http_server.Reply:
        if request.path == '/carobslip/kv-range':
            return self._range(request)
        if request.path == '/carobslip/kv-watch':
            return await self._watch(request)
        return http_server.Answer(404)

    def _range(self, request: http_server.Request) -> http_server.Answer:
        prefix = request.query['prefix']
        after = request.query.get('after', '')
        items = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        return _json(
            {'items': items, 'has_more': False, 'current_rev': self.revision}
        )

    async def _watch(self, request: http_server.Request) -> http_server.Reply:
        prefix = request.query['prefix']
        if self.silences(prefix):
            return http_server.NoAnswer()
        after = int(request.query['after'])
        wait_s = int(request.query['wait_ms']) / 1000
        until_s = asyncio.get_running_loop().time() + wait_s
        while True:
            changed = self._changed
            events = [
                event
                for event in self.history
                if event['revision'] > after and event['key'].startswith(prefix)
            ]
            left_s = until_s - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return _json({'events': events, 'current_rev': self.revision})
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue


def _json(content: object) -> http_server.Answer:
    return http_server.Answer(
        200,
        json.dumps(content).encode(),
        (('Content-Type', 'application/json'),),
    )
