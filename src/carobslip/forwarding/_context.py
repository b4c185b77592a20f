"""Settings, fleet state and process facilities used by forwarding."""

import random
from collections.abc import Callable

import msgspec

from carobslip import clocks, identifiers, observability
from carobslip.forwarding import _permits, _repeat_budget, _slot_ports


class ForwardingRules(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds that operators set for all entries.

    Attributes:
        key_age_max_ms: A request with a key is served only while the
            configuration was known to be the newest one within this time.
        refuses_old_keys: Whether that holds also for keys that the
            configuration knows. Those that it lacks may be newer.
        cold_factor: Multiple of ``cold_rps`` that a cold target may get.
        cold_extra_rps: Requests a second on top of that.
    """

    key_age_max_ms: float = 5000
    refuses_old_keys: bool = True
    cold_factor: float = 1
    cold_extra_rps: float = 0


class FleetView(msgspec.Struct, frozen=True, kw_only=True):
    """State of the fleet, as seen by a forwarder.

    Attributes:
        entries: Returns how many entries are alive.
        is_current: Returns False while the state of this process may be stale
            after a pause.
        position: Returns the index of this entry in the order of the names of
            those that are alive; None if it is not known.
        cold_share: Returns the part of the rate of a cold target of a service
            that this entry uses without a broker; None for an equal part.
    """

    entries: Callable[[], int]
    is_current: Callable[[], bool]
    position: Callable[[], int] | None = None
    cold_share: Callable[[identifiers.ServiceId], float] | None = None


class SharedLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on what all entries send together.

    Attributes:
        budget: Bounds repeated sends.
        permits: Shares the rates that targets have named.
        slots: Reaches the brokers of contended services; None if this entry
            decides on all requests itself.
    """

    budget: _repeat_budget.RepeatBudget
    permits: _permits.PermitGate
    slots: _slot_ports.SlotPort | None = None


class ProcessContext(msgspec.Struct, frozen=True, kw_only=True):
    """Clock, random generator, log and metrics of a process."""

    clock: clocks.Clock
    generator: random.Random
    log: observability.EventLog
    metrics: observability.Metrics
