"""Exchanges what entries know of crashes that prompts may have caused."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from carobslip import (
    clocks,
    control,
    crashes,
    hashing,
    identifiers,
    observability,
    tasks,
)

#: Crashes noticed within this time are sent together.
_BATCH_S: Final = 0.005
_ANSWER_TIMEOUT_MS: Final = 150.0
_START_TIMEOUT_MS: Final = 250.0
#: Peers that are asked at the same time.
_CONCURRENT_MAX: Final = 16
#: Minimum time between two exchanges with a peer that knows something else.
_REPEAT_MS: Final = 200.0


class CrashExchange:
    """Keeps the crashes that this process knows equal to those of its peers.

    A new crash is sent to all peers at once. Whoever misses it notices from the
    digest that every message carries.

    Args:
        node: Control traffic of this process.
        ledger: The crashes that are known.
        peers: Returns the control addresses of the other entries.
        clock: Monotonic time.
        log: Receives peers that do not answer.
    """

    def __init__(
        self,
        *,
        node: control.Node,
        ledger: crashes.CrashLedger,
        peers: Callable[[], Iterable[str]],
        clock: clocks.Clock,
        log: observability.EventLog,
    ) -> None:
        self._node = node
        self._ledger = ledger
        self._peers = peers
        self._clock = clock
        self._log = log
        self._next_round: asyncio.Future[None] | None = None
        self._exchanged_ms: dict[str, float] = {}
        self._supervisor = tasks.Supervisor(log=log)
        node.register_handler(control.CrashReports, self._answer)
        node.compare_crashes(lambda: ledger.digest, self._on_differ)

    async def consult(self) -> None:
        """Sends all crashes to all peers, and merges those that they know."""
        if self._next_round is None:
            self._next_round = self._supervisor.run_once(self._run_round())
        await asyncio.shield(self._next_round)

    async def learn(self, addresses: Iterable[str]) -> None:
        """Asks some peers for the crashes that they know."""
        await asyncio.gather(
            *(
                self._exchange(address, _START_TIMEOUT_MS)
                for address in addresses
            ),
        )

    async def close(self) -> None:
        """Ends all exchanges."""
        await self._supervisor.close()

    async def _run_round(self) -> None:
        await asyncio.sleep(_BATCH_S)
        self._next_round = None
        free = asyncio.Semaphore(_CONCURRENT_MAX)

        async def exchange(address: str) -> None:
            async with free:
                await self._exchange(address, _ANSWER_TIMEOUT_MS)

        await asyncio.gather(*map(exchange, self._peers()))

    async def _exchange(self, address: str, timeout_ms: float) -> None:
        self._exchanged_ms[address] = self._clock.now_ms()
        try:
            answer = await self._node.ask(
                address,
                control.CrashReports(records=self._ledger.records()),
                answer=control.CrashReports,
                timeout_ms=timeout_ms,
            )
        except control.PeerUnreachable as fault:
            self._log.write(
                observability.Event.PEER_SILENT,
                address=address,
                fault=str(fault),
            )
            return
        self._ledger.merge(answer.records, source=address)

    async def _answer(
        self,
        request: control.CrashReports,
        origin: control.Origin,
    ) -> control.CrashReports:
        self._exchanged_ms[origin.control_address] = self._clock.now_ms()
        self._ledger.merge(request.records, source=origin.instance)
        return control.CrashReports(records=self._ledger.records())

    def _on_differ(self, origin: control.Origin) -> None:
        address = origin.control_address
        now_ms = self._clock.now_ms()
        if now_ms - self._exchanged_ms.get(address, -_REPEAT_MS) < _REPEAT_MS:
            return
        self._supervisor.run_once(
            self._exchange(address, _ANSWER_TIMEOUT_MS),
        )


def position_among(
    own: identifiers.InstanceId,
    entries: Iterable[identifiers.InstanceId],
    parts: Iterable[identifiers.PromptPart],
) -> int:
    """Returns how many entries precede this one for certain parts.

    All entries compute the same order.
    """
    names = sorted(parts)

    def rank(entry: identifiers.InstanceId) -> int:
        return hashing.digest_names(*names, entry)

    return sum(rank(entry) < rank(own) for entry in entries)
