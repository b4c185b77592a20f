"""Fetches configurations from peers that hold newer ones."""

import asyncio
import collections
import math
import random
from collections.abc import Awaitable, Callable
from typing import Final

from carobslip import configuration, observability
from carobslip.control import _messages, _port

_PART_TIMEOUT_MS: Final = 1000.0
#: After this many consecutive unanswered requests for a part, the transfer
#: moves to another peer; the parts received so far are kept.
_UNANSWERED_MAX: Final = 2
#: Number of remembered documents that this process found invalid and does not
#: fetch again.
_REFUSED_KEPT: Final = 8
#: Interval at which `finish` checks whether the transfer has ended.
_POLL_S: Final = 0.01

AskPart = Callable[
    [str, _messages.FetchConfiguration, float],
    Awaitable[_messages.ConfigurationPart],
]


class ConfigurationFetcher:
    """Fetches the highest configuration that peers have announced.

    One document is fetched at a time, from one peer, in parts. Of the versions
    announced during a transfer, only the highest one is fetched next, and an
    interrupted transfer resumes at another peer. This bounds the bytes on the
    links by the number of processes, however often versions are announced.

    Args:
        holder: Adopts the fetched documents.
        ask: Requests a part from a peer.
        log: Receives a line for each transfer.
        pause_ms: Minimum time between the starts of two transfers.
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
        self._ahead: dict[str, configuration.DocumentOrder] = {}
        self._refused: collections.deque[tuple[int, int]] = collections.deque(
            maxlen=_REFUSED_KEPT,
        )
        self._order = configuration.DocumentOrder()
        self._content = b''
        self._next_start_ms = 0.0
        self._timed_out = False
        self._is_closed = False
        self._transfer: asyncio.Task[None] | None = None

    def note(self, address: str, order: configuration.DocumentOrder) -> None:
        """Records the order of a peer's document; starts a fetch if newer."""
        self._ahead.pop(address, None)
        if not self._is_worth_fetching(order):
            return
        if self._is_closed:
            return
        # Keeps the peers ordered by their latest announcement.
        self._ahead[address] = order
        if self._transfer is None or self._transfer.done():
            self._transfer = asyncio.ensure_future(self._fetch_all())

    async def finish(self, timeout_ms: float = math.inf) -> None:
        """Waits until the highest announced version is held or cannot be fetched.

        Versions that are announced during the wait are not waited for.

        Args:
            timeout_ms: Longest wait.
        """
        wanted = max(self._ahead.values(), default=self._holder.order)
        until_ms = self._holder.clock.now_ms() + timeout_ms
        while self._transfer is not None and not self._transfer.done():
            is_held = self._holder.order >= wanted
            if is_held or self._holder.clock.now_ms() >= until_ms:
                return
            await asyncio.wait([self._transfer], timeout=_POLL_S)

    def close(self) -> None:
        """Cancels a transfer in progress and starts no further one."""
        self._is_closed = True
        if self._transfer is not None:
            self._transfer.cancel()

    async def _fetch_all(self) -> None:
        while True:
            address = self._choose_peer()
            if address is None:
                return
            now_ms = self._holder.clock.now_ms()
            if now_ms < self._next_start_ms:
                await asyncio.sleep((self._next_start_ms - now_ms) / 1000)
                continue
            self._next_start_ms = now_ms + self._pause_ms
            await self._fetch(address)

    def _is_worth_fetching(self, order: configuration.DocumentOrder) -> bool:
        is_refused = order.document_id in self._refused
        return order > self._holder.order and not is_refused

    def _choose_peer(self) -> str | None:
        """Returns a peer that holds the highest document worth fetching.

        After a timeout it is the peer with the latest announcement, because
        many peers may have died at once.
        """
        self._ahead = {
            address: order
            for address, order in self._ahead.items()
            if self._is_worth_fetching(order)
        }
        if not self._ahead:
            return None
        highest = max(self._ahead.values())
        peers = [
            address
            for address, order in self._ahead.items()
            if order == highest
        ]
        return peers[-1] if self._timed_out else random.choice(peers)

    async def _fetch(self, address: str) -> None:
        started_ms = self._holder.clock.now_ms()
        outcome = await self._try_fetch(address)
        self._log.write(
            observability.Event.CONFIGURATION_FETCHED,
            peer=address,
            outcome=outcome,
            size_bytes=len(self._content),
            took_ms=round(self._holder.clock.now_ms() - started_ms),
            fetched=self._order.version,
            era=self._order.era,
            revision=self._order.revision,
            version=self._holder.version,
        )
        if not self._timed_out:
            self._content = b''

    async def _try_fetch(self, address: str) -> str:
        """Fetches from one peer; returns the outcome, for logs."""
        self._timed_out = False
        outcome = 'none held'
        try:
            if await self._gather_parts(address):
                return self._offer(address)
        except _port.PeerUnreachable:
            self._timed_out = True
            outcome = 'no answer'
        except configuration.MalformedPackage as fault:
            outcome = f'malformed: {fault}'
        self._ahead.pop(address, None)
        return outcome

    async def _gather_parts(self, address: str) -> bool:
        """Collects parts until a document is complete.

        Returns:
            Whether the peer holds a document.

        Raises:
            PeerUnreachable: The peer has stopped answering.
            MalformedPackage: A part is empty or out of order.
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
        """Appends a part to the content received so far.

        Raises:
            MalformedPackage: The part does not start where that content ends.
        """
        is_same = part.order.document_id == self._order.document_id
        if not is_same or part.offset != len(self._content):
            # The peer now holds another document; this part must be its first.
            if part.offset:
                raise configuration.MalformedPackage('parts out of order')
            self._content = b''
        self._order = part.order
        self._content += part.content

    async def _next_part(self, address: str) -> _messages.ConfigurationPart:
        version, digest = self._order.document_id if self._content else (0, 0)
        request = _messages.FetchConfiguration(
            version=version,
            digest=digest,
            offset=len(self._content),
        )
        unanswered = 0
        while True:
            try:
                return await self._ask(address, request, _PART_TIMEOUT_MS)
            except _port.PeerUnreachable:
                unanswered += 1
                if unanswered >= _UNANSWERED_MAX:
                    raise

    def _offer(self, address: str) -> str:
        text = configuration.unpack(self._content)
        adoption = self._holder.offer(
            text,
            source=address,
            era=self._order.era,
            revision=self._order.revision,
        )
        if adoption is configuration.Adoption.INVALID:
            self._refused.append(self._order.document_id)
        if adoption is not configuration.Adoption.ADOPTED:
            self._ahead.pop(address, None)
        return adoption.value
