"""Entries in virtual time that read a store which can be restored."""

import asyncio
import random

from users_platform import configuration_source, sources, store

from carobslip import clocks, directory, fleet, identifiers, processes, targets
from tests.fakes import cluster as clusters
from tests.fakes import host as hosts
from tests.fakes import network as networks
from tests.fakes import restorable_store

#: A leaving target gets no new work after this time.
DRAIN_MS = 2000
#: A configuration is in force after this time.
APPLY_MS = 2000


class StoreEntry:
    """One entry: its configuration and its list of targets."""

    def __init__(self, scene, name):
        bounds = scene.bounds
        self.name = name
        self.host = hosts.Host(name)
        self.clock = clocks.LoopClock(epoch_ms=clusters.EPOCH_MS)
        self.log = clusters.RecordingLog()
        client = store.StoreClient(
            address='store:1',
            session=scene.store.session_of(name),
            clock=self.clock,
            log=self.log,
        )
        self.member = fleet.FleetMember(
            record=directory.InstanceRecord(
                instance=identifiers.InstanceId(name),
                role=directory.Role.ENTRY,
                data_centre=identifiers.DataCentreId('east'),
                http_address=f'{name}:80',
                control_address=f'{name}:70',
            ),
            transport=networks.FakeTransport(scene.network, self.host),
            platform=configuration_source.ConfigurationSource(
                client=client, clock=self.clock, log=self.log
            ),
            clock=self.clock,
            seeds=[f'entry-{number}:70' for number in range(3)],
            generator=random.Random(name),
            log=self.log,
            times=fleet.FleetTimes(
                watch_ms=1000,
                apply_ms=APPLY_MS,
                reader_roles=frozenset((directory.Role.ENTRY,)),
                lists_instances=False,
                probing=processes.FORWARDING_ENTRY_PROBER_SETTINGS,
            ),
        )
        self.registry = targets.TargetRegistry(clock=self.clock, log=self.log)
        self._list = sources.TargetList(client=client, log=self.log, **bounds)

    @property
    def version(self):
        """The operators' version that is in force."""
        held = self.member.holder.configuration
        return held.forwarding.operators_version

    @property
    def age_ms(self):
        return self.member.holder.age_ms()

    def usable(self):
        service = identifiers.ServiceId('s1')
        return {record.target for record in self.registry.usable(service, ())}

    async def start(self):
        self.host.spawn(self._follow())
        await self.host.spawn(self.member.join())

    async def _follow(self):
        async for update in self._list.follow():
            self.registry.apply(update)


class StoreScene:
    """A store and the entries that read it."""

    def __init__(self, **bounds):
        #: Settings from which the times of the list follow.
        self.bounds = {'drain_ms': DRAIN_MS, **bounds}
        self.store = restorable_store.RestorableStore()
        self.network = networks.Network(random.Random(1))
        self.entries = []

    async def start(self, entries=3):
        await asyncio.gather(
            *(self.add(f'entry-{number}') for number in range(entries))
        )
        await asyncio.sleep(3)

    async def add(self, name):
        entry = StoreEntry(self, name)
        self.entries.append(entry)
        await entry.start()
        return entry

    def reads_since(self, begin):
        """Returns the entries that have read all items since a call."""
        return [
            name
            for name, path in self.store.calls[begin:]
            if path.endswith('kv-range')
        ]

    def cut_off(self, entry):
        """Separates an entry from the store and from all other entries."""
        self.store.cut.add(entry.name)
        for other in self.entries:
            self.network.cut(entry.name, other.name)

    def reconnect(self):
        self.store.cut.clear()
        self.network.heal()
