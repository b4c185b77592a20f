"""Bounds the open connections of callers, also of each source address."""

from collections.abc import Callable
from typing import Protocol

from carobslip.callerlimits import _capacity


class Waiting(Protocol):
    """A connection that may be closed while it waits for a request."""

    source: str

    def close_waiting(self) -> bool:
        """Closes it at once; returns False if it does not wait after all."""


class _Source:
    """The connections of one source address.

    The ones without a complete request are in the order in which they began to
    wait: those that never sent one, those kept after an answer, and those whose
    body is not complete.
    """

    def __init__(self) -> None:
        self.count = 0
        self.silent: dict[Waiting, None] = {}
        self.kept: dict[Waiting, None] = {}
        self.receiving: dict[Waiting, None] = {}

    @property
    def waiting(self) -> int:
        return len(self.silent) + len(self.kept) + len(self.receiving)

    def oldest(self) -> Waiting | None:
        for waiting in (self.silent, self.kept, self.receiving):
            if waiting:
                return next(iter(waiting))
        return None

    def forget(self, connection: Waiting) -> None:
        self.silent.pop(connection, None)
        self.kept.pop(connection, None)
        self.receiving.pop(connection, None)


class ConnectionGate:
    """Decides which connections stay open.

    When there are too many, the one that has waited longest without ever sending
    a request is closed, of the address with the most waiting connections, then
    the one that has waited longest for its next request, then the one whose body
    has been incomplete for longest. A new connection is refused only if all
    others have a request in progress.

    Args:
        capacity: The limits.
        on_full: Called with what was closed.
    """

    def __init__(
        self,
        *,
        capacity: _capacity.Capacity,
        on_full: Callable[[str], None],
    ) -> None:
        self._capacity = capacity
        self._on_full = on_full
        self._sources: dict[str, _Source] = {}
        self.count = 0

    def admit(self, connection: Waiting) -> bool:
        """Counts a new connection; returns False if it must be closed."""
        own = self._sources.get(connection.source) or _Source()
        is_free = True
        if own.count >= self._capacity.source_connections_max:
            is_free = self._close_one(own, 'source')
        elif self.count >= self._capacity.connections_max:
            is_free = self._close_one(self._fullest(), 'total')
        if not is_free:
            return False
        own = self._sources.setdefault(connection.source, own)
        own.count += 1
        own.silent[connection] = None
        self.count += 1
        return True

    def note_request(self, connection: Waiting) -> None:
        """A complete request of the connection is in progress."""
        own = self._sources.get(connection.source)
        if own is not None:
            own.forget(connection)

    def note_receiving(self, connection: Waiting) -> None:
        """The body of a request arrives on the connection."""
        own = self._sources.get(connection.source)
        if own is not None:
            own.forget(connection)
            own.receiving[connection] = None

    def note_waiting(self, connection: Waiting) -> None:
        """The connection waits for its next request."""
        own = self._sources.get(connection.source)
        if own is not None:
            own.receiving.pop(connection, None)
            own.kept[connection] = None

    def note_closed(self, connection: Waiting) -> None:
        """An admitted connection was closed."""
        own = self._sources.get(connection.source)
        if own is None:
            return
        own.forget(connection)
        own.count -= 1
        self.count -= 1
        if not own.count:
            self._sources.pop(connection.source, None)

    def _fullest(self) -> _Source:
        return max(self._sources.values(), key=lambda one: one.waiting)

    def _close_one(self, source: _Source, why: str) -> bool:
        waiting = source.oldest()
        while waiting is not None:
            # Closing reports to note_closed only later in the event loop.
            source.forget(waiting)
            if waiting.close_waiting():
                self._on_full(f'closed.{why}')
                return True
            waiting = source.oldest()
        self._on_full(f'refused.{why}')
        return False
