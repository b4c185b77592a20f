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
        self.history: list[dict[str, Any]] = []
        self._compacted = 0
        #: Tells whether the connection of a watch goes silent now.
        self.silences: Callable[[str], bool] = lambda _prefix: False
        #: Rises each time that the store comes back from an older copy.
        self.era = 1
        #: The store answers nothing; it ends the connections of calls.
        self.is_away = False
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

    def copy(self) -> tuple[int, dict[str, Any]]:
        """Returns a copy of the present content."""
        return self.revision, dict(self.items)

    def restore(self, copied: tuple[int, dict[str, Any]]) -> None:
        """Comes back from a copy; what was written since is gone."""
        self.revision, self.items = copied[0], dict(copied[1])
        self.history.clear()
        self._compacted = self.revision
        self.era += 1
        self.is_away = False
        self._changed.set()
        self._changed = asyncio.Event()

    def leave(self) -> None:
        """Goes away; waiting watches end."""
        self.is_away = True
        self._changed.set()
        self._changed = asyncio.Event()

    def _publish(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request: http_server.Request) -> http_server.Reply:
        answer: http_server.Reply = http_server.Answer(404)
        if request.path == '/carobslip/kv-range':
            answer = self._range(request)
        elif request.path == '/carobslip/kv-watch':
            answer = await self._watch(request)
        if self.is_away:
            request.writer.transport.abort()
            return http_server.Streamed()
        if isinstance(answer, http_server.Answer):
            answer.headers = (*answer.headers, ('Store-Era', str(self.era)))
        return answer

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
        if after < self._compacted or after > self.revision:
            return http_server.Answer(410)
        era = self.era
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
            if era != self.era:
                return http_server.Answer(410)
            if events or left_s <= 0 or self.is_away:
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
