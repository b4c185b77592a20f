"""Bounds the requests of targets that are cold or have just started.

Two bounds apply. A target gets no more requests a second than a cold one can
take, at any time, because a target may become cold without notice. A target
that has just been listed, restarted or recovered is *watched*: the number of
its concurrent requests grows while its answers are as fast as those of the
others.
"""

import collections
import statistics
from collections.abc import Callable, Iterable
from typing import Final

from carobslip import clocks, identifiers, observability, targets
from carobslip.slotbroker import _pace_watch, _types

#: Part of the fleet's bound that is used if no other is given, and the window in
#: which starts are counted. The bound holds for any second at the target, and the
#: time between a grant and the arrival of its request varies.
_USED_SHARE: Final = 0.8
_FLIGHT_MS: Final = 100.0
_WINDOW_MS: Final = 1000.0 + _FLIGHT_MS
#: Bounds above this one are lowered to it, which bounds the remembered starts.
_RPS_MAX: Final = 1024
#: Targets that are remembered; the oldest is dropped beyond this.
_TARGETS_MAX: Final = 4096
#: A request whose end was not reported counts for at most this long.
_IN_FLIGHT_MAX_MS: Final = 60_000.0
#: Answers from which the usual time to the first event is computed, their
#: greatest age, and the number below which there is nothing to compare with.
_USUAL_ANSWERS_MAX: Final = 64
_USUAL_ANSWERS_MIN: Final = 8
_USUAL_AGE_MAX_MS: Final = 5000.0
#: Targets first seen this soon after the broker's start were listed before.
_BROKER_START_MS: Final = 1000.0


class _Target:
    """Starts and limit of one target."""

    def __init__(self, record: targets.TargetRecord, now_ms: float) -> None:
        self.service = record.service
        self.slots = record.slots
        self.started_wall_ms = record.started_wall_ms
        self.since_ms = now_ms
        self.watch: _pace_watch.Watch | None = None
        self.in_flight: collections.deque[float] = collections.deque(
            maxlen=_RPS_MAX,
        )
        self._starts_ms: collections.deque[float] = collections.deque(
            maxlen=_RPS_MAX,
        )

    def has_started_since(self, moment_ms: float) -> bool:
        """Tells whether a request started after a moment."""
        return bool(self._starts_ms) and self._starts_ms[-1] > moment_ms

    def is_within(
        self, *, starts: int, window_ms: float, now_ms: float
    ) -> bool:
        """Tells whether one more start keeps to a number of starts."""
        if len(self._starts_ms) < starts:
            return True
        return self._starts_ms[-starts] <= now_ms - window_ms

    def note_start(self, now_ms: float) -> None:
        """Counts a request that is sent; keeps at least the last start."""
        self._starts_ms.append(now_ms)
        while self._starts_ms[0] < now_ms - _WINDOW_MS:
            self._starts_ms.popleft()
        self.in_flight.append(now_ms)
        self.drop_old(now_ms)

    def note_end(self, started_ms: float) -> None:
        """Removes the request that started at about this time."""
        if self.in_flight:
            self.in_flight.remove(
                min(self.in_flight, key=lambda one: abs(one - started_ms)),
            )

    def drop_old(self, now_ms: float) -> None:
        """Drops requests whose end has probably not been reported."""
        while self.in_flight and (
            self.in_flight[0] < now_ms - _IN_FLIGHT_MAX_MS
        ):
            self.in_flight.popleft()


class _Service:
    """What the targets of one service have in common."""

    def __init__(self) -> None:
        self.targets = 0
        self.watched = 0
        self._answers: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_USUAL_ANSWERS_MAX)
        )

    @property
    def is_mostly_watched(self) -> bool:
        """Tells whether less than half of the targets are known to be warm."""
        return 2 * self.watched > self.targets

    def note_answer(self, first_event_ms: float, now_ms: float) -> None:
        """Stores the time to the first event of a warm target."""
        self._answers.append((now_ms, first_event_ms))

    def usual_ms(self, now_ms: float) -> float | None:
        """Returns the median of recent answers; None if there are too few."""
        oldest_ms = now_ms - _USUAL_AGE_MAX_MS
        while self._answers and self._answers[0][0] < oldest_ms:
            self._answers.popleft()
        if len(self._answers) < _USUAL_ANSWERS_MIN:
            return None
        return statistics.median(answer_ms for _at, answer_ms in self._answers)

    def usual_age_ms(self, now_ms: float) -> float | None:
        """Returns the age of the newest answer of a warm target."""
        return now_ms - self._answers[-1][0] if self._answers else None


