"""A process's view of the fleet, merged from the list and gossip."""

from collections.abc import Callable, Iterable

from carobslip import identifiers
from carobslip.directory import _records


class Directory:
    """Indexes the instances by name, and the guards by target and service.

    The platform's list defines which instances exist, but it lags. The
    membership protocol determines which of them are usable now.

    Args:
        is_usable: Tells whether an instance is presumed alive and not leaving.
    """

    def __init__(
        self,
        *,
        is_usable: Callable[[identifiers.InstanceId], bool] | None = None,
    ) -> None:
        self.is_usable = is_usable or (lambda _instance: True)
        self._instances: dict[
            identifiers.InstanceId,
            _records.InstanceRecord,
        ] = {}
        self._guards: dict[
            identifiers.TargetId,
            _records.InstanceRecord,
        ] = {}
        self._by_service: dict[
            identifiers.ServiceId,
            tuple[_records.InstanceRecord, ...],
        ] = {}

    def __len__(self) -> int:
        return len(self._instances)

    def replace_published(
        self,
        records: Iterable[_records.InstanceRecord],
    ) -> None:
        """Replaces all records by those of the platform's list."""
        self._instances = {record.instance: record for record in records}
        self._rebuild()

    def add(self, record: _records.InstanceRecord) -> None:
        """Adds or replaces one record."""
        if self._instances.get(record.instance) != record:
            self._instances[record.instance] = record
            self._rebuild()

    def instances(self) -> tuple[_records.InstanceRecord, ...]:
        """Returns all records."""
        return tuple(self._instances.values())

    def find(
        self,
        instance: identifiers.InstanceId,
    ) -> _records.InstanceRecord | None:
        """Returns the record of an instance."""
        return self._instances.get(instance)

    def entries(self) -> list[_records.InstanceRecord]:
        """Returns the usable entry instances that are not leaving."""
        return [
            record
            for record in self._instances.values()
            if record.role is _records.Role.ENTRY and self._is_available(record)
        ]

    def guard_of(
        self,
        target: identifiers.TargetId,
    ) -> _records.InstanceRecord | None:
        """Returns the guard of a target, usable or not."""
        return self._guards.get(target)

    def control_address_of(self, target: identifiers.TargetId) -> str | None:
        """Returns the control address of a target's guard."""
        guard = self._guards.get(target)
        return None if guard is None else guard.control_address

    def guards_of(
        self,
        service: identifiers.ServiceId,
    ) -> list[_records.InstanceRecord]:
        """Returns the usable guards of a service that are not leaving."""
        guards = self._by_service.get(service, ())
        return [record for record in guards if self._is_available(record)]

    def _is_available(self, record: _records.InstanceRecord) -> bool:
        live = record.state is _records.PublishedState.LIVE
        return live and self.is_usable(record.instance)

    def _rebuild(self) -> None:
        guards = [
            record
            for record in self._instances.values()
            if record.role is _records.Role.GUARD
        ]
        self._guards = {
            record.target: record
            for record in guards
            if record.target is not None
        }
        services: dict[
            identifiers.ServiceId,
            list[_records.InstanceRecord],
        ] = {}
        for record in guards:
            if record.service is not None:
                services.setdefault(record.service, []).append(record)
        self._by_service = {
            name: tuple(records) for name, records in services.items()
        }
