"""A stand-in of the platform's store."""

import asyncio
import base64
import copy
import json
import urllib.parse
from typing import Any

from review.standins import http

_LATENCY_S = 0.004


class Copy:
    """A copy of the store's content at one moment."""

    def __init__(self, items: dict[str, Any], revision: int) -> None:
        self.items = items
        self.revision = revision


class Store:
    """Items with revisions, read by ranges and watches.

    It loses what it has acknowledged only in :meth:`restore`, which raises the
    era.
    """

    def __init__(self) -> None:
        self.era = 1
        self._revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._oldest = 0
        self._changed = asyncio.Event()
        self._is_away = False
        self._server = http.Server(self._answer)

    async def start(self, host: str, port: int) -> None:
        """Starts to serve."""
        await self._server.start(host, port)

    async def stop(self) -> None:
        """Stops serving."""
        await self._server.stop()

    def put(self, key: str, value: Any) -> None:
        """Writes bytes, or a JSON value."""
        content = value if isinstance(value, bytes) else _encode(value)
        self._revision += 1
        known = self._items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self._revision,
            'created': known['created'] if known else self._revision,
            'lease': 0,
        }
        self._items[key] = item
        self._publish(item)

    def delete(self, key: str) -> None:
        """Deletes a key."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._publish(
                {'key': key, 'revision': self._revision, 'deleted': True}
            )

    def copy(self) -> Copy:
        """Copies the present content."""
        return Copy(copy.deepcopy(self._items), self._revision)

    def leave(self) -> None:
        """Answers 503 until it is back; ends waiting watches."""
        self._is_away = True
        self._wake()

    def restore(self, older: Copy) -> None:
        """Comes back with an older copy in a new era."""
        self.era += 1
        self._items = copy.deepcopy(older.items)
        self._revision = older.revision
        self._events = []
        self._oldest = older.revision
        self._is_away = False
        self._wake()

    def _publish(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(
        self, request: http.Request, writer: asyncio.StreamWriter
    ) -> bool:
        await asyncio.sleep(_LATENCY_S)
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        status, content = 503, {}
        if not self._is_away and parts.path == '/carobslip/kv-range':
            status, content = 200, self._range(query)
        elif not self._is_away and parts.path == '/carobslip/kv-watch':
            status, content = await self._watch(query)
        headers = {
            'Content-Type': 'application/json',
            'Store-Era': str(self.era),
        }
        await http.write_answer(writer, status, headers, _encode(content))
        return True

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query['prefix'], query.get('after', '')
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        return {
            'items': [self._items[key] for key in keys],
            'has_more': False,
            'current_rev': self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        era, after = self.era, int(query['after'])
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query['wait_ms']) / 1000
        while True:
            if self._is_away:
                return 503, {}
            if era != self.era or not self._oldest <= after <= self._revision:
                return 410, {}
            events = [
                event
                for event in self._events
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            if events or loop.time() >= until_s:
                return 200, {'events': events, 'current_rev': self._revision}
            changed = self._changed
            try:
                async with asyncio.timeout_at(until_s):
                    await changed.wait()
            except TimeoutError:
                continue


def _encode(value: Any) -> bytes:
    return json.dumps(value).encode()
