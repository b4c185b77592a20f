"""A store in virtual time that can come back from an older copy of itself."""

import asyncio
import base64
import contextlib
import copy
import json

import aiohttp
import yarl

#: Stands for an answer that never comes.
SILENT = object()


class RestorableStore:
    """A key-value store with revisions and eras.

    ``changed_headers`` replaces the header of the era in all answers.
    """

    def __init__(self):
        self.revision = 1
        self.era = 1
        self.items = {}
        self.history = []
        self.is_down = False
        self.cut = set()
        self.page_size = 500
        self.on_page = lambda _prefix: None
        self.changed_headers = None
        self.calls = []
        self._watches_cut = 0
        #: Answers no call, and ends no connection.
        self.is_silent = False
        self._watches_silent = 0
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Writes bytes, or a JSON value."""
        content = value if isinstance(value, bytes) else _encode(value)
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
        }
        self.items[key] = item
        self._publish(item)

    def delete(self, key):
        self.revision += 1
        del self.items[key]
        self._publish({'key': key, 'revision': self.revision, 'deleted': True})

    def copy(self):
        """Returns the state that a later restore brings back."""
        return copy.deepcopy((self.revision, self.items, self.history))

    def restore(self, copied):
        """Loses what was written since a copy; the store is up again."""
        self.revision, self.items, self.history = copy.deepcopy(copied)
        self.era += 1
        self.is_down = False
        self._wake()

    def go_down(self):
        """Resets waiting calls and all calls until the restore."""
        self.is_down = True
        self._wake()

    def cut_watches(self):
        """Ends all waiting watches without an answer; the store is there."""
        self._watches_cut += 1
        self._wake()

    def silence_watches(self):
        """Makes the connections of all waiting watches silent for good."""
        self._watches_silent += 1
        self._wake()

    def speak_again(self):
        """Ends a silence; calls sent meanwhile get no answer."""
        self.is_silent = False

    def session_of(self, name):
        """Returns the HTTP session of a process."""
        return _Session(self, name)

    def calls_of(self, name):
        return sum(1 for caller, _path in self.calls if caller == name)

    def _publish(self, event):
        self.history.append(event)
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def check_reachable(self, name):
        if self.is_down or name in self.cut:
            raise aiohttp.ClientOSError(104, 'Connection reset by peer')

    def read_page(self, query):
        prefix, after = query['prefix'], query.get('after', '')
        self.on_page(prefix)
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            'items': [self.items[key] for key in keys[: self.page_size]],
            'has_more': len(keys) > self.page_size,
            'current_rev': self.revision,
        }

    async def watch(self, name, query):
        """Returns the events, or None if the revision is not known."""
        after = int(query['after'])
        cut, silent = self._watches_cut, self._watches_silent
        if after > self.revision:
            return None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query['wait_ms']) / 1000):
                while not self._events_after(after, query['prefix']):
                    await self._changed.wait()
                    self.check_reachable(name)
                    if self._watches_cut > cut:
                        raise aiohttp.ServerDisconnectedError
                    if self._watches_silent > silent or self.is_silent:
                        return SILENT
        return {
            'events': self._events_after(after, query['prefix']),
            'current_rev': self.revision,
        }

    def _events_after(self, after, prefix):
        return [
            event
            for event in self.history
            if event['revision'] > after and event['key'].startswith(prefix)
        ]


async def _never_answer(timeout):
    await asyncio.sleep(timeout.sock_read)
    raise aiohttp.SocketTimeoutError


class _Session:
    def __init__(self, store, name):
        self._store = store
        self._name = name

    @contextlib.asynccontextmanager
    async def get(self, url, *, params, timeout, allow_redirects):
        assert not allow_redirects
        store = self._store
        path = yarl.URL(url).path
        store.calls.append((self._name, path))
        await asyncio.sleep(0.002)
        store.check_reachable(self._name)
        asked_s = asyncio.get_running_loop().time()
        if store.is_silent:
            await _never_answer(timeout)
        if path.endswith('kv-watch'):
            content = await store.watch(self._name, params)
        else:
            content = store.read_page(params)
        if content is SILENT:
            spent_s = asyncio.get_running_loop().time() - asked_s
            await asyncio.sleep(timeout.sock_read - spent_s)
            raise aiohttp.SocketTimeoutError
        headers = {'Store-Era': str(store.era)}
        answer = _Response(
            headers if store.changed_headers is None else store.changed_headers,
            content,
        )
        await asyncio.sleep(0.002)
        store.check_reachable(self._name)
        yield answer


class _Response:
    def __init__(self, headers, content):
        self.status = 410 if content is None else 200
        self.headers = headers
        self.content = _Body(_encode(content))


class _Body:
    def __init__(self, content):
        self._content = content

    async def iter_any(self):
        yield self._content


def _encode(content):
    return json.dumps(content).encode()
