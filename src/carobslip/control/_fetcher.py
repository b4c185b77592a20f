"""Fetches configurations from peers that are ahead."""

import asyncio
import collections
import random
from collections.abc import Awaitable, Callable
from typing import Final

from carobslip import configuration, observability
from carobslip.control import _messages, _port

_PART_TIMEOUT_MS: Final = 1000.0
#: A peer that leaves so many requests for parts in a row unanswered is given
#: up; what came from it is kept.
_SILENCES_MAX: Final = 2
#: Documents that were not valid here and are not fetched again.
_REFUSED_KEPT: Final = 8
#: Who waits for a transfer looks at this interval whether it has ended.
_LOOK_S: Final = 0.01

Rank = tuple[int, int]
AskPart = Callable[
    [str, _messages.FetchConfiguration, float],
    Awaitable[_messages.ConfigurationPart],
]


class ConfigurationFetcher:
    """Brings the highest configuration that peers have spoken of.

    One document is fetched at a time, from one peer, in parts. Versions that
    come meanwhile are skipped but for the highest one, and a transfer that
    stops goes on at another peer. So the bytes on the links are bounded by
    the number of processes, however often versions are announced.

    Args:
        holder: Takes the documents.
        ask: Asks a peer for a part.
        log: Takes a line for each transfer.
        pause_ms: Least time between the starts of two transfers.
    """

    def __init__(
        self,
        *,
        holder: configuration.Holder,
        ask: AskPart,
        log: observability.EventLog,
        pause_ms: float,
    ) -> None:
        self._holder = holder
        self._ask = ask
        self._log = log
        self._pause_ms = pause_ms
        self._ahead: dict[str, Rank] = {}
        self._refused: collections.deque[Rank] = collections.deque(
            maxlen=_REFUSED_KEPT,
        )
        self._rank: Rank = (0, 0)
        self._content = b''
        self._earliest_ms = 0.0
        self._was_silent = False
        self._is_closed = False
        self._run: asyncio.Task[None] | None = None

    def note(self, address: str, rank: Rank) -> None:
        """Takes the rank of a peer's document into account."""
        self._ahead.pop(address, None)
        if rank <= self._holder.rank or rank in self._refused:
            return
        if self._is_closed:
            return
        # The peer that was heard last comes last.
        self._ahead[address] = rank
        if self._run is None or self._run.done():
            self._run = asyncio.ensure_future(self._fetch_all())

    async def finish(self) -> None:
        """Returns when what peers have ahead now is held, or does not come.

        Versions that are announced meanwhile are not waited for.
        """
        wanted = max(self._ahead.values(), default=self._holder.rank)
        while self._run is not None and not self._run.done():
            if self._holder.rank >= wanted:
                return
            await asyncio.wait([self._run], timeout=_LOOK_S)

    def close(self) -> None:
        """Gives up a transfer in progress, and begins no other one."""
        self._is_closed = True
        if self._run is not None:
            self._run.cancel()

    async def _fetch_all(self) -> None:
        while True:
            address = self._choose()
            if address is None:
                return
            now_ms = self._holder.clock.now_ms()
            if now_ms < self._earliest_ms:
                await asyncio.sleep((self._earliest_ms - now_ms) / 1000)
                continue
            self._earliest_ms = now_ms + self._pause_ms
            await self._fetch(address)

    def _choose(self) -> str | None:
        """Returns a peer with the highest rank that is worth fetching.

        After a silence it is the one that was heard last: many peers may have
        died at once.
        """
        held = self._holder.rank
        self._ahead = {
            address: rank
            for address, rank in self._ahead.items()
            if rank > held and rank not in self._refused
        }
        if not self._ahead:
            return None
        highest = max(self._ahead.values())
        peers = [
            address for address, rank in self._ahead.items() if rank == highest
        ]
        return peers[-1] if self._was_silent else random.choice(peers)

    async def _fetch(self, address: str) -> None:
        asked_ms = self._holder.clock.now_ms()
        outcome = await self._try_fetch(address)
        self._log.write(
            observability.Event.CONFIGURATION_FETCHED,
            peer=address,
            outcome=outcome,
            size_bytes=len(self._content),
            took_ms=round(self._holder.clock.now_ms() - asked_ms),
            fetched=self._rank[0],
            version=self._holder.version,
        )
        if not self._was_silent:
            self._content = b''

    async def _try_fetch(self, address: str) -> str:
        """Fetches from one peer; returns how that ended, for logs."""
        self._was_silent = False
        outcome = 'none held'
        try:
            if await self._gather_parts(address):
                return self._offer(address)
        except _port.PeerUnreachable:
            self._was_silent = True
            outcome = 'no answer'
        except configuration.MalformedPackage as fault:
            outcome = f'malformed: {fault}'
        self._ahead.pop(address, None)
        return outcome

    async def _gather_parts(self, address: str) -> bool:
        """Collects parts until a document is whole.

        Returns:
            Whether the peer holds a document at all.

        Raises:
            PeerUnreachable: The peer has gone silent.
            MalformedPackage: What it sends does not go on.
        """
        while True:
            part = await self._next_part(address)
            if not part.size_bytes:
                return False
            self._add(part)
            if len(self._content) >= part.size_bytes:
                return True
            if not part.content:
                raise configuration.MalformedPackage('a part without content')

    def _add(self, part: _messages.ConfigurationPart) -> None:
        """Adds a part to what has come.

        Raises:
            MalformedPackage: The part does not follow.
        """
        rank = part.version, part.digest
        if rank != self._rank or part.offset != len(self._content):
            # The peer has another document by now; this part opens it.
            if part.offset:
                raise configuration.MalformedPackage('parts out of order')
            self._rank = rank
            self._content = b''
        self._content += part.content

    async def _next_part(self, address: str) -> _messages.ConfigurationPart:
        version, digest = self._rank if self._content else (0, 0)
        request = _messages.FetchConfiguration(
            version=version,
            digest=digest,
            offset=len(self._content),
        )
        silences = 0
        while True:
            try:
                return await self._ask(address, request, _PART_TIMEOUT_MS)
            except _port.PeerUnreachable:
                silences += 1
                if silences >= _SILENCES_MAX:
                    raise

    def _offer(self, address: str) -> str:
        text = configuration.unpack(self._content)
        adoption = self._holder.offer(text, source=address)
        if adoption is configuration.Adoption.INVALID:
            self._refused.append(self._rank)
        if adoption is not configuration.Adoption.ADOPTED:
            self._ahead.pop(address, None)
        return adoption.value
