"""What the broker needs from other components."""

from collections.abc import Iterable
from typing import Protocol

from carobslip import identifiers, targets
from carobslip.slotbroker import _types


class TargetPacing(Protocol):
    """Limits the request rate of targets that started or recovered."""

    def allows(self, record: targets.TargetRecord) -> bool:
        """Tells whether one more request may start at a target now."""

    def note_start(self, record: targets.TargetRecord) -> None:
        """Counts a request that starts."""

    def note_outcome(self, outcome: _types.SlotOutcome) -> None:
        """Counts a request that has ended."""

    def note_recovered(self, target: identifiers.TargetId) -> None:
        """Limits a target that gets requests again after failures."""

    def drop_unlisted(self, listed: Iterable[identifiers.TargetId]) -> None:
        """Drops the state of targets that are not listed."""
