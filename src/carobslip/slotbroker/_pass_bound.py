"""Bounds the requests of lock-step groups so that their passes stay short.

Answers the load in which a group with all slots in use needs longer for a pass
than its callers allow between two events. Nearly as many requests are answered
per second with fewer in progress, because part of a pass does not depend on
their number, and they are on time.
"""

from collections.abc import Callable, Collection, Iterable
from typing import Final

import msgspec

from carobslip import identifiers, targets
from carobslip.slotbroker import _leases

#: Part of the longest pause that a usual pass may take. A shift of the popular
#: experts makes passes half as long again until the map follows.
_USUAL_SHARE: Final = 0.65
#: Part of the slots that a group may always use. With fewer requests, the fixed
#: part of a pass costs more answers than shorter passes make on time.
_SLOTS_SHARE_MIN: Final = 0.75
#: Part of the slots from which measured passes are those of a busy group.
_BUSY_SHARE: Final = 0.5
#: Weight of one report. Reports show passes of up to a second ago, and the bound
#: would swing with the passes that it causes.
_REPORT_SHARE: Final = 0.25


class PassFigures(msgspec.Struct, frozen=True, kw_only=True):
    """What a service states about the passes of its targets.

    Attributes:
        fixed_ms: Part of a pass that does not depend on its requests.
        pause_ms: Longest pause between events that meets the objectives.
    """

    fixed_ms: float
    pause_ms: float


class GroupPass(msgspec.Struct, frozen=True, kw_only=True):
    """Passes of a group, as its coordinator reports them.

    Attributes:
        group: The group.
        members: Its targets.
        pass_ms: Mean length of the recent passes; 0 if unknown.
        slowest_pace: Time that its slowest rank needs relative to the usual.
        valid_ms: How long the report may be used.
    """

    group: identifiers.GroupId
    members: tuple[identifiers.TargetId, ...]
    pass_ms: float
    slowest_pace: float
    valid_ms: float


class _Group:
    def __init__(self) -> None:
        self.members: tuple[identifiers.TargetId, ...] = ()
        self.limit: float | None = None
        self.valid_until_ms = 0.0


def no_figures(service: identifiers.ServiceId) -> None:
    """States nothing about the passes of a service."""


class PassBound:
    """Tells which targets may take a request without longer passes.

    Args:
        figures: Returns the figures of a service; None if it states none.
        leases: Load of the targets.
    """

    def __init__(
        self,
        *,
        figures: Callable[[identifiers.ServiceId], PassFigures | None],
        leases: _leases.LeaseBook,
    ) -> None:
        self._figures = figures
        self._leases = leases
        self._groups: dict[identifiers.GroupId, _Group] = {}
        self._group_of: dict[identifiers.TargetId, _Group] = {}

    def store(
        self,
        report: GroupPass,
        listed: Iterable[targets.TargetRecord],
        now_ms: float,
    ) -> float | None:
        """Stores a report; returns the requests that the group may have.

        Args:
            report: The passes of a group.
            listed: The records of its members that are in use.
            now_ms: The present time.

        Returns:
            None if the group may use all of its slots.
        """
        records = list(listed)
        group = self._groups.setdefault(report.group, _Group())
        for target in group.members:
            self._group_of.pop(target, None)
        group.members = report.members
        for target in report.members:
            self._group_of[target] = group
        group.valid_until_ms = now_ms + report.valid_ms
        slots = sum(record.slots for record in records)
        wanted = self._wanted(report, records, slots, now_ms)
        if wanted is None:
            group.limit = None
        else:
            former = slots if group.limit is None else group.limit
            group.limit = former + _REPORT_SHARE * (wanted - former)
        return group.limit

    def has_room(
        self,
        target: identifiers.TargetId,
        in_progress: dict[int, int],
        now_ms: float,
    ) -> bool:
        """Tells whether the group of a target may take one more request.

        Args:
            target: The target.
            in_progress: Receives the requests of each group that was counted,
                so that one search counts each group once.
            now_ms: The present time.
        """
        group = self._group_of.get(target)
        if group is None or group.limit is None:
            return True
        if now_ms >= group.valid_until_ms:
            return True
        key = id(group)
        if key not in in_progress:
            in_progress[key] = self._count(group.members, now_ms)
        return in_progress[key] + 1 <= group.limit

    def drop_unlisted(self, listed: Collection[identifiers.TargetId]) -> None:
        """Drops groups without listed targets."""
        for name, group in list(self._groups.items()):
            if not any(target in listed for target in group.members):
                self._groups.pop(name)
                for target in group.members:
                    self._group_of.pop(target, None)

    def _count(
        self, members: Iterable[identifiers.TargetId], now_ms: float
    ) -> int:
        return sum(self._leases.load_of(target, now_ms) for target in members)

    def _wanted(
        self,
        report: GroupPass,
        records: list[targets.TargetRecord],
        slots: int,
        now_ms: float,
    ) -> float | None:
        """Returns the requests with which passes are as long as they may be."""
        figures = self._figures(records[0].service) if records else None
        if figures is None or not figures.pause_ms or not report.pass_ms:
            return None
        usual_ms = _USUAL_SHARE * figures.pause_ms
        fixed_ms = figures.fixed_ms * max(1.0, report.slowest_pace)
        if fixed_ms >= usual_ms:
            # Late whatever the number; all slots serve the most requests.
            return None
        in_progress = self._count(report.members, now_ms)
        if in_progress < _BUSY_SHARE * slots:
            return None
        each_ms = (report.pass_ms - fixed_ms) / in_progress
        if each_ms <= 0:
            return None
        wanted = (usual_ms - fixed_ms) / each_ms
        return min(float(slots), max(_SLOTS_SHARE_MIN * slots, wanted))
