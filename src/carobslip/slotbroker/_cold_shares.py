"""Divides the rate of targets that may be cold among those who send to them.

Answers the load in which a target takes a few requests a second, whoever sends
them, while entries start, stop and disagree about each other. Nobody knows what
another entry has sent in the last second, so a part of the rate that grows is
used only after its former users can no longer use it, and a part that shrinks
shrinks at once.
"""

import collections
import math
from collections.abc import Callable, Iterable
from typing import Final

from carobslip import clocks, identifiers

#: Part of the rate that a settled broker uses. The bound holds for any second at
#: the target, and the time between a grant and the arrival of its request
#: varies.
_BROKER_SHARE: Final = 0.7
#: Part of a broker that has just become one, or has just ceased to be one. It is
#: small because a former broker, several new ones and entries that decide for
#: themselves may send in the same second. An entry that is asked without having
#: been the broker grants nothing.
_UNSETTLED_SHARE: Final = 0.1
#: Part that all entries together use without a broker, for services that have
#: none, and for services that have one while it does not answer.
_OWN_SHARE: Final = 0.8
_UNANSWERED_SHARE: Final = 0.1
#: Time after which all entries know of a change of the members, and requests that
#: were sent before they knew count no longer.
_SETTLED_MS: Final = 2200.0
#: An entry that is no longer listed may still send for this long, or be alive on
#: the other side of a partition.
_REMEMBERED_MS: Final = 30_000.0
_COUNT_INTERVAL_MS: Final = 100.0


class ColdShares:
    """Tells which part of the rate of a target this entry may use.

    Args:
        entries: Returns the names of the entries that are alive and do not
            leave.
        is_broker: Tells whether this entry is the broker of a service, as far
            as it knows.
        contended: Returns the services that have a broker.
        clock: Monotonic time.
    """

    def __init__(
        self,
        *,
        entries: Callable[[], Iterable[identifiers.InstanceId]],
        is_broker: Callable[[identifiers.ServiceId], bool],
        contended: Callable[[], frozenset[identifiers.ServiceId]],
        clock: clocks.Clock,
    ) -> None:
        self._entries = entries
        self._is_broker = is_broker
        self._contended = contended
        self._clock = clock
        self._began_ms = clock.now_ms()
        self._counted_ms = -math.inf
        self._known_ms: dict[identifiers.InstanceId, float] = {}
        # Numbers of entries that were alive, each with the time of its change.
        self._alive: collections.deque[tuple[float, int]] = collections.deque()
        self._contended_ms: dict[identifiers.ServiceId, float] = {}
        # When this entry became the broker, and when it ceased to be.
        self._since_ms: dict[identifiers.ServiceId, float] = {}
        self._ceased_ms: dict[identifiers.ServiceId, float] = {}

    def note_changed(self) -> None:
        """Notes that the members, or the services with a broker, changed."""
        self._counted_ms = -math.inf
        self._count()

    def note_pause(self) -> None:
        """Notes that this process may have missed that it was replaced."""
        now_ms = self._clock.now_ms()
        self._since_ms = dict.fromkeys(self._since_ms, now_ms)

    def broker_share(self, service: identifiers.ServiceId) -> float:
        """Returns the part of a rate that this entry grants as a broker."""
        self._count()
        self._observe(service)
        now_ms = self._clock.now_ms()
        since_ms = self._since_ms.get(service)
        if since_ms is None:
            ceased_ms = self._ceased_ms.get(service, -math.inf)
            has_just_ceased = now_ms - ceased_ms < _SETTLED_MS
            return _UNSETTLED_SHARE if has_just_ceased else 0.0
        if now_ms - since_ms < _SETTLED_MS:
            return _UNSETTLED_SHARE
        # Separated groups of entries, each with a broker, are parts of what
        # was known before.
        least = min(alive for _since, alive in self._alive)
        return _BROKER_SHARE * min(1.0, max(1, least) / self._remembered)

    def own_share(self, service: identifiers.ServiceId) -> float:
        """Returns the part of a rate that this entry uses without a broker."""
        self._count()
        now_ms = self._clock.now_ms()
        contended_ms = self._contended_ms.get(service, -math.inf)
        if now_ms - contended_ms < _SETTLED_MS:
            share = _UNANSWERED_SHARE
        elif now_ms - self._began_ms < _SETTLED_MS:
            share = _UNSETTLED_SHARE
        else:
            share = _OWN_SHARE
        return share / self._remembered

    @property
    def _remembered(self) -> int:
        return max(1, len(self._known_ms))

    def _count(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._counted_ms < _COUNT_INTERVAL_MS:
            return
        self._counted_ms = now_ms
        alive = set(self._entries())
        self._known_ms.update(dict.fromkeys(alive, now_ms))
        self._known_ms = {
            entry: known_ms
            for entry, known_ms in self._known_ms.items()
            if now_ms - known_ms < _REMEMBERED_MS
        }
        if not self._alive or self._alive[-1][1] != len(alive):
            self._alive.append((now_ms, len(alive)))
        # The number before the first change within the time held until then.
        while len(self._alive) > 1 and (
            self._alive[1][0] <= now_ms - _SETTLED_MS
        ):
            self._alive.popleft()
        contended = self._contended()
        self._contended_ms.update(dict.fromkeys(contended, now_ms))
        for service in contended:
            self._observe(service)

    def _observe(self, service: identifiers.ServiceId) -> None:
        now_ms = self._clock.now_ms()
        if self._is_broker(service):
            self._since_ms.setdefault(service, now_ms)
        elif self._since_ms.pop(service, None) is not None:
            self._ceased_ms[service] = now_ms
