"""Entries with views of each other that disagree, and one target's rate."""

import collections
import random

from carobslip import (
    directory,
    forwarding,
    hashing,
    identifiers,
    observability,
    slotbroker,
)
from carobslip.processes import _slot_brokers
from tests.fakes import forwarding as fakes

SERVICE = fakes.SERVICE
STEP_MS = 10.0
#: Longest time until all entries that are connected know of a change.
SPREAD_MS = 1000.0
#: Time until a silent entry is presumed dead.
DETECT_MS = (900.0, 1900.0)
#: A leaving entry takes no new requests after this time, and is gone then.
ACCEPT_MS = 2500.0
GONE_MS = 7200.0


class Clock:
    def __init__(self):
        self.ms = 100_000.0

    def now_ms(self):
        return self.ms

    def wall_ms(self):
        return int(self.ms)


class Process:
    """One start of an entry, with what it knows of the others."""

    def __init__(self, fleet, name):
        self.name = name
        self.fleet = fleet
        self.view = {name}
        self.sends_until_ms = float('inf')
        self.is_frozen = False
        clock = fleet.clock
        log = _Log()
        metrics = observability.NoMetrics()
        self.choice = _slot_brokers.BrokerChoice(
            own=identifiers.InstanceId(name),
            entries=lambda: [_record(one) for one in sorted(self.view)],
            is_suspect=lambda _name: False,
            clock=clock,
            log=log,
            metrics=metrics,
        )
        self.shares = slotbroker.ColdShares(
            entries=lambda: self.view,
            is_broker=self.choice.is_own,
            contended=lambda: fleet.contended,
            clock=clock,
        )
        self.pace = slotbroker.TargetPace(
            cold_rps=lambda _service: fleet.bound_rps,
            clock=clock,
            log=log,
            metrics=metrics,
            share=self.shares.broker_share,
        )
        self.loads = forwarding.LoadTracker(
            clock=clock,
            generator=fleet.random,
            data_centre=identifiers.DataCentreId('east'),
        )
        self.admission = forwarding.Admission(
            loads=self.loads,
            candidates=lambda _service: [fleet.record],
            entries=lambda: len(self.view),
            permits=fakes.unlimited(clock),
            clock=clock,
            generator=fleet.random,
            position=lambda: sum(one < name for one in self.view),
            cold_share=self.shares.own_share,
        )
        self.issuer = forwarding.PermitIssuer(clock=clock)

    def learn(self, name, *, is_alive):
        """Changes what this entry knows of another one, or of itself."""
        if is_alive:
            self.view.add(name)
        else:
            self.view.discard(name)
        self.choice.note_members_changed()
        self.shares.note_changed()

    @property
    def is_sending(self):
        return not self.is_frozen and (
            self.fleet.clock.ms < self.sends_until_ms
        )

    def send(self):
        """Sends one request if a rate allows it; tells whether it did."""
        if not self.fleet.contended:
            return self._send_alone()
        broker = self.choice.find(SERVICE)
        if broker is None:
            return self._send_alone()
        process = self.fleet.reach(self, broker.instance)
        if process is None:
            self.choice.note_silent(SERVICE, broker, 'no answer')
            return self._send_alone()
        if not process.pace.allows(self.fleet.record):
            return False
        process.pace.note_start(self.fleet.record)
        return True

    def _send_alone(self):
        demand = forwarding.Demand(
            service=SERVICE,
            priority=1,
            on_time_until_ms=self.fleet.clock.ms + 1000,
            wait_until_ms=self.fleet.clock.ms + 1000,
            cold_rps=self.fleet.bound_rps,
            spreads_cold_rate=bool(self.fleet.contended),
        )
        place = self.admission.take(demand)
        if place is None:
            return False
        self.admission.release(place)
        return True

    def send_by_permit(self, limit):
        """Sends one request if the issuer of permits allows it."""
        name = min(
            self.view,
            key=lambda one: slot_order(self.fleet.record.target, one),
            default=None,
        )
        if name is None or name == self.name:
            return self.issuer.issue(self.fleet.record.target, limit).is_granted
        process = self.fleet.reach(self, name)
        if process is None:
            return False
        return process.issuer.issue(self.fleet.record.target, limit).is_granted


