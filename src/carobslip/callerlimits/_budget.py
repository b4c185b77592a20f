"""Bytes that callers make a process hold."""

import enum
from collections.abc import Callable
from typing import Final

#: Holders of more than this may use only a part of the budget, so that large
#: bodies and answers cannot use it up for ordinary requests.
_SMALL_BYTES: Final = 65_536
_LARGE_SHARE: Final = 0.75
#: A holder without progress for this long may lose its bytes to others.
_STALLED_S: Final = 1.0


class Use(enum.IntEnum):
    """What bytes are held for; smaller ones are released first.

    Attributes:
        HEAD: A head that is not complete.
        BODY: A body that is not complete; its request has not run.
        ANSWER: An answer that its caller does not read.
        REQUEST: A request in progress; never released before its outcome.
    """

    HEAD = 0
    BODY = 1
    ANSWER = 2
    REQUEST = 3


class Holding:
    """The bytes of one connection or request.

    Args:
        budget: Counts them.
        use: What they are held for.
        release: Frees the bytes; called when others need them.
    """

    __slots__ = (
        '_budget',
        '_release',
        'is_waiting',
        'progress_s',
        'size_bytes',
        'use',
    )

    def __init__(
        self,
        *,
        budget: 'ByteBudget',
        use: Use,
        release: Callable[[], None] | None,
    ) -> None:
        self._budget = budget
        self._release = release
        self.use = use
        self.size_bytes = 0
        self.progress_s = 0.0
        #: Whether an answer waits for more; None if it is no answer in progress.
        self.is_waiting: bool | None = None

    def resize(self, size_bytes: int) -> bool:
        """Holds this many bytes; returns False, unchanged, if they are short."""
        return self._budget.resize(self, size_bytes)

    def force(self, size_bytes: int) -> None:
        """Holds this many bytes, also above the budget, until it is trimmed."""
        self._budget.resize(self, size_bytes, is_forced=True)

    def grow(self, size_bytes: int) -> bool:
        """Holds this many bytes of an answer; False if it has to wait."""
        self.is_waiting = not self._budget.grow(self, size_bytes)
        return not self.is_waiting

    def clear(self) -> None:
        """Holds nothing any more."""
        if self.size_bytes:
            self._budget.clear(self)

    def evict(self) -> None:
        """Gives the bytes to others."""
        self.clear()
        if self._release is not None:
            self._release()

    @property
    def is_evictable(self) -> bool:
        """Whether the bytes may be given to others."""
        return self.use is not Use.REQUEST and self._release is not None


class ByteBudget:
    """Bounds the bytes that all callers together make a process hold.

    Args:
        bytes_max: The bound.
        now_s: Returns the time of the event loop.
        on_short: Called with the use that lost bytes or was refused some.
    """

    def __init__(
        self,
        *,
        bytes_max: int,
        now_s: Callable[[], float],
        on_short: Callable[[str], None],
    ) -> None:
        self.bytes_max = bytes_max
        self.used_bytes = 0
        self._now_s = now_s
        self._on_short = on_short
        self._holdings: set[Holding] = set()

    def open(
        self, use: Use, release: Callable[[], None] | None = None
    ) -> Holding:
        """Returns a holding without bytes."""
        return Holding(budget=self, use=use, release=release)

    def resize(
        self, holding: Holding, size_bytes: int, *, is_forced: bool = False
    ) -> bool:
        """Changes a holding; others without progress may lose theirs for it."""
        more_bytes = size_bytes - holding.size_bytes
        if more_bytes > 0:
            holding.progress_s = self._now_s()
            has_room = self._has_room(holding, size_bytes, more_bytes)
            if not has_room and not is_forced:
                self._note_refused(holding)
                return False
        self.used_bytes += size_bytes - holding.size_bytes
        holding.size_bytes = size_bytes
        if size_bytes:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)
        return True

    def grow(self, holding: Holding, size_bytes: int) -> bool:
        """Changes the holding of an answer, also above the budget if need be.

        Answers of unknown length would otherwise wait for bytes that are held
        by each other, and never end.
        """
        is_held = self.resize(holding, size_bytes)
        if not is_held and self._is_deadlocked(holding, size_bytes):
            is_held = self.resize(holding, size_bytes, is_forced=True)
        return is_held

    def _is_deadlocked(self, holding: Holding, size_bytes: int) -> bool:
        """Tells whether all answers in progress wait for each other's bytes."""
        kept = [one for one in self._holdings if not one.is_evictable]
        if any(one.is_waiting is False for one in kept if one is not holding):
            return False
        others_bytes = sum(one.size_bytes for one in kept) - holding.size_bytes
        return others_bytes + size_bytes > self.bytes_max * _LARGE_SHARE

    def trim(self) -> None:
        """Takes bytes from holders without progress while there are too many."""
        while self.used_bytes > self.bytes_max:
            victim = self._least_legitimate(None, is_small=False)
            if victim is None:
                return
            self._on_short(f'evicted.{victim.use.name.lower()}')
            victim.evict()

    def clear(self, holding: Holding) -> None:
        """Removes a holding's bytes."""
        self.used_bytes -= holding.size_bytes
        holding.size_bytes = 0
        self._holdings.discard(holding)

    def _note_refused(self, holding: Holding) -> None:
        # Requests in progress wait and ask again.
        if holding.use is not Use.REQUEST:
            self._on_short(f'refused.{holding.use.name.lower()}')

    def _has_room(
        self, holding: Holding, size_bytes: int, more_bytes: int
    ) -> bool:
        is_small = size_bytes <= _SMALL_BYTES
        limit = self.bytes_max if is_small else self.bytes_max * _LARGE_SHARE
        while self.used_bytes + more_bytes > limit:
            victim = self._least_legitimate(holding, is_small=is_small)
            if victim is None:
                return False
            self._on_short(f'evicted.{victim.use.name.lower()}')
            victim.evict()
        return True

    def _least_legitimate(
        self, needing: Holding | None, *, is_small: bool
    ) -> Holding | None:
        """Returns the holder without progress that has the least claim.

        For a small need it may also be a large holder with progress.
        """
        stalled_s = self._now_s() - _STALLED_S
        candidates = [
            one
            for one in self._holdings
            if one is not needing
            and one.is_evictable
            and (
                one.progress_s <= stalled_s
                or (is_small and one.size_bytes > _SMALL_BYTES)
            )
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda one: (one.use, one.progress_s))
