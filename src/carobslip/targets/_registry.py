"""Targets from the published list that this process may use."""

from collections.abc import Callable, Collection
from typing import Final

from carobslip import clocks, identifiers, observability
from carobslip.targets import _departures, _leavers, _records

#: Targets whose entries expired during an outage of the list register again
#: within two seconds of its recovery; the rest covers reading the list.
_EXPIRY_GRACE_MS: Final = 2200.0
#: An entry removed within this time after the last failed read may have expired
#: although its target is alive.
_OUTAGE_WINDOW_MS: Final = 2200.0


class TargetRegistry:
    """Keeps the newest report of each target.

    A target is no longer used as soon as its entry is removed, except around an
    outage of the list: then entries expire although their targets are alive,
    and a target stays in use until it has had time to register again.

    Args:
        clock: Monotonic time.
        log: Receives changes of the known targets.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        log: observability.EventLog,
        on_changed: Callable[[], None] | None = None,
    ) -> None:
        self._clock = clock
        self._log = log
        self._on_changed = on_changed
        self._records: dict[
            identifiers.TargetId,
            _records.TargetRecord,
        ] = {}
        self._replaced: set[identifiers.TargetId] = set()
        self._grace_until_ms: dict[identifiers.TargetId, float] = {}
        self._leavers = _leavers.Leavers()
        self._departures = _departures.Departures(clock=clock)
        self._failed_ms = -_OUTAGE_WINDOW_MS
        self._is_lost = False
        self.revision = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def records(self) -> tuple[_records.TargetRecord, ...]:
        """All known targets, including draining ones."""
        return tuple(self._records.values())

    def find(
        self,
        target: identifiers.TargetId,
    ) -> _records.TargetRecord | None:
        """Returns a target's newest record."""
        return self._records.get(target)

    def usable(
        self,
        service: identifiers.ServiceId,
        withdrawn: Collection[identifiers.DataCentreId],
    ) -> list[_records.TargetRecord]:
        """Returns the targets of a service that may get new work.

        Only one target runs at an address: if several are listed there, the
        entries of earlier starts have not expired yet.

        Args:
            service: The service that they must serve.
            withdrawn: Data centres that operators have taken out.
        """
        self._drop_expired()
        latest_ms: dict[str, float] = {}
        present = [
            record
            for record in self._records.values()
            if record.target not in self._replaced
            and not self._leavers.has_left(record)
        ]
        for record in present:
            started_ms = record.started_wall_ms
            known_ms = latest_ms.get(record.address, started_ms)
            latest_ms[record.address] = max(known_ms, started_ms)
        return [
            record
            for record in present
            if record.service == service
            and record.state is _records.TargetState.READY
            and record.data_centre not in withdrawn
            and record.started_wall_ms >= latest_ms[record.address]
        ]

    def note_replaced(self, target: identifiers.TargetId) -> None:
        """Excludes a target whose address was answered by another target."""
        if target in self._records and target not in self._replaced:
            self._replaced.add(target)
            self._log.write(
                observability.Event.TARGET_OUT,
                target=target,
                why='another target answers at its address',
                revision=self.revision,
            )

    def note_leaving(self, record: _records.TargetRecord) -> None:
        """Excludes the start of a target that has said that it leaves.

        The list may say otherwise for a while, or for as long as it cannot be
        read.

        Args:
            record: The target as it was called.
        """
        if self._leavers.has_left(record):
            return
        self._leavers.add(record)
        self._log.write(
            observability.Event.TARGET_OUT,
            target=record.target,
            why='it says that it leaves',
            started_wall_ms=record.started_wall_ms,
            revision=self.revision,
        )
        if self._on_changed is not None:
            self._on_changed()

    def is_leaving(self, record: _records.TargetRecord) -> bool:
        """Tells whether this start of a target has said that it leaves."""
        return self._leavers.has_left(record)

    def apply(self, update: _records.TargetUpdate) -> None:
        """Applies an update of the list."""
        if isinstance(update, _records.TargetListLost):
            self._note_lost(update)
            return
        if self._is_lost:
            self._note_reached(update.revision)
        if isinstance(update, _records.TargetListReached):
            return
        if isinstance(update, _records.TargetListRestored):
            self._note_restored()
            return
        if isinstance(update, _records.TargetSnapshot):
            self._replace_all(update)
        elif update.record is None:
            self._remove(update.target, update.revision)
        else:
            self._store(update.record, update.revision)
        self.revision = update.revision
        if self._on_changed is not None:
            self._on_changed()

    def adopt(self, snapshot: _records.TargetSnapshot) -> None:
        """Adopts a peer's list if this process has none of its own."""
        if not self._records:
            self._replace_all(snapshot)

    def _note_lost(self, update: _records.TargetListLost) -> None:
        self._failed_ms = self._clock.now_ms()
        if not self._is_lost:
            self._log.write(
                observability.Event.LIST_UNAVAILABLE,
                fault=update.fault,
                revision=self.revision,
                targets=len(self._records),
            )
        self._is_lost = True

    def _note_reached(self, revision: int) -> None:
        self._is_lost = False
        self._failed_ms = self._clock.now_ms()
        self._log.write(
            observability.Event.LIST_REACHED,
            revision=revision,
        )

    def _note_restored(self) -> None:
        # Entries written within the lost time are missing until their targets
        # write them again, as after an outage.
        self._failed_ms = self._clock.now_ms()
        self._departures.note_restored()

    def _replace_all(self, snapshot: _records.TargetSnapshot) -> None:
        listed = {record.target for record in snapshot.records}
        for target in list(self._records):
            if target not in listed:
                self._remove(target, snapshot.revision)
        for record in snapshot.records:
            self._store(record, snapshot.revision)

    def _store(self, record: _records.TargetRecord, revision: int) -> None:
        known = self._records.get(record.target)
        if known is None:
            held = self._departures.find_last_report(record.target)
            is_outdated = held is not None and record.report_order <= held
        else:
            held = known.report_order
            is_outdated = record.report_order < held
        if is_outdated:
            self._log.write(
                observability.Event.TARGET_REPORT_IGNORED,
                target=record.target,
                held=held,
                offered=record.report_order,
                revision=revision,
            )
            return
        self._grace_until_ms.pop(record.target, None)
        if known is not None and _has_moved(known, record):
            self._replaced.discard(record.target)
        self._records[record.target] = record
        if known is None or known.state is not record.state:
            self._log.write(
                observability.Event.TARGET_LISTED,
                target=record.target,
                service=record.service,
                address=record.address,
                state=record.state.value,
                revision=revision,
            )

    def _remove(self, target: identifiers.TargetId, revision: int) -> None:
        known = self._records.get(target)
        if known is None:
            return
        now_ms = self._clock.now_ms()
        if now_ms - self._failed_ms < _OUTAGE_WINDOW_MS:
            self._grace_until_ms.setdefault(
                target,
                self._failed_ms + _EXPIRY_GRACE_MS,
            )
            return
        self._forget(target, revision)

    def _drop_expired(self) -> None:
        if not self._grace_until_ms:
            return
        now_ms = self._clock.now_ms()
        for target, until_ms in list(self._grace_until_ms.items()):
            if now_ms >= until_ms:
                self._forget(target, self.revision)

    def _forget(self, target: identifiers.TargetId, revision: int) -> None:
        self._grace_until_ms.pop(target, None)
        self._replaced.discard(target)
        record = self._records.pop(target, None)
        if record is not None:
            self._departures.add(record)
            self._log.write(
                observability.Event.TARGET_UNLISTED,
                target=target,
                revision=revision,
            )


def _has_moved(
    known: _records.TargetRecord,
    record: _records.TargetRecord,
) -> bool:
    """Tells whether a target's address or start time has changed."""
    return (known.address, known.started_wall_ms) != (
        record.address,
        record.started_wall_ms,
    )
