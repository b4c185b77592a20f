"""Keeps the classes of a service in the order of their urgency."""

import math
from collections.abc import Iterable
from typing import Final

#: Time constant over which decisions are forgotten.
_FORGET_MS: Final = 30_000.0
#: Decisions from which a ratio is compared.
_DECIDED_MIN: Final = 5.0
#: Difference of ratios that is put down to chance.
_MARGIN: Final = 0.002
#: Grants after which one goes to the class that is served least.
GRANTS_PER_FLOOR: Final = 8
#: Part of the ratio of the most urgent class below which a class gets the
#: guaranteed grants; below 1, so that the class is never served more often.
_FLOOR_RATIO: Final = 0.75


class _ClassRecord:
    """Decisions on the requests of one priority, forgotten exponentially."""

    def __init__(self) -> None:
        self.decided = 0.0
        self.served = 0.0
        self.on_time = 0.0

    def fade(self, share: float) -> None:
        self.decided *= share
        self.served *= share
        self.on_time *= share

    @property
    def served_ratio(self) -> float:
        return self._ratio(self.served)

    @property
    def on_time_ratio(self) -> float:
        return self._ratio(self.on_time)

    def _ratio(self, count: float) -> float:
        return 1.0 if self.decided < _DECIDED_MIN else count / self.decided


class ClassRecords:
    """Compares how often classes are served and how often on time.

    A class that does better than a more urgent one is held back: its requests
    go behind the late ones of more urgent classes. Otherwise a stall would
    favour the class with the longest objective.
    """

    def __init__(self) -> None:
        self._records: dict[int, _ClassRecord] = {}
        self._faded_ms = 0.0
        self._since_floor = 0
        self.held_back: frozenset[int] = frozenset()

    def note(
        self,
        priority: int,
        *,
        is_new: bool,
        is_served: bool,
        is_on_time: bool,
        now_ms: float,
    ) -> None:
        """Counts a decision.

        Args:
            priority: The class.
            is_new: The caller was not refused before; callers count once,
                however often they return.
            is_served: The request starts.
            is_on_time: It is expected to be on time.
            now_ms: The present time.
        """
        record = self._records.setdefault(priority, _ClassRecord())
        record.decided += is_new
        record.served += is_served
        record.on_time += is_on_time
        self._fade(now_ms)
        self.held_back = frozenset(
            one for one in self._records if self._is_ahead(one)
        )

    def correct(self, priority: int, *, on_time: int) -> None:
        """Adds to the requests that were on time, if a forecast was wrong."""
        record = self._records.get(priority)
        if record is not None:
            record.on_time = max(0.0, record.on_time + on_time)

    def note_grant(self, priority: int, waiting: Iterable[int]) -> None:
        """Counts a grant for the guaranteed share.

        Args:
            priority: The class that got it.
            waiting: The classes that still wait.
        """
        if priority == self.floor_class(waiting):
            self._since_floor = 0
        else:
            self._since_floor += 1

    def floor_class(self, waiting: Iterable[int]) -> int | None:
        """Returns the class that is due the guaranteed grants, if any.

        It is the one that is served least of those that wait behind a more
        urgent class and are not held back.
        """
        classes = sorted(waiting)
        ratios = [
            (self._served_ratio(one), one)
            for one in classes
            if one not in self.held_back
        ]
        if len(classes) < 2 or not ratios:
            return None
        least, priority = min(ratios)
        usual = max(self._served_ratio(one) for one in range(priority + 1))
        if priority == classes[0] or least >= _FLOOR_RATIO * usual:
            return None
        return priority

    def due_class(self, waiting: Iterable[int]) -> int | None:
        """Returns the class that must get the next grant, if any."""
        if self._since_floor < GRANTS_PER_FLOOR - 1:
            return None
        return self.floor_class(waiting)

    def _served_ratio(self, priority: int) -> float:
        record = self._records.get(priority)
        return 1.0 if record is None else record.served_ratio

    def _is_ahead(self, priority: int) -> bool:
        own = self._records[priority]
        return any(
            own.served_ratio > record.served_ratio + _MARGIN
            or own.on_time_ratio > record.on_time_ratio + _MARGIN
            for urgent, record in self._records.items()
            if urgent < priority
        )

    def _fade(self, now_ms: float) -> None:
        share = math.exp((self._faded_ms - now_ms) / _FORGET_MS)
        self._faded_ms = now_ms
        for record in self._records.values():
            record.fade(share)
