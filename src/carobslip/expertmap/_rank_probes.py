"""Probes the engines of ranks whose guards are silent."""

import asyncio
from typing import Final

from carobslip import clocks, tasks
from carobslip.expertmap import _group_times, _orders, _rank_updates

#: A rank counts as broken sooner if this many probes in a row of its engine
#: failed: then its machine is gone or hangs, not only its guard.
_FAILED_PROBES_MAX: Final = 2


class RankProbes:
    """Asks silent ranks for their reports, one request at a time for each.

    Args:
        ranks: Reaches the ranks.
        updates: Receives the reports.
        clock: Monotonic time.
        times: Times of the group.
        own_rank: Rank whose guard sends the requests.
        supervisor: Runs them.
    """

    def __init__(
        self,
        *,
        ranks: _orders.GroupRanks,
        updates: _rank_updates.LatestUpdates,
        clock: clocks.Clock,
        times: _group_times.GroupTimes,
        own_rank: int,
        supervisor: tasks.Supervisor,
    ) -> None:
        self._ranks = ranks
        self._updates = updates
        self._clock = clock
        self._times = times
        self._own_rank = own_rank
        self._supervisor = supervisor
        self._running: dict[int, asyncio.Task[None]] = {}
        self._failed: dict[int, int] = {}

    def probe_silent(self, *, size: int, epoch: int, fence: int) -> None:
        """Starts probes of the silent ranks below ``size``."""
        oldest_ms = self._clock.now_ms() - self._times.probe_after_ms
        self._failed = {
            rank: count for rank, count in self._failed.items() if rank < size
        }
        for rank in range(size):
            running = self._running.get(rank)
            is_asked = running is not None and not running.done()
            if is_asked or self._updates.is_fresh(rank, oldest_ms):
                continue
            self._running[rank] = self._supervisor.run_once(
                self._probe(rank, epoch, fence)
            )

    def note_answer(self, rank: int) -> None:
        """Records that a rank has reported."""
        self._failed.pop(rank, None)

    def has_lost_rank(self) -> bool:
        """Tells whether neither guard nor engine of a rank answers."""
        oldest_ms = self._clock.now_ms() - self._times.report_fresh_ms
        return any(
            count >= _FAILED_PROBES_MAX
            and not self._updates.is_fresh(rank, oldest_ms)
            for rank, count in self._failed.items()
        )

    async def _probe(self, rank: int, epoch: int, fence: int) -> None:
        answer = await self._ranks.order(
            rank,
            _orders.RankOrder(
                kind=_orders.OrderKind.REPORT,
                epoch=epoch,
                fence=fence,
            ),
            through=self._own_rank,
        )
        address = self._ranks.address_of(rank)
        if answer.report is None or address is None:
            # Without an address, no request was sent.
            failures = 0 if address is None else 1
            self._failed[rank] = self._failed.get(rank, 0) + failures
            return
        self._updates.store(
            _rank_updates.RankUpdate(
                report=answer.report,
                sequence=0,
                counts=b'',
                address=address,
            )
        )
        self.note_answer(answer.report.rank)