class Fleet:
    """Processes whose views follow events with delays.

    Args:
        entries: Number of entries, which know each other from the start.
        bound_rps: Rate of the target that may be cold.
        is_contended: The service has a broker.
    """

    def __init__(self, *, seed, entries, bound_rps, is_contended):
        self.random = random.Random(seed)
        self.clock = Clock()
        self.bound_rps = bound_rps
        self.contended = frozenset((SERVICE,)) if is_contended else frozenset()
        self.record = fakes.record('t', SERVICE, slots=10_000)
        self.processes = {}
        self.sides = {}
        self.moments_ms = []
        #: Entries that were stopped, killed or started in the play.
        self.restarted = set()
        self.senders = []
        self._due = []
        self._order = 0
        names = [f'e{number}' for number in range(entries)]
        for name in names:
            process = Process(self, name)
            process.view.update(names)
            process.shares.note_changed()
            self.processes[name] = process

    def later(self, delay_ms, action):
        self._order += 1
        self._due.append((self.clock.ms + delay_ms, self._order, action))

    def reach(self, asking, name):
        """Returns the process of an entry that answers another one."""
        process = self.processes.get(str(name))
        if process is None or process.is_frozen:
            return None
        return process if self._is_connected(asking.name, str(name)) else None

    def _is_connected(self, one, other):
        return self.sides.get(one) == self.sides.get(other)

    def run(self, seconds, send):
        """Plays some seconds; each entry sends as much as it may."""
        until_ms = self.clock.ms + 1000 * seconds
        while self.clock.ms < until_ms:
            self.clock.ms += STEP_MS
            for due in sorted(self._due, key=lambda one: one[:2]):
                if due[0] <= self.clock.ms:
                    self._due.remove(due)
                    due[2]()
            processes = list(self.processes.values())
            self.random.shuffle(processes)
            for process in processes:
                while process.is_sending and send(process):
                    self.moments_ms.append(self.clock.ms)
                    self.senders.append(process.name)

    def spread(self, about, *, is_alive, delay_ms=(0.0, SPREAD_MS)):
        """Tells all other entries of a change, each after its own delay.

        An entry that answers again before another one has noticed its silence
        is not presumed dead there.
        """
        for process in list(self.processes.values()):
            if process.name == about:
                continue

            def tell(process=process):
                known = self.processes.get(about)
                is_silent = known is None or known.is_frozen
                is_leaving = known is not None and about not in known.view
                is_true = is_alive != (is_silent or is_leaving)
                if is_true and self._is_connected(process.name, about):
                    process.learn(about, is_alive=is_alive)

            self.later(self.random.uniform(*delay_ms), tell)

    def stop(self, name):
        """Ends an entry as planned; it starts again a while later."""
        self.restarted.add(name)
        process = self.processes[name]
        process.learn(name, is_alive=False)
        process.sends_until_ms = self.clock.ms + ACCEPT_MS
        self.spread(name, is_alive=False)
        self.later(GONE_MS, lambda: self.processes.pop(name))
        self.later(GONE_MS + 500.0, lambda: self.join(name))

    def kill(self, name):
        self.restarted.add(name)
        self.processes.pop(name)
        self.spread(name, is_alive=False, delay_ms=DETECT_MS)
        self.later(self.random.uniform(2500, 6000), lambda: self.join(name))

    def join(self, name):
        self.restarted.add(name)
        process = Process(self, name)
        self.processes[name] = process
        for other in list(self.processes):
            if other != name and self._is_connected(name, other):
                is_leaving = other not in self.processes[other].view
                if not is_leaving:
                    self.later(
                        self.random.uniform(0, 300),
                        lambda other=other: process.learn(other, is_alive=True),
                    )
        self.spread(name, is_alive=True)

    def freeze(self, name, duration_ms):
        process = self.processes[name]
        process.is_frozen = True
        self.spread(name, is_alive=False, delay_ms=DETECT_MS)

        def thaw():
            if self.processes.get(name) is process:
                process.is_frozen = False
                process.shares.note_pause()
                self.spread(name, is_alive=True)

        self.later(duration_ms, thaw)

    def split(self, names, duration_ms):
        """Separates some entries from the others, and joins them again."""
        others = set(self.processes) - set(names)
        self.sides = dict.fromkeys(names, 'apart')

        def presume_dead(name, other):
            process = self.processes.get(name)
            if process and not self._is_connected(name, other):
                process.learn(other, is_alive=False)

        def meet(name, other):
            process, met = self.processes.get(name), self.processes.get(other)
            if process and met and other in met.view:
                process.learn(other, is_alive=True)

        def heal():
            self.sides = {}
            # Entries that have started since meet the others too.
            for one in self.processes:
                for other in self.processes:
                    delay_ms = self.random.uniform(0, SPREAD_MS)
                    self.later(delay_ms, lambda pair=(one, other): meet(*pair))

        pairs = [(one, other) for one in names for other in others]
        pairs += [(other, one) for one, other in pairs]
        for one, other in pairs:
            delay_ms = self.random.uniform(*DETECT_MS)
            self.later(delay_ms, lambda pair=(one, other): presume_dead(*pair))
        self.later(duration_ms, heal)

    def most_within(self, window_ms, *, without=()):
        """Returns the most requests in any window of a length.

        Args:
            window_ms: The length.
            without: Entries whose requests are not counted.
        """
        window = collections.deque()
        most = 0
        sent = zip(self.moments_ms, self.senders, strict=True)
        for moment_ms, sender in sent:
            if sender in without:
                continue
            window.append(moment_ms)
            while window[0] <= moment_ms - window_ms:
                window.popleft()
            most = max(most, len(window))
        return most


class _Log:
    def write(self, event, **fields):
        pass


def _record(name):
    return directory.InstanceRecord(
        instance=identifiers.InstanceId(name),
        role=directory.Role.ENTRY,
        data_centre=identifiers.DataCentreId('east'),
        http_address=f'{name}:80',
        control_address=f'{name}:70',
    )


def slot_order(target, entry):
    """Returns the rank of an entry as the issuer of a target's permits."""
    return hashing.digest_names(target, entry)
