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
#: A suspect that did not answer is not chosen for this time, which covers the
#: decision whether it has ended.
_SUSPECT_SILENT_MS: Final = 2000.0


class BrokerChoice:
    """Chooses the same broker for a service as other entries do.

    Entries that know the same members choose the same one by hashing.

    Args:
        own: This entry.
        entries: Returns the entries that may be brokers, this one included.
        is_suspect: Tells whether an entry is presumed to have ended, without
            certainty.
        clock: Monotonic time.
        log: Receives changes of the broker.
        metrics: Counts them.
    """

    def __init__(
        self,
        *,
        own: identifiers.InstanceId,
        entries: Callable[[], Iterable[directory.InstanceRecord]],
        is_suspect: Callable[[identifiers.InstanceId], bool],
        clock: clocks.Clock,
        log: observability.EventLog,
        metrics: observability.Metrics,
    ) -> None:
        self._own = own
        self._entries = entries
        self._is_suspect = is_suspect
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
        is_silent = self._was_silent(service, broker, _SILENT_MS)
        return None if is_silent else broker

    def is_own(self, service: identifiers.ServiceId) -> bool:
        """Tells whether this entry is the broker of a service."""
        self.find(service)
        broker = self._chosen[service]
        return broker is not None and broker.instance == self._own

    def note_silent(
        self,
        service: identifiers.ServiceId,
        broker: directory.InstanceRecord,
        fault: str,
    ) -> None:
        """Records that the broker of a service did not answer."""
        self.note_members_changed()
        self._silent[service] = (broker.instance, self._clock.now_ms())
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

    def _was_silent(
        self,
        service: identifiers.ServiceId,
        entry: directory.InstanceRecord,
        within_ms: float,
    ) -> bool:
        silent, noted_ms = self._silent.get(service, (None, 0.0))
        if silent != entry.instance:
            return False
        return self._clock.now_ms() - noted_ms < within_ms

    def _choose(self, service: identifiers.ServiceId) -> None:
        # All others may still ask a suspect entry; so does this one until the
        # suspect leaves a question of its own unanswered.
        usable = [
            entry
            for entry in self._entries()
            if not self._is_suspect(entry.instance)
            or not self._was_silent(service, entry, _SUSPECT_SILENT_MS)
        ]
        broker = min(
            usable,
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
