"""Data centres that must get no new work, also across a restore."""

from typing import Final

from carobslip import clocks, identifiers
from carobslip.configuration import _document

#: What a platform had acknowledged before it came back from an older copy has
#: been written again after this time.
_RESTORED_MS: Final = 2200.0


class WithdrawnDataCentres:
    """Data centres that operators have taken out of service.

    Withdrawals have no version of their own. So the first document of a new era
    does not end those of the era before: it may come from an older copy. They
    end with the time within which operators' changes are written again.

    Args:
        clock: Monotonic time.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._named: frozenset[identifiers.DataCentreId] = frozenset()
        self._kept: frozenset[identifiers.DataCentreId] = frozenset()
        self._kept_until_ms = 0.0

    def names(self) -> frozenset[identifiers.DataCentreId]:
        """Returns the data centres that must get no new work."""
        if self._kept and self._clock.now_ms() >= self._kept_until_ms:
            self._kept = frozenset()
        return self._named | self._kept

    def replace(
        self, document: _document.Configuration, *, is_new_era: bool
    ) -> None:
        """Puts the withdrawals of a document in force.

        Args:
            document: The document.
            is_new_era: The document before it is of an earlier era.
        """
        if is_new_era:
            self._kept = self.names()
            self._kept_until_ms = self._clock.now_ms() + _RESTORED_MS
        self._named = frozenset(
            entry.data_centre
            for entry in document.out
            if entry.data_centre is not None
        )
