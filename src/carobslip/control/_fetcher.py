"""Fetches configurations from peers that are ahead."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final

from carobslip import configuration, observability
from carobslip.control import _messages, _port

_PART_TIMEOUT_MS: Final = 1000.0
#: A peer that leaves so many requests for parts in a row unanswered is given
#: up; what came from it is kept.
_SILENCES_MAX: Final = 2

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
        self._refused: Rank = (0, 0)
        self._rank: Rank = (0, 0)
        self._content = b''
        self._earliest_ms = 0.0
        self._run: asyncio.Task[None] | None = None

    def note(self, address: str, rank: Rank) -> None:
        """Takes the rank of a peer's document into account."""
        if rank <= self._holder.rank or rank == self._refused:
            self._ahead.pop(address, None)
            return
        self._ahead[address] = rank
        if self._run is None or self._run.done():
            self._run = asyncio.ensure_future(self._fetch_all())

    async def finish(self) -> None:
        """Returns when no peer that answers is ahead any more."""
        if self._run is not None:
            await asyncio.wait([self._run])

    def close(self) -> None:
        """Gives up a transfer in progress."""
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
        """Returns a peer with the highest rank that is worth fetching."""
        held = self._holder.rank
        self._ahead = {
            address: rank
            for address, rank in self._ahead.items()
            if rank > held and rank != self._refused
        }
        if not self._ahead:
            return None
        highest = max(self._ahead.values())
        return random.choice(
            [
                address
                for address, rank in self._ahead.items()
                if rank == highest
            ],
        )

    async def _fetch(self, address: str) -> None:
        asked_ms = self._holder.clock.now_ms()
        try:
            is_whole = await self._gather_parts(address)
        except _port.PeerUnreachable:
            self._ahead.pop(address, None)
            outcome = 'no answer'
        else:
            outcome = self._offer(address) if is_whole else 'none held'
            if not is_whole:
                self._ahead.pop(address, None)
        self._log.write(
            observability.Event.CONFIGURATION_FETCHED,
            peer=address,
            outcome=outcome,
            size_bytes=len(self._content),
            took_ms=round(self._holder.clock.now_ms() - asked_ms),
            fetched=self._rank[0],
            version=self._holder.version,
        )
        if outcome != 'no answer':
            self._content = b''

    async def _gather_parts(self, address: str) -> bool:
        """Collects parts until a document is whole.

        Returns:
            Whether the peer holds a document at all.

        Raises:
            PeerUnreachable: The peer has gone silent.
        """
        while True:
            part = await self._next_part(address)
            rank = part.version, part.digest
            if not part.size_bytes:
                return False
            if rank != self._rank or part.offset != len(self._content):
                # The peer has another document by now; this part opens it.
                self._rank = rank
                self._content = b''
            self._content += part.content
            if len(self._content) >= part.size_bytes:
                return True

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
        try:
            text = configuration.unpack(self._content)
        except configuration.MalformedPackage as fault:
            self._ahead.pop(address, None)
            return f'malformed: {fault}'
        adoption = self._holder.offer(text, source=address)
        if adoption is configuration.Adoption.INVALID:
            self._refused = self._rank
        if adoption is not configuration.Adoption.ADOPTED:
            self._ahead.pop(address, None)
        return adoption.value
