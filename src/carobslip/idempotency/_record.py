"""The deduplication record of one guard, with bounded memory."""

import asyncio
import collections
import enum
from collections.abc import Callable
from typing import Final

import msgspec

from carobslip import clocks, control, verdicts
from carobslip.idempotency import _ballot

#: Memory per key without its reply: objects, table entry and names.
KEY_OVERHEAD_BYTES: Final = 1024


class KeyState(enum.Enum):
    """Processing state of a key at this guard."""

    IDLE = 'idle'
    CLAIMING = 'claiming'
    HELD = 'held'
    RUNNING = 'running'
    DONE = 'done'
    IN_DOUBT = 'in-doubt'


class StoredReply(msgspec.Struct, frozen=True, kw_only=True):
    """A complete reply that can be replayed.

    Attributes:
        status: HTTP status of the target's answer.
        content_type: Its media type.
        content: Its body.
        outcome: The outcome of the run.
    """

    status: int
    content_type: str
    content: bytes
    outcome: verdicts.Outcome


class RecordFull(Exception):
    """No memory is left for another key within the horizon."""


class KeyRecord:
    """Mutable record of one key.

    Attributes:
        state: Processing state of the key at this guard.
        ballot: The round that holds this guard's vote.
        round: Number of this guard's own latest round; 0 before the first.
        body_digest: Digest of the request that was accepted for the key.
        reply: The stored reply; set in state DONE.
        work: The task that claims, admits and runs the key; later requests
            with the key wait for its result.
        not_before_ms: Attempts dispatched earlier, on this guard's monotonic
            clock, are refused.
    """

    def __init__(self) -> None:
        self.state = KeyState.IDLE
        self.ballot = _ballot.Ballot()
        self.round = 0
        self.body_digest: int | None = None
        self.reply: StoredReply | None = None
        self.work: asyncio.Task[StoredReply] | None = None
        self.not_before_ms = float('-inf')
        self.last_used_ms = 0.0
        self.reserved_bytes = KEY_OVERHEAD_BYTES

    @property
    def is_evictable(self) -> bool:
        """Whether no task is processing the key."""
        return self.work is None

    def standing(self, claim_round: int) -> control.RoundStanding:
        """Returns the standing of one of this guard's own rounds.

        An idle key has no open round, so all its rounds are abandoned.
        """
        if claim_round < self.round or self.state is KeyState.IDLE:
            return control.RoundStanding.ABANDONED
        if self.state is KeyState.CLAIMING:
            return control.RoundStanding.OPEN
        return control.RoundStanding.WON


class Record:
    """The keys recorded at a guard, least recently used first.

    Args:
        clock: Measures the horizon.
        horizon_ms: Returns how long a key is kept after its last use.
        max_bytes: Returns the memory limit.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        horizon_ms: Callable[[], int],
        max_bytes: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._horizon_ms = horizon_ms
        self._max_bytes = max_bytes
        self._keys: collections.OrderedDict[control.KeyRef, KeyRecord] = (
            collections.OrderedDict()
        )
        self.used_bytes = 0

    def __len__(self) -> int:
        return len(self._keys)

    def find(self, key: control.KeyRef) -> KeyRecord | None:
        """Returns the record of a key, if there is one."""
        return self._keys.get(key)

    def open(self, key: control.KeyRef) -> KeyRecord:
        """Returns the record of a key, creating it if necessary.

        Raises:
            RecordFull: No memory is left for another key.
        """
        found = self._keys.get(key)
        if found is None:
            self._reserve(KEY_OVERHEAD_BYTES)
            found = KeyRecord()
            self._keys[key] = found
        found.last_used_ms = self._clock.now_ms()
        self._keys.move_to_end(key)
        return found

    def reserve_reply(self, record: KeyRecord, reply_max_bytes: int) -> None:
        """Reserves memory for the reply of a key before it runs.

        Raises:
            RecordFull: The memory left is too small for the longest reply.
        """
        wanted = KEY_OVERHEAD_BYTES + reply_max_bytes - record.reserved_bytes
        if wanted > 0:
            self._reserve(wanted)
            record.reserved_bytes += wanted

    def release_reply(self, record: KeyRecord) -> None:
        """Releases the reserved memory that the reply does not use."""
        stored = len(record.reply.content) if record.reply else 0
        needed = KEY_OVERHEAD_BYTES + stored
        self.used_bytes -= record.reserved_bytes - needed
        record.reserved_bytes = needed

    def _reserve(self, wanted_bytes: int) -> None:
        self._evict_expired()
        if self.used_bytes + wanted_bytes > self._max_bytes():
            raise RecordFull
        self.used_bytes += wanted_bytes

    def _evict_expired(self) -> None:
        oldest_ms = self._clock.now_ms() - self._horizon_ms()
        while self._keys:
            key, record = next(iter(self._keys.items()))
            if record.last_used_ms >= oldest_ms or not record.is_evictable:
                return
            self._keys.pop(key)
            self.used_bytes -= record.reserved_bytes
