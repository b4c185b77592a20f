"""Effective policies, cached for a bounded number of scopes."""

import collections
from typing import Final

from carobslip import clocks
from carobslip.configuration import _document, _exceptions, _policy

_CACHED_SCOPES_MAX: Final = 4096
_CACHE_TTL_MS: Final = 1000


class Resolver:
    """Computes effective policies of one configuration.

    Args:
        configuration: The document to resolve against.
        clock: Time for the end of exceptions and of cached results.
    """

    def __init__(
        self,
        *,
        configuration: _document.Configuration,
        clock: clocks.Clock,
    ) -> None:
        self.configuration = configuration
        self._clock = clock
        self._cache: collections.OrderedDict[
            _exceptions.Scope,
            tuple[float, _policy.Policy],
        ] = collections.OrderedDict()

    def policy_for(self, scope: _exceptions.Scope) -> _policy.Policy:
        """Returns the values in force for ``scope``.

        A result is cached for one second, so that the end of an exception
        takes effect within that time.
        """
        cached = self._cache.get(scope)
        now_ms = self._clock.now_ms()
        if cached is not None and now_ms - cached[0] < _CACHE_TTL_MS:
            return cached[1]
        policy = self._resolve(scope)
        self._cache[scope] = (now_ms, policy)
        self._cache.move_to_end(scope)
        if len(self._cache) > _CACHED_SCOPES_MAX:
            self._cache.popitem(last=False)
        return policy

    def _resolve(self, scope: _exceptions.Scope) -> _policy.Policy:
        policy = self.configuration.defaults
        if scope.service in self.configuration.services:
            service = self.configuration.services[scope.service]
            policy = _policy.apply_override(policy, service.policy)
        wall_ms = self._clock.wall_ms()
        for exception in self.configuration.exceptions:
            applies = exception.scope.covers(scope)
            if applies and exception.is_in_force(wall_ms):
                policy = _policy.apply_override(policy, exception.override)
        return policy
