"""Entries that exchange slots over a simulated network."""

import asyncio
import collections
import random

from carobslip import (
    clocks,
    configuration,
    control,
    directory,
    forwarding,
    identifiers,
    observability,
    slotbroker,
    tasks,
)
from carobslip.processes import (
    _slot_brokers,
    _slot_exchange,
    _slot_outbox,
    _slot_server,
)
from tests.fakes import cluster, host, network
from tests.fakes import forwarding as fakes

SERVICE = fakes.SERVICE
#: A service that is not contended.
OTHER = fakes.DESK


class FakeBroker:
    """Assigns slots in the order of the questions; reports do not matter."""

    def __init__(self, name, clock, records):
        self.name = name
        self.clock = clock
        self.free = [one.target for one in records for _ in range(one.slots)]
        self.queue = {}
        self.leases = {}
        self.decided = {}
        self.entries = {}
        self.outcomes = []

    @property
    def deadline_ms(self):
        return self.clock.now_ms() + 25 if self.queue else None

    def ask(self, demand):
        ticket = demand.ticket
        self.entries[ticket] = demand.entry
        if ticket in self.decided:
            return self.decided[ticket]
        if ticket not in self.queue:
            self.queue[ticket] = (
                self.clock.now_ms() + demand.wait_left_ms,
                demand,
            )
        granted = self._grant(ticket)
        return granted or slotbroker.SlotQueued(ticket=ticket)

    def _grant(self, ticket):
        excluded = self.queue[ticket][1].excluded
        usable = [target for target in self.free if target not in excluded]
        if not usable:
            return None
        self.queue.pop(ticket)
        self.free.remove(usable[0])
        granted = slotbroker.SlotGranted(
            ticket=ticket, lease=f'{self.name}/{ticket}', target=usable[0]
        )
        self.leases[granted.lease] = granted
        self.decided[ticket] = granted
        return granted

    def withdraw(self, ticket):
        self.queue.pop(ticket, None)
        self._free(f'{self.name}/{ticket}')

    def release(self, outcome):
        self.outcomes.append(outcome)
        self._free(outcome.lease)

    def _free(self, lease):
        granted = self.leases.pop(lease, None)
        if granted is not None:
            self.free.append(granted.target)

    def drop_entries(self, alive):
        for lease, granted in list(self.leases.items()):
            if self.entries[granted.ticket] not in alive:
                self._free(lease)

    def entry_of(self, ticket):
        return self.entries.get(ticket)

    def advance(self):
        decisions = []
        for ticket, (until_ms, _demand) in list(self.queue.items()):
            granted = self._grant(ticket)
            if granted is None and self.clock.now_ms() >= until_ms:
                self.queue.pop(ticket)
                granted = self.decided[ticket] = slotbroker.SlotRefused(
                    ticket=ticket, reason='waited too long', retry_after_ms=300
                )
            if granted is not None:
                decisions.append(granted)
        return decisions


class SlotEntry:
    """One entry with its own broker and admission."""

    def __init__(self, fleet, name):
        self.host = host.Host(name)
        self.log = cluster.RecordingLog()
        self.clock = clocks.LoopClock(epoch_ms=0)
        self.record = directory.InstanceRecord(
            instance=identifiers.InstanceId(name),
            role=directory.Role.ENTRY,
            data_centre=identifiers.DataCentreId('east'),
            http_address=f'{name}:80',
            control_address=f'{name}:70',
        )
        self.members = fleet.members
        self.node = control.Node(
            origin=control.Origin(
                instance=self.record.instance,
                incarnation=identifiers.Incarnation(1),
                control_address=self.record.control_address,
            ),
            holder=configuration.Holder(clock=self.clock),
            transport=network.FakeTransport(fleet.network, self.host),
            metrics=observability.NoMetrics(),
            log=self.log,
        )
        common = {
            'clock': self.clock,
            'log': self.log,
            'metrics': observability.NoMetrics(),
        }
        supervisor = tasks.Supervisor(log=self.log)
        self.broker = FakeBroker(name, self.clock, fleet.records)
        self.server = _slot_server.SlotServer(
            broker=self.broker,
            node=self.node,
            is_current=lambda: True,
            supervisor=supervisor,
            **common,
        )
        self.choice = _slot_brokers.BrokerChoice(
            own=self.record.instance,
            entries=lambda: self.members,
            is_suspect=lambda name: name in fleet.suspects,
            **common,
        )
        self.exchange = _slot_exchange.SlotExchange(
            node=self.node,
            data_centre=self.record.data_centre,
            choice=self.choice,
            server=self.server,
            outbox=_slot_outbox.SlotOutbox(
                node=self.node,
                is_member=lambda address: any(
                    record.control_address == address for record in self.members
                ),
                supervisor=supervisor,
                log=self.log,
                metrics=observability.NoMetrics(),
            ),
            generator=random.Random(1),
            **common,
        )
        self.loads = forwarding.LoadTracker(
            clock=self.clock,
            generator=random.Random(1),
            data_centre=self.record.data_centre,
        )
        self.admission = forwarding.BrokeredAdmission(
            own=forwarding.Admission(
                loads=self.loads,
                candidates=lambda _service: fleet.records,
                entries=lambda: len(self.members),
                permits=fakes.unlimited(self.clock),
                clock=self.clock,
                generator=random.Random(1),
            ),
            port=self.exchange,
            contended=lambda: frozenset((SERVICE,)),
            candidates=lambda _service: fleet.records,
            loads=self.loads,
            **common,
        )

    def ask(self, *, wait_ms=1200, **changes):
        """Starts to wait for a slot; returns the task."""
        now_ms = self.clock.now_ms()
        content = {
            'service': SERVICE,
            'priority': 1,
            'on_time_until_ms': now_ms + wait_ms,
            'wait_until_ms': now_ms + wait_ms,
            'trace': forwarding.SlotTrace(),
        }
        demand = forwarding.Demand(**{**content, **changes})
        return self.host.spawn(self.admission.admit(demand))

    def events(self, event):
        return [fields for one, fields in self.log.events if one is event]


class SlotFleet:
    """Some entries that share targets."""

    def __init__(self, *, entries=3, count=1, slots=1):
        self.network = network.Network(random.Random(1))
        self.records = [
            fakes.record(f't{number}', SERVICE, slots=slots)
            for number in range(count)
        ]
        self.members = []
        self.suspects = set()
        self.sent = collections.Counter()
        self.network.observe = self._observe
        self.lost = collections.Counter()
        self.entries = [
            SlotEntry(self, f'entry-{number}') for number in range(entries)
        ]
        self.members.extend(entry.record for entry in self.entries)

    def _observe(self, message, source, target):
        self.sent[message] += 1
        if self.lost[message]:
            self.lost[message] -= 1
            self.network.cut(source, target, both=False)
            asyncio.get_running_loop().call_later(0.002, self.network.heal)

    async def start(self):
        """Starts all; returns the broker of the service, then the others."""
        for entry in self.entries:
            await entry.node.start()
        broker = self.entries[0].choice.find(SERVICE)
        return sorted(self.entries, key=lambda one: one.record != broker)

    def end(self, ended):
        """Kills an entry, which the others know at once."""
        ended.host.kill()
        self.members.remove(ended.record)
        alive = {record.instance for record in self.members}
        for entry in self.entries:
            if entry is not ended:
                entry.choice.note_members_changed()
                entry.server.drop_entries(alive)
