"""Chooses the entry that assigns the slots of a service."""

from collections.abc import Callable, Iterable
from typing import Final

from carobslip import (
    clocks,
    directory,
    hashing,
    identifiers,
    observability,
)

#: A choice is kept for this time, because it costs a digest for each entry.
_CHOICE_VALID_MS: Final = 100.0
#: A broker that did not answer is not asked again for this time.
_SILENT_MS: Final = 500.0


class BrokerChoice:
    """Chooses the same broker for a service as other entries do.

    Entries that know the same members choose the same one by hashing.

    Args:
        entries: Returns the entries that are alive, this one included.
        clock: Monotonic time.
        log: Receives changes of the broker.
        metrics: Counts them.
    """

    def __init__(
        self,
        *,
        entries: Callable[[], Iterable[directory.InstanceRecord]],
        clock: clocks.Clock,
        log: observability.EventLog,
        metrics: observability.Metrics,
    ) -> None:
        self._entries = entries
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._chosen: dict[
            identifiers.ServiceId, directory.InstanceRecord | None
        ] = {}
        self._valid_until_ms: dict[identifiers.ServiceId, float] = {}
        self._silent: dict[
            identifiers.ServiceId, tuple[identifiers.InstanceId, float]
        ] = {}

    def find(
        self, service: identifiers.ServiceId
    ) -> directory.InstanceRecord | None:
        """Returns the broker of a service; None if there is none to ask now."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._valid_until_ms.get(service, 0.0):
            self._choose(service)
        broker = self._chosen[service]
        if broker is None:
            return None
        silent, until_ms = self._silent.get(service, (None, 0.0))
        if silent == broker.instance and now_ms < until_ms:
            return None
        return broker

    def note_silent(
        self,
        service: identifiers.ServiceId,
        broker: directory.InstanceRecord,
        fault: str,
    ) -> None:
        """Records that the broker of a service did not answer."""
        self.note_members_changed()
        until_ms = self._clock.now_ms() + _SILENT_MS
        self._silent[service] = (broker.instance, until_ms)
        self._metrics.count('brokered.broker_silent')
        self._log.write(
            observability.Event.BROKER_SILENT,
            service=service,
            broker=broker.instance,
            fault=fault,
            pause_ms=_SILENT_MS,
        )

    def note_members_changed(self) -> None:
        """Makes the next choice depend on the present members."""
        self._valid_until_ms.clear()

    def _choose(self, service: identifiers.ServiceId) -> None:
        broker = min(
            self._entries(),
            key=lambda entry: hashing.digest_names(service, entry.instance),
            default=None,
        )
        previous = self._chosen.get(service)
        self._chosen[service] = broker
        self._valid_until_ms[service] = self._clock.now_ms() + _CHOICE_VALID_MS
        if _name(previous) != _name(broker):
            self._metrics.count('brokered.broker_changed')
            self._log.write(
                observability.Event.BROKER_CHANGED,
                service=service,
                broker=_name(broker),
                previous=_name(previous),
            )


def _name(entry: directory.InstanceRecord | None) -> str | None:
    return None if entry is None else entry.instance
