"""A deployment with a group of model engines, their guards and entries."""

import time
from typing import Any

from review.standins import bookings, deployment, ranks, store

_SERVICE = 'model'
_VERSION = 10


def _service() -> dict[str, Any]:
    return {
        'name': _SERVICE,
        'health_path': '/health',
        'max_conns': 408,
        'protocol': 'h1',
        'tls': False,
        'cold_s': 3.0,
        'cold_per_s': 36.0,
        'engine': {
            'slots': ranks.SLOTS,
            'kv_capacity': 140_000,
            'link_mbps': 92_000.0,
            'stride': 4,
            'step_ms': 4.55,
            'per_seq_ms': 1.81,
            'context_per_k': 0.0366,
            'read_per_s': 61_400.0,
            'sets': ranks.SETS,
            'experts': ranks.EXPERTS,
            'placements': ranks.PLACES,
            'spare': ranks.SPARE,
            'expert_mb': 1700.0,
        },
    }


class GroupSite:
    """A store, a group of engines, and a guard beside each of them.

    Args:
        record: Receives what happens.
    """

    def __init__(self, record: deployment.Record) -> None:
        self.fleet = deployment.Deployment(
            2, guards=ranks.SIZE, service=_SERVICE
        )
        self.group = ranks.Group(record.write)
        self._store = store.Store()

    async def start(self) -> None:
        """Starts everything."""
        fleet = self.fleet
        await self._store.start(fleet.store_host, fleet.store_port)
        first = bookings.configuration(_VERSION, {'tenant': ['key']})
        first['services'].append(_service())
        self._store.put('op/config', first)
        for rank, guard in zip(self.group.ranks, fleet.guards, strict=True):
            await rank.start(guard.host, guard.port)
            self._store.put(f'servers/i-{rank.number}', _entry_of(guard))
        self.group.start()
        await fleet.start_all()

    async def stop(self) -> None:
        """Ends everything."""
        self.fleet.stop()
        await self.group.stop()
        await self._store.stop()


def _entry_of(guard: deployment.Entry) -> dict[str, Any]:
    return {
        'service': _SERVICE,
        'address': guard.engine,
        'zone': guard.zone,
        'version': 'v1',
        'slots': ranks.SLOTS,
        'state': 'ready',
        'cold_left_ms': 0,
        'seq': 1,
        'born': int(time.time() * 1000),
    }
