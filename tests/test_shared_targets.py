"""Guards against late starts when many entries act on the same load reports.

All entries get the reports of all targets at the same time and with a delay, so
they could send to the same free slots at once. The load ranges from half of the
targets' capacity to twice as much, evenly over the entries or not.
"""

import asyncio
import collections
import random

import pytest

from carobslip import clocks, forwarding, identifiers
from tests.fakes import forwarding as fakes
from tests.fakes import virtual

SERVICE = fakes.SERVICE
ENTRIES = 7
TARGETS = 16
SLOTS = 6
SERVICE_S = 0.6
REPORT_S = 0.2
REPORT_DELAY_S = 0.15
#: Latest start on time; with an objective of half a second, the rest is for
#: the prompt and the first pass.
START_MAX_S = 0.3
CAPACITY_RPS = TARGETS * SLOTS / SERVICE_S


class Target:
    """Runs as many requests as it has slots and queues the others."""

    def __init__(self):
        self.slots = asyncio.Semaphore(SLOTS)
        self.total = 0

    async def run(self, took_s):
        """Returns how long the request waited in the target's queue."""
        arrived_s = asyncio.get_running_loop().time()
        self.total += 1
        try:
            async with self.slots:
                waited_s = asyncio.get_running_loop().time() - arrived_s
                await asyncio.sleep(took_s)
        finally:
            self.total -= 1
        return waited_s


class Simulation:
    def __init__(self):
        self.clock = clocks.LoopClock(epoch_ms=0)
        self.random = random.Random(11)
        self.records = [
            fakes.record(f't{number}', SERVICE, slots=SLOTS)
            for number in range(TARGETS)
        ]
        self.targets = {one.target: Target() for one in self.records}
        self.trackers = [self.new_tracker(number) for number in range(ENTRIES)]
        self.admissions = [
            forwarding.Admission(
                loads=tracker,
                candidates=lambda _service: self.records,
                entries=lambda: ENTRIES,
                permits=fakes.unlimited(self.clock),
                clock=self.clock,
                generator=random.Random(number),
            )
            for number, tracker in enumerate(self.trackers)
        ]
        self.outcomes = collections.Counter()
        self.starts_s = []

    def new_tracker(self, number):
        return forwarding.LoadTracker(
            clock=self.clock,
            generator=random.Random(100 + number),
            data_centre=identifiers.DataCentreId('east'),
        )

    async def report(self):
        while True:
            totals = {name: one.total for name, one in self.targets.items()}
            asyncio.get_running_loop().call_later(
                REPORT_DELAY_S, self.deliver, totals
            )
            await asyncio.sleep(REPORT_S)

    def deliver(self, totals):
        for tracker, admission in zip(
            self.trackers, self.admissions, strict=True
        ):
            for name, total in totals.items():
                tracker.store_report(
                    name, total, valid_ms=1500, sharers=ENTRIES
                )
            admission.recheck_queues()

    async def send(self, entry):
        arrived_ms = self.clock.now_ms()
        place = await self.admissions[entry].admit(
            forwarding.Demand(
                service=SERVICE,
                priority=1,
                on_time_until_ms=arrived_ms + START_MAX_S * 1000,
                wait_until_ms=arrived_ms + 1200,
            ),
        )
        if isinstance(place, forwarding.Refusal):
            self.outcomes['refused'] += 1
            return
        waited_s = (self.clock.now_ms() - arrived_ms) / 1000
        took_s = SERVICE_S * self.random.uniform(0.5, 1.5)
        queued_s = await self.targets[place.target].run(took_s)
        total_s = waited_s + queued_s
        self.outcomes['on time' if total_s <= START_MAX_S else 'late'] += 1
        self.trackers[entry].note_success(
            place.target, (took_s + queued_s) * 1000
        )
        self.admissions[entry].release(place)

    async def run(self, rate_rps, shares, seconds=15):
        report = asyncio.ensure_future(self.report())
        await asyncio.sleep(1)
        sends = []
        for _number in range(int(rate_rps * seconds)):
            entry = self.random.choices(range(ENTRIES), shares)[0]
            sends.append(asyncio.ensure_future(self.send(entry)))
            await asyncio.sleep(self.random.expovariate(rate_rps))
        await asyncio.gather(*sends)
        report.cancel()


EVEN = [1] * ENTRIES
#: Callers keep the addresses that they resolved; one entry gets a third of all
#: requests.
UNEVEN = [3] + [1] * (ENTRIES - 1)

# name: (load / capacity, shares, minimum part on time of the possible requests)
LOADS = {
    'half': (0.5, EVEN, 0.98),
    'half, unevenly': (0.5, UNEVEN, 0.98),
    'nearly full': (0.85, EVEN, 0.9),
    'nearly full, unevenly': (0.85, UNEVEN, 0.85),
    'full': (1.0, EVEN, 0.85),
    'one and a half': (1.5, EVEN, 0.85),
    'twice': (2.0, EVEN, 0.85),
    'twice, unevenly': (2.0, UNEVEN, 0.85),
}


@pytest.mark.parametrize('name', LOADS)
def test_requests_start_on_time_with_shared_load_reports(name):
    load, shares, minimum = LOADS[name]

    async def scenario():
        simulation = Simulation()
        await simulation.run(load * CAPACITY_RPS, shares)
        return simulation

    simulation = virtual.run(scenario)
    possible = sum(simulation.outcomes.values()) * min(1, 1 / load)
    assert simulation.outcomes['on time'] >= minimum * possible
