"""Contradictions in services, policies and exceptions of a valid document."""

import itertools
from collections.abc import Iterator

import msgspec

from carobslip import clocks, configuration, identifiers
from carobslip.cli import _findings


def find_policy_faults(
    document: configuration.Configuration,
    clock: clocks.Clock,
) -> Iterator[_findings.Finding]:
    """Finds policies that contradict themselves and entries without effect.

    Args:
        document: A configuration that the reader accepts.
        clock: Decides which exceptions have ended.
    """
    resolver = configuration.Resolver(configuration=document, clock=clock)
    if not document.services:
        yield from _time_faults('$.defaults', document.defaults)
    for name, service in document.services.items():
        path = f'$.services.{name}'
        yield from _service_faults(path, name, document)
        policy = _find_policy(resolver, configuration.Scope(service=name))
        # A contradiction of an exception is found below.
        if isinstance(policy, configuration.Policy):
            yield from _time_faults(f'{path}.policy', policy)
            yield from _objective_faults(path, service.objective, policy)
    yield from _exception_faults(document, clock)
    yield from _combination_faults(document, clock)
    for number, entry in enumerate(document.out):
        if any(_same_place(entry, one) for one in document.out[:number]):
            yield _findings.warning(
                f'$.out[{number}]',
                f'{entry.data_centre or entry.target!r} is named twice',
            )


def _find_policy(
    resolver: configuration.Resolver, scope: configuration.Scope
) -> configuration.Policy | ValueError:
    try:
        return resolver.policy_for(scope)
    except ValueError as fault:
        return fault


def _same_place(
    one: configuration.Withdrawal, other: configuration.Withdrawal
) -> bool:
    return (one.data_centre, one.target) == (other.data_centre, other.target)


def _service_faults(
    path: str,
    name: identifiers.ServiceId,
    document: configuration.Configuration,
) -> Iterator[_findings.Finding]:
    service = document.services[name]
    for number, rule in enumerate(service.repeatable):
        if rule.method != rule.method.upper():
            yield _findings.error(
                f'{path}.repeatable[{number}].method',
                f'no call matches {rule.method!r}; write it in capitals',
            )
    for model in service.models:
        used = document.service_for_model(model)
        if used != name:
            yield _findings.error(
                f'{path}.models',
                f'model {model!r} is served by service {used!r}',
            )


def _objective_faults(
    path: str,
    objective: configuration.Objective,
    policy: configuration.Policy,
) -> Iterator[_findings.Finding]:
    if objective.latency_ms > policy.timeout_ms:
        yield _findings.warning(
            f'{path}.objective.latency_ms',
            f'{objective.latency_ms} is more than timeout_ms, which is '
            f'{policy.timeout_ms}',
        )


def _time_faults(
    path: str, policy: configuration.Policy
) -> Iterator[_findings.Finding]:
    for name in ('permit_ms', 'queue_wait_max_ms', 'claim_ms'):
        limit_ms = getattr(policy, name)
        if limit_ms > policy.timeout_ms:
            yield _findings.warning(
                path,
                f'{name} is {limit_ms}, more than timeout_ms, which is '
                f'{policy.timeout_ms}',
            )
    if policy.attempts_max > 1 and policy.retry_ratio == 0:
        yield _findings.warning(
            path,
            f'attempts_max is {policy.attempts_max}, but retry_ratio is 0, so '
            'no request is retried',
        )
    if policy.drain_ms < policy.timeout_ms:
        yield _findings.warning(
            path,
            f'drain_ms is {policy.drain_ms}, less than timeout_ms, which is '
            f'{policy.timeout_ms}: a planned stop can cut requests short',
        )
    if policy.horizon_ms < policy.timeout_max_ms:
        yield _findings.warning(
            path,
            f'horizon_ms is {policy.horizon_ms}, less than timeout_max_ms, '
            f'which is {policy.timeout_max_ms}: replies are forgotten while '
            'their callers may still wait',
        )