class TargetPace:
    """Tells which targets may get one more request now.

    Every start must be followed by an outcome, also for leases of entries
    that are gone, as ``CANCELLED``.

    Args:
        cold_rps: Returns the requests a second that the fleet may send to a
            target of a service that may be cold; 0 for no bound.
        clock: Monotonic time.
        log: Receives changes of the limits.
        metrics: Receives counts of them.
        share: Returns the part of ``cold_rps`` that this broker may use.
    """

    def __init__(
        self,
        *,
        cold_rps: Callable[[identifiers.ServiceId], float],
        clock: clocks.Clock,
        log: observability.EventLog,
        metrics: observability.Metrics,
        share: Callable[[identifiers.ServiceId], float] | None = None,
    ) -> None:
        self._cold_rps = cold_rps
        self._share = share or _share_of_only_broker
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._started_ms = clock.now_ms()
        self._targets: dict[identifiers.TargetId, _Target] = {}
        self._services: dict[identifiers.ServiceId, _Service] = {}

    def allows(self, record: targets.TargetRecord) -> bool:
        """Tells whether one more request may start at a target now."""
        now_ms = self._clock.now_ms()
        known = self._get(record, now_ms)
        if not self._is_within_cold_rate(known, now_ms):
            self._metrics.count('pace.held.cold')
            return False
        if not self._is_within_limit(known, now_ms):
            self._metrics.count('pace.held.limit')
            return False
        return True

    def note_start(self, record: targets.TargetRecord) -> None:
        """Counts a request that is sent to a target."""
        now_ms = self._clock.now_ms()
        self._get(record, now_ms).note_start(now_ms)

    def note_outcome(self, outcome: _types.SlotOutcome) -> None:
        """Adjusts the limit of a target to the end of a request."""
        known = self._targets.get(outcome.target)
        if known is None:
            return
        now_ms = self._clock.now_ms()
        started_ms = now_ms - outcome.took_ms
        # An earlier process of the target, or another broker, had the request.
        if started_ms < known.since_ms:
            return
        known.note_end(started_ms)
        if known.watch is None:
            if outcome.first_event_ms is not None:
                self._service(known).note_answer(outcome.first_event_ms, now_ms)
            return
        self._judge(known, known.watch, outcome, now_ms)

    def note_recovered(self, target: identifiers.TargetId) -> None:
        """Watches a target that gets requests again after failures."""
        known = self._targets.get(target)
        if known is not None:
            self._start_watch(target, known, 'recovered')

    def drop_unlisted(self, listed: Iterable[identifiers.TargetId]) -> None:
        """Drops targets that are no longer listed.

        A target that got requests within the last second is kept until a later
        call, because it may be listed again at once.
        """
        kept = set(listed)
        oldest_ms = self._clock.now_ms() - _WINDOW_MS
        for target in list(self._targets):
            is_recent = self._targets[target].has_started_since(oldest_ms)
            if target not in kept and not is_recent:
                self._drop(target)

    def _get(self, record: targets.TargetRecord, now_ms: float) -> _Target:
        known = self._targets.get(record.target)
        if known is None:
            return self._add(record, now_ms)
        known.slots = record.slots
        if known.started_wall_ms != record.started_wall_ms:
            known.started_wall_ms = record.started_wall_ms
            known.since_ms = now_ms
            known.in_flight.clear()
            self._start_watch(record.target, known, 'restarted')
        return known

    def _add(self, record: targets.TargetRecord, now_ms: float) -> _Target:
        if len(self._targets) >= _TARGETS_MAX:
            self._drop(next(iter(self._targets)))
        known = _Target(record, now_ms)
        self._targets[record.target] = known
        self._services.setdefault(known.service, _Service()).targets += 1
        is_new = now_ms - self._started_ms >= _BROKER_START_MS
        self._start_watch(
            record.target, known, 'listed' if is_new else 'broker-started'
        )
        return known

    def _drop(self, target: identifiers.TargetId) -> None:
        known = self._targets.pop(target)
        service = self._service(known)
        service.targets -= 1
        service.watched -= known.watch is not None
        if service.targets == 0:
            self._services.pop(known.service)

    def _service(self, known: _Target) -> _Service:
        return self._services[known.service]

    def _is_within_cold_rate(self, known: _Target, now_ms: float) -> bool:
        bound_rps = min(_RPS_MAX, self._cold_rps(known.service))
        if bound_rps <= 0:
            return True
        used_rps = self._share(known.service) * bound_rps
        if used_rps <= 0:
            return False
        starts = max(1, int(used_rps))
        if now_ms - self._started_ms < _WINDOW_MS:
            # The broker before this one may have used its part just now.
            starts = max(1, min(starts, int(bound_rps) - starts))
        return known.is_within(
            starts=starts,
            window_ms=max(_WINDOW_MS, 1000 / used_rps + _FLIGHT_MS),
            now_ms=now_ms,
        )

    def _is_within_limit(self, known: _Target, now_ms: float) -> bool:
        watch = known.watch
        if watch is None:
            return True
        watch.slots = known.slots
        watch.grow(now_ms, with_fleet=self._service(known).is_mostly_watched)
        known.drop_old(now_ms)
        return len(known.in_flight) < watch.requests_max

    def _start_watch(
        self,
        target: identifiers.TargetId,
        known: _Target,
        reason: str,
    ) -> None:
        limit = float(_pace_watch.start_limit(known.slots))
        if limit >= known.slots:
            return
        service = self._service(known)
        if known.watch is None:
            service.watched += 1
        else:
            limit = min(limit, known.watch.limit)
        known.watch = _pace_watch.Watch(
            slots=known.slots, now_ms=self._clock.now_ms(), limit=limit
        )
        self._log.write(
            observability.Event.TARGET_WATCHED,
            target=target,
            why=reason,
            limit=limit,
            slots=known.slots,
            cold_rps=self._cold_rps(known.service),
            watched=service.watched,
            targets=service.targets,
        )
        self._metrics.count(f'pace.watched.{reason}')
        self._metrics.level('pace.watched', self._watched())

    def _judge(
        self,
        known: _Target,
        watch: _pace_watch.Watch,
        outcome: _types.SlotOutcome,
        now_ms: float,
    ) -> None:
        service = self._service(known)
        before = watch.limit
        usual_ms = service.usual_ms(now_ms)
        watch.grow(now_ms, with_fleet=service.is_mostly_watched)
        reason = watch.judge(outcome, usual_ms, now_ms)
        if watch.is_over:
            self._end_watch(outcome.target, known, watch, now_ms)
        if reason is None:
            return
        self._metrics.count(f'pace.reduced.{reason}')
        # A target that fails every request would write a line for each.
        if before <= 1:
            return
        self._log.write(
            observability.Event.TARGET_LIMIT_REDUCED,
            target=outcome.target,
            why=reason,
            limit=round(watch.limit, 1),
            limit_before=round(before, 1),
            first_event_ms=outcome.first_event_ms,
            took_ms=outcome.took_ms,
            usual_ms=usual_ms,
            usual_age_ms=service.usual_age_ms(now_ms),
        )

    def _end_watch(
        self,
        target: identifiers.TargetId,
        known: _Target,
        watch: _pace_watch.Watch,
        now_ms: float,
    ) -> None:
        known.watch = None
        service = self._service(known)
        service.watched -= 1
        self._log.write(
            observability.Event.TARGET_WATCH_ENDED,
            target=target,
            slots=known.slots,
            took_ms=round(now_ms - watch.since_ms),
            answers=watch.answers,
            watched=service.watched,
            targets=service.targets,
        )
        self._metrics.count('pace.ended')
        self._metrics.level('pace.watched', self._watched())

    def _watched(self) -> int:
        return sum(service.watched for service in self._services.values())


def _share_of_only_broker(service: identifiers.ServiceId) -> float:
    return _USED_SHARE
