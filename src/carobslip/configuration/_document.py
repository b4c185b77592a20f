"""The configuration document and its parts."""

import datetime
import enum
import fnmatch
from typing import Annotated, Any

import msgspec

from carobslip import identifiers
from carobslip.configuration import _exceptions, _forwarding, _policy


class ServiceKind(enum.Enum):
    """Whether targets are model engines or plain services."""

    ENGINE = 'engine'
    PLAIN = 'plain'


class RepeatableCall(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Rule for calls that are safe to run more than once.

    Attributes:
        method: HTTP method in capitals.
        path: Path below the service, with shell-style wildcards.
    """

    method: str
    path: str

    def matches(self, method: str, path: str) -> bool:
        """Returns whether this rule covers a call."""
        return self.method == method and fnmatch.fnmatchcase(path, self.path)


class Service(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """A set of targets that serve the same calls, with its policy.

    Attributes:
        kind: Whether the targets are model engines or plain services.
        targets: Members that vote on idempotency keys; required for plain
            services.
        models: Models that the engines serve.
        repeatable: Calls that may be retried at another target.
        fencing_checked: Whether targets refuse orders with an old fencing
            token.
        keys_valid_from: Operators guarantee that no caller's key of this
            service was created before this time.
        policy: Values that differ from the defaults for this service.
        objective: Service level for reports.
    """

    kind: ServiceKind
    targets: tuple[identifiers.TargetId, ...] = ()
    models: tuple[identifiers.ModelId, ...] = ()
    repeatable: tuple[RepeatableCall, ...] = ()
    fencing_checked: bool = False
    keys_valid_from: datetime.datetime | None = None
    policy: _policy.PolicyOverride = _policy.PolicyOverride()  # type: ignore[valid-type]
    objective: _policy.Objective = _policy.Objective()

    def __post_init__(self) -> None:
        if self.kind is ServiceKind.PLAIN and not self.targets:
            raise ValueError(
                'targets is empty; a plain service needs the list of members '
                'that vote on idempotency keys',
            )
        if len(set(self.targets)) != len(self.targets):
            raise ValueError('targets names a member twice')
        valid_from = self.keys_valid_from
        if valid_from is not None and valid_from.tzinfo is None:
            raise ValueError('keys_valid_from has no time zone; add Z')

    @property
    def keys_valid_from_ms(self) -> int | None:
        """Unix time of ``keys_valid_from`` in milliseconds."""
        if self.keys_valid_from is None:
            return None
        return int(self.keys_valid_from.timestamp() * 1000)

    def is_repeatable(self, method: str, path: str) -> bool:
        """Returns whether a call is safe to run more than once."""
        return any(rule.matches(method, path) for rule in self.repeatable)


class Withdrawal(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """A data centre or target that operators have taken out of service."""

    reason: str
    data_centre: identifiers.DataCentreId | None = None
    target: identifiers.TargetId | None = None

    def __post_init__(self) -> None:
        if (self.data_centre is None) == (self.target is None):
            raise ValueError('name either a data_centre or a target')
        _exceptions.require_reason(self.reason)


class Configuration(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field='kind',
    tag='configuration',
):
    """The operators' configuration, under one version.

    Attributes:
        version: Increases with every change; the highest one is in force.
        defaults: Values for the whole fleet.
        services: Services by name.
        exceptions: Overrides, applied in order; the last one wins.
        out: Data centres and targets that get no new work.
        address_ttl_ms: How long callers may cache resolved addresses.
        forwarding: Routes of requests that entries send directly to targets.
    """

    version: Annotated[int, msgspec.Meta(ge=1)]
    defaults: _policy.Policy = _policy.Policy()
    services: dict[identifiers.ServiceId, Service] = {}
    exceptions: tuple[_exceptions.PolicyException, ...] = ()
    out: tuple[Withdrawal, ...] = ()
    address_ttl_ms: Annotated[int, msgspec.Meta(ge=1)] = 10_000
    forwarding: _forwarding.Forwarding = _forwarding.Forwarding()

    def __post_init__(self) -> None:
        for name, service in self.services.items():
            _check_policy(f'services.{name}', self.defaults, service.policy)
        for index, exception in enumerate(self.exceptions):
            where = f'exceptions[{index}]'
            self._check_scope(where, exception.scope)
            _check_policy(where, self.defaults, exception.override)

    def data_centre_is_out(self, name: identifiers.DataCentreId) -> bool:
        """Returns whether operators have taken a data centre out."""
        return any(entry.data_centre == name for entry in self.out)

    def target_is_out(
        self,
        target: identifiers.TargetId,
        data_centre: identifiers.DataCentreId,
    ) -> bool:
        """Returns whether a target must get no new work."""
        named = any(entry.target == target for entry in self.out)
        return named or self.data_centre_is_out(data_centre)

    def service_for_model(self, model: str) -> identifiers.ServiceId | None:
        """Returns the service whose engines serve ``model``, if any."""
        for name, service in self.services.items():
            if model in service.models:
                return name
        return None

    def _check_scope(self, where: str, scope: _exceptions.Scope) -> None:
        if scope.service is not None and scope.service not in self.services:
            raise ValueError(f'{where}: no service named {scope.service!r}')


def _check_policy(where: str, defaults: _policy.Policy, override: Any) -> None:
    try:
        _policy.apply_override(defaults, override)
    except ValueError as fault:
        raise ValueError(f'{where}: {fault}') from None
