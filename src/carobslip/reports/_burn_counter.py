"""Counts good and bad requests per minute in bounded memory."""

import collections
from collections.abc import Callable
from typing import Final

import msgspec

from carobslip import clocks, configuration, identifiers, verdicts

#: Windows of the report, in minutes: the short windows of the fast and the
#: slow burn rate, then the long ones.
WINDOWS_MIN: Final = (5, 30, 60, 360)

_MINUTE_MS: Final = 60_000
_SERIES_MAX: Final = 512
_OTHER_TEAMS: Final = identifiers.TeamId('(other teams)')

#: Errors of the caller, which do not count towards the service level.
_CALLER_FAULTS: Final = frozenset(
    (
        verdicts.Reason.BAD_REQUEST,
        verdicts.Reason.UNKNOWN_SERVICE,
        verdicts.Reason.BODY_TOO_LARGE,
        verdicts.Reason.KEY_CONFLICT,
        verdicts.Reason.KEY_IN_FUTURE,
        verdicts.Reason.CANCELLED,
    ),
)


class WindowCount(msgspec.Struct, frozen=True, kw_only=True):
    """Request counts of one window."""

    minutes: int
    good: int
    bad: int


class BurnSeries(msgspec.Struct, frozen=True, kw_only=True):
    """Request counts of one service and team at one entry.

    Attributes:
        service: The service.
        team: The team that sent the requests.
        good_ratio: The service's objective.
        latency_ms: A good request is answered within this time.
        windows: Counts by window, shortest first.
    """

    service: identifiers.ServiceId
    team: identifiers.TeamId
    good_ratio: float
    latency_ms: int
    windows: tuple[WindowCount, ...]


class _Minute:
    def __init__(self, number: int) -> None:
        self.number = number
        self.good = 0
        self.bad = 0


class BurnCounter:
    """Counts the requests of one entry.

    Args:
        clock: Monotonic time.
        objective_of: Returns the objective of a service.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        objective_of: Callable[
            [identifiers.ServiceId],
            configuration.Objective,
        ],
    ) -> None:
        self._clock = clock
        self._objective_of = objective_of
        self._series: dict[
            tuple[identifiers.ServiceId, identifiers.TeamId],
            collections.deque[_Minute],
        ] = {}

    def note(
        self,
        service: identifiers.ServiceId,
        team: identifiers.TeamId,
        duration_ms: float,
        outcome: verdicts.Outcome,
    ) -> None:
        """Counts one request that has ended."""
        if outcome.reason in _CALLER_FAULTS:
            return
        minute = self._current_minute(service, team)
        in_time = duration_ms <= self._objective_of(service).latency_ms
        if outcome.verdict is verdicts.Verdict.RAN and in_time:
            minute.good += 1
        else:
            minute.bad += 1

    def series(self) -> list[BurnSeries]:
        """Returns the counts of all windows."""
        now = self._minute_number()
        found = []
        for (service, team), minutes in self._series.items():
            objective = self._objective_of(service)
            found.append(
                BurnSeries(
                    service=service,
                    team=team,
                    good_ratio=objective.good_ratio,
                    latency_ms=objective.latency_ms,
                    windows=tuple(
                        _count(minutes, now, length) for length in WINDOWS_MIN
                    ),
                ),
            )
        return found

    def _current_minute(
        self,
        service: identifiers.ServiceId,
        team: identifiers.TeamId,
    ) -> _Minute:
        known = (service, team) in self._series
        if not known and len(self._series) >= _SERIES_MAX:
            team = _OTHER_TEAMS
        minutes = self._series.setdefault(
            (service, team),
            collections.deque(maxlen=max(WINDOWS_MIN)),
        )
        number = self._minute_number()
        if not minutes or minutes[-1].number != number:
            minutes.append(_Minute(number))
        return minutes[-1]

    def _minute_number(self) -> int:
        return int(self._clock.now_ms() // _MINUTE_MS)


def _count(
    minutes: 'collections.deque[_Minute]',
    now: int,
    length: int,
) -> WindowCount:
    recent = [minute for minute in minutes if now - minute.number < length]
    return WindowCount(
        minutes=length,
        good=sum(minute.good for minute in recent),
        bad=sum(minute.bad for minute in recent),
    )
