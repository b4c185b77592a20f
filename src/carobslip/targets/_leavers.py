"""Targets that have said in an answer that they leave."""

import collections
from typing import Final

from carobslip import identifiers
from carobslip.targets import _records

_LEAVERS_MAX: Final = 4096


class Leavers:
    """Remembers which starts of targets leave.

    A target that leaves never takes that back; only a later start under its
    name does not leave. The oldest are forgotten.
    """

    def __init__(self) -> None:
        self._started_ms: collections.OrderedDict[identifiers.TargetId, int] = (
            collections.OrderedDict()
        )

    def add(self, record: _records.TargetRecord) -> None:
        """Records that a start leaves."""
        known_ms = self._started_ms.pop(record.target, record.started_wall_ms)
        self._started_ms[record.target] = max(known_ms, record.started_wall_ms)
        if len(self._started_ms) > _LEAVERS_MAX:
            self._started_ms.popitem(last=False)

    def has_left(self, record: _records.TargetRecord) -> bool:
        """Tells whether this start, or a later one, leaves."""
        started_ms = self._started_ms.get(record.target)
        return started_ms is not None and record.started_wall_ms <= started_ms
