"""Keeps the knowledge of one instance about the configuration young."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Final

from carobslip import control, directory, identifiers, observability
from carobslip.fleet import _configuration_reader, _read_times, _watchers

#: Pause after a read that has shown nothing new, and longest time until an
#: instance checks again whether it is a watcher.
_RETRY_S: Final = 0.5
#: Shortest wait of a watch.
_WAIT_MIN_MS: Final = 50
#: Random pause between own reads that have not renewed the knowledge, as
#: multiples of a watch.
_PAUSE_FACTORS: Final = (1.0, 3.0)


class ConfigurationFollower:
    """Watches the platform, or learns from those that do.

    The watchers of a data centre tell, with every answer, when the document
    that they hold was last known to be the newest one. An instance whose
    knowledge grows old asks them, then the instances after them in rendezvous
    order, pair by pair. It reads the platform if its own turn comes, or if no
    pair could tell: that a watcher is alive does not show that it can read.

    Args:
        own: This instance.
        readers: Returns the readers of this data centre in rendezvous order.
        reader: Reads the platform.
        node: Asks peers.
        times: Ages and pauses.
        generator: Draws the spread of the ages and the order in a pair.
        log: Receives a line for each period of own reads.
        metrics: Counts reads by cause.
    """

    def __init__(
        self,
        *,
        own: identifiers.InstanceId,
        readers: Callable[[], Sequence[directory.InstanceRecord]],
        reader: _configuration_reader.ConfigurationReader,
        node: control.Node,
        times: _read_times.ReadTimes,
        generator: random.Random,
        log: observability.EventLog,
        metrics: observability.Metrics | None = None,
    ) -> None:
        self._own = own
        self._readers = readers
        self._reader = reader
        self._node = node
        self._times = times
        self._random = generator
        self._log = log
        self._metrics = metrics or observability.NoMetrics()
        self._ask_ms = self._draw_ask_ms()
        #: Own reads pause until then while they do not renew the knowledge.
        self._paused_until_ms = 0.0
        self._reads_alone = False

    async def run(self) -> None:
        """Follows the configuration forever."""
        while True:
            if _watchers.is_watcher(self._own, self._readers()):
                await self._watch()
            else:
                await self._stand_by()

    async def _watch(self) -> None:
        if not await self._reader.read(wait_ms=self._wait_ms()):
            await asyncio.sleep(_RETRY_S)

    def _wait_ms(self) -> int:
        """Returns how long the next watch may wait.

        A watch that returns a change proves nothing about the time after it
        was sent, so the one after it ends sooner.
        """
        longest_ms = self._times.watch_ms
        age_ms = self._reader.holder.age_ms()
        if age_ms < longest_ms / 4 or age_ms > longest_ms:
            return longest_ms
        return max(_WAIT_MIN_MS, int(longest_ms - age_ms))

    async def _stand_by(self) -> None:
        missing_ms = self._ask_ms - self._age_ms()
        if missing_ms > 0:
            # The watchers may have gone; their successors take over soon.
            await asyncio.sleep(min(missing_ms / 1000, _RETRY_S))
            return
        if await self._ask_pairs():
            self._note_source(reads_alone=False)
            self._ask_ms = self._draw_ask_ms()
            return
        await self._read_alone()

    async def _ask_pairs(self) -> bool:
        """Tells whether peers have shown younger knowledge."""
        readers = self._readers()
        is_paused = self._reader.clock.now_ms() < self._paused_until_ms
        for pair_number in range(1 if is_paused else self._times.pairs):
            first = pair_number * _watchers.WATCHERS
            pair = readers[first : first + _watchers.WATCHERS]
            if not pair or any(peer.instance == self._own for peer in pair):
                return False
            if await self._ask_pair(pair):
                return True
        return False

    async def _ask_pair(self, pair: Sequence[directory.InstanceRecord]) -> bool:
        clock = self._reader.clock
        until_ms = clock.now_ms() + self._times.pair_ms
        order = self._random.sample(pair, len(pair))
        while clock.now_ms() < until_ms:
            for peer in order:
                await self._node.synchronize_with(
                    peer.control_address,
                    timeout_ms=self._times.pair_ms / 2,
                    fetch_timeout_ms=self._times.pair_ms / 2,
                )
                if self._is_young():
                    return True
            # Members of the pair may be about to read.
            await asyncio.sleep(self._times.pair_ms / 4 / 1000)
        return self._is_young()

    async def _read_alone(self) -> None:
        now_ms = self._reader.clock.now_ms()
        if now_ms < self._paused_until_ms:
            await asyncio.sleep(_RETRY_S)
            return
        self._note_source(reads_alone=True)
        self._metrics.count('configuration_reads.stale-watchers')
        await self._reader.read(wait_ms=0)
        self._ask_ms = self._draw_ask_ms()
        if not self._is_young():
            pause_ms = self._random.uniform(*_PAUSE_FACTORS)
            self._paused_until_ms = now_ms + pause_ms * self._times.watch_ms

    def _note_source(self, *, reads_alone: bool) -> None:
        if reads_alone != self._reads_alone:
            self._reads_alone = reads_alone
            self._log.write(
                observability.Event.CONFIGURATION_SOURCE_CHANGED,
                source='own reads' if reads_alone else 'watchers',
                unconfirmed_ms=round(self._age_ms()),
            )

    def _age_ms(self) -> float:
        return self._reader.holder.age_ms()

    def _is_young(self) -> bool:
        return self._age_ms() < self._times.ask_ms

    def _draw_ask_ms(self) -> float:
        return self._times.ask_ms + self._random.uniform(
            0, self._times.spread_ms
        )
