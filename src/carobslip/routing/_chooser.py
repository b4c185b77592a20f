"""Power-of-two-choices selection by the guards' last known load."""

import random
from collections.abc import Collection, Sequence

import msgspec

from carobslip import configuration, directory, identifiers
from carobslip.routing import _hints, _subset


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """A guard that may get an attempt.

    Attributes:
        guard: Record of the guard.
        why: Why it was chosen, as text for operators.
    """

    guard: directory.InstanceRecord
    why: str


class Chooser:
    """Chooses guards for attempts.

    Args:
        entry: This instance.
        fleet: Instances of the fleet.
        hints: Latest hints of the guards.
        generator: Draws the choices.
        subset_size: Maximum number of targets of one service that this entry uses.
    """

    def __init__(
        self,
        *,
        entry: identifiers.InstanceId,
        fleet: directory.Directory,
        hints: _hints.HintStore,
        generator: random.Random,
        subset_size: int = 32,
    ) -> None:
        self._entry = entry
        self._fleet = fleet
        self._hints = hints
        self._random = generator
        self._subset_size = subset_size

    def usable(
        self,
        service: identifiers.ServiceId,
        held: configuration.Configuration,
    ) -> list[directory.InstanceRecord]:
        """Returns the guards of a service that may get new work from here."""
        in_service = [
            guard
            for guard in self._fleet.guards_of(service)
            if guard.target is not None
            and not held.target_is_out(guard.target, guard.data_centre)
        ]
        return _subset.choose_subset(
            self._entry,
            in_service,
            self._subset_size,
        )

    def choose_any(
        self,
        service: identifiers.ServiceId,
        held: configuration.Configuration,
        tried: Collection[identifiers.TargetId],
    ) -> Candidate | None:
        """Chooses the less loaded of two random guards.

        Args:
            service: The service of the request.
            held: The configuration in force.
            tried: Targets that have refused the request already.
        """
        guards = [
            guard
            for guard in self.usable(service, held)
            if guard.target not in tried and self._accepts(guard)
        ]
        if not guards:
            return None
        pair = self._random.sample(guards, min(2, len(guards)))
        best = min(pair, key=self._load)
        return Candidate(
            guard=best,
            why=f'load {self._load(best):.2f}, better of {len(pair)} drawn '
            f'from {len(guards)}',
        )

    def choose_for_key(
        self,
        order: Sequence[identifiers.TargetId],
        held: configuration.Configuration,
        tried: Collection[identifiers.TargetId],
    ) -> Candidate | None:
        """Chooses the first usable guard in a key's order.

        Args:
            order: Members of the service in rendezvous order for the key.
            held: The configuration in force.
            tried: Targets that have refused the request already.
        """
        for place, target in enumerate(order):
            guard = self._fleet.guard_of(target)
            if guard is None or target in tried:
                continue
            out = held.target_is_out(target, guard.data_centre)
            if not out and self._is_reachable(guard):
                return Candidate(guard=guard, why=f'place {place} for the key')
        return None

    def _accepts(self, guard: directory.InstanceRecord) -> bool:
        known = self._known(guard)
        if known is not None and not known.hint.accepts_work:
            return False
        return self._is_reachable(guard)

    def _is_reachable(self, guard: directory.InstanceRecord) -> bool:
        usable = self._fleet.is_usable(guard.instance)
        avoided = guard.target is not None and self._hints.is_avoided(
            guard.target,
        )
        return usable and not avoided

    def _load(self, guard: directory.InstanceRecord) -> float:
        known = self._known(guard)
        return 1.0 if known is None else known.load

    def _known(
        self,
        guard: directory.InstanceRecord,
    ) -> _hints.KnownGuard | None:
        return None if guard.target is None else self._hints.find(guard.target)
