"""Effective policies, remembered per scope within a bound."""

import collections
from typing import Final

from carobslip import clocks
from carobslip.configuration import _document, _exceptions, _policy

_REMEMBERED_SCOPES: Final = 4096
_FRESH_MS: Final = 1000


class Resolver:
    """Computes effective policies of one configuration.

    Args:
        configuration: The document to resolve against.
        clock: Tells which exceptions have ended.
    """

    def __init__(
        self,
        *,
        configuration: _document.Configuration,
        clock: clocks.Clock,
    ) -> None:
        self.configuration = configuration
        self._clock = clock
        self._remembered: collections.OrderedDict[
            _exceptions.Scope,
            tuple[float, _policy.Policy],
        ] = collections.OrderedDict()

    def policy_for(self, scope: _exceptions.Scope) -> _policy.Policy:
        """Returns the values in force for ``scope``.

        A remembered result is used for one second, so that the end of an
        exception takes effect within that time.
        """
        remembered = self._remembered.get(scope)
        now_ms = self._clock.now_ms()
        if remembered is not None and now_ms - remembered[0] < _FRESH_MS:
            return remembered[1]
        policy = self._resolve(scope)
        self._remembered[scope] = (now_ms, policy)
        self._remembered.move_to_end(scope)
        if len(self._remembered) > _REMEMBERED_SCOPES:
            self._remembered.popitem(last=False)
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
