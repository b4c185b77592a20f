"""Control traffic among entries that exchange crashes."""

import asyncio
import random

from carobslip import (
    clocks,
    configuration,
    control,
    directory,
    identifiers,
    observability,
)
from carobslip.processes import _crash_exchange, _permit_exchange
from tests.fakes import host as hosts
from tests.fakes import network as networks

PROBE_S = 0.25
SEEDS = 3


class Peer:
    """Control node of one entry, which probes the others in turn."""

    def __init__(self, news, name, entry):
        self.name = name
        self.address = f'{name}:70'
        self.host = hosts.Host(name)
        self.record = directory.InstanceRecord(
            instance=identifiers.InstanceId(name),
            role=directory.Role.ENTRY,
            data_centre=identifiers.DataCentreId('east'),
            http_address=f'{name}:80',
            control_address=self.address,
        )
        clock = clocks.LoopClock(epoch_ms=0)
        self._news = news
        self.node = control.Node(
            origin=control.Origin(
                instance=identifiers.InstanceId(name),
                incarnation=identifiers.Incarnation(1),
                control_address=self.address,
            ),
            holder=configuration.Holder(clock=clock),
            transport=networks.FakeTransport(news.network, self.host),
            metrics=observability.NoMetrics(),
            log=observability.EventLog(),
        )
        self.exchange = _crash_exchange.CrashExchange(
            node=self.node,
            ledger=entry.ledger,
            peers=lambda: [
                peer.address for peer in news.peers.values() if peer is not self
            ],
            clock=clock,
            log=observability.EventLog(),
        )
        entry.permit_port.exchange = _permit_exchange.PermitExchange(
            node=self.node,
            issuer=entry.issuer,
            entries=lambda: [peer.record for peer in news.peers.values()],
            clock=clock,
            log=observability.EventLog(),
        )
        entry.consult = self.exchange.consult
        entry.position = lambda parts: _crash_exchange.position_among(
            name, list(news.peers), parts
        )

    async def run(self, seeds):
        await self.node.start()
        await self.exchange.learn(
            seed for seed in seeds if seed != self.address
        )
        while True:
            await asyncio.sleep(PROBE_S)
            others = [
                peer for peer in self._news.peers.values() if peer is not self
            ]
            if others:
                peer = self._news.random.choice(others)
                await self.node.synchronize_with(peer.address)


class News:
    """All entries that exchange crashes."""

    def __init__(self, seed=1):
        self.random = random.Random(seed)
        self.network = networks.Network(random.Random(seed))
        self.peers = {}
        self.tasks = {}

    def add(self, name, entry):
        """Connects an entry, in place of an earlier one of that name."""
        if name in self.tasks:
            self.tasks[name].cancel()
        peer = Peer(self, name, entry)
        self.peers[name] = peer
        seeds = [f'entry-{number}:70' for number in range(SEEDS)]
        self.tasks[name] = asyncio.ensure_future(peer.run(seeds))

    async def close(self):
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        for peer in self.peers.values():
            await peer.exchange.close()