def _exception_faults(
    document: configuration.Configuration,
    clock: clocks.Clock,
) -> Iterator[_findings.Finding]:
    wall_ms = clock.wall_ms()
    teams = {team.team for team in document.forwarding.teams}
    for number, exception in enumerate(document.exceptions):
        path = f'$.exceptions[{number}]'
        scope = exception.scope
        if not exception.is_in_force(wall_ms):
            yield _findings.warning(
                f'{path}.ends_at', f'has ended at {exception.ends_at}'
            )
        if scope.model is not None and (
            document.service_for_model(scope.model) is None
        ):
            yield _findings.error(
                f'{path}.scope.model', f'no service has model {scope.model!r}'
            )
        if teams and scope.team is not None and scope.team not in teams:
            yield _findings.warning(
                f'{path}.scope.team', f'no team is named {scope.team!r}'
            )
        if not _fields_of(exception):
            yield _findings.warning(f'{path}.set', 'sets nothing')
        yield from _hidden_faults(path, exception, document, number)


def _hidden_faults(
    path: str,
    exception: configuration.PolicyException,
    document: configuration.Configuration,
    number: int,
) -> Iterator[_findings.Finding]:
    for later, other in enumerate(document.exceptions):
        if later > number and _hides(other, exception):
            yield _findings.error(
                path,
                f'never has an effect: exceptions[{later}] sets the same '
                'values for the same requests',
            )
            return


def _hides(
    later: configuration.PolicyException,
    exception: configuration.PolicyException,
) -> bool:
    """Tells whether a later exception replaces all values of one."""
    fields = _fields_of(exception)
    if not fields or not fields <= _fields_of(later):
        return False
    if later.ends_at is not None and (
        exception.ends_at is None or later.ends_at < exception.ends_at
    ):
        return False
    return later.scope.covers(exception.scope)


def _fields_of(exception: configuration.PolicyException) -> frozenset[str]:
    override = msgspec.structs.asdict(exception.override)
    return frozenset(
        name
        for name, setting in override.items()
        if setting is not msgspec.UNSET
    )


def _combination_faults(
    document: configuration.Configuration,
    clock: clocks.Clock,
) -> Iterator[_findings.Finding]:
    """Finds requests for which two exceptions or a service contradict.

    The reader checks each override with the defaults alone.
    """
    resolver = configuration.Resolver(configuration=document, clock=clock)
    reported: set[tuple[int, ...]] = set()
    for scope in _scopes(document):
        if not isinstance(_find_policy(resolver, scope), ValueError):
            continue
        group, fault = _find_cause(document, scope, clock)
        if group not in reported:
            reported.add(group)
            yield _findings.error(
                f'$.exceptions[{group[-1]}]', f'for {_words(scope)}: {fault}'
            )


def _find_cause(
    document: configuration.Configuration,
    scope: configuration.Scope,
    clock: clocks.Clock,
) -> tuple[tuple[int, ...], ValueError | None]:
    """Returns one or two exceptions that contradict, or all, and the fault."""
    exceptions = document.exceptions
    numbers = [
        number
        for number, exception in enumerate(exceptions)
        if exception.scope.covers(scope)
    ]
    for size in (1, 2):
        for group in itertools.combinations(numbers, size):
            part = msgspec.structs.replace(
                document,
                exceptions=tuple(exceptions[number] for number in group),
            )
            resolver = configuration.Resolver(configuration=part, clock=clock)
            fault = _find_policy(resolver, scope)
            if isinstance(fault, ValueError):
                return group, fault
    resolver = configuration.Resolver(configuration=document, clock=clock)
    fault = _find_policy(resolver, scope)
    return tuple(numbers), fault if isinstance(fault, ValueError) else None


def _scopes(
    document: configuration.Configuration,
) -> Iterator[configuration.Scope]:
    """Returns the requests of each service that up to two exceptions cover."""
    pairs = itertools.combinations_with_replacement(document.exceptions, 2)
    for one, other in pairs:
        services: list[identifiers.ServiceId | None] = [
            None,
            *document.services,
        ]
        named = one.scope.service or other.scope.service
        for service in services if named is None else [named]:
            scope = configuration.Scope(service=service)
            merged = _merged((scope, one.scope, other.scope))
            if merged is not None:
                yield merged


def _merged(
    scopes: tuple[configuration.Scope, ...],
) -> configuration.Scope | None:
    """Returns the scope of requests that all scopes cover, if there are any."""
    merged = configuration.Scope()
    for scope in scopes:
        fields = msgspec.structs.asdict(scope)
        merged = msgspec.structs.replace(
            merged,
            **{name: named for name, named in fields.items() if named},
        )
    return merged if all(one.covers(merged) for one in scopes) else None


def _words(scope: configuration.Scope) -> str:
    return ', '.join(
        f'{name} {named!r}'
        for name, named in msgspec.structs.asdict(scope).items()
        if named is not None
    )
