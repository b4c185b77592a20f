"""Contradictions in the forwarding table of a valid document.

Which route, team or service is used is decided by the index that entries use.
"""

import collections
from collections.abc import Iterator

from carobslip import configuration, forwarding
from carobslip.cli import _findings

_ROOT = '$.forwarding'


def find_route_faults(
    table: configuration.Forwarding,
) -> Iterator[_findings.Finding]:
    """Finds entries that are never used and limits that contradict others.

    Args:
        table: The forwarding table.
    """
    index = forwarding.ForwardingIndex(table=table)
    names = collections.Counter(route.name for route in table.routes)
    for number, route in enumerate(table.routes):
        path = f'{_ROOT}.routes[{number}]'
        if names[route.name] > 1:
            yield _findings.warning(
                f'{path}.name', f'several routes are named {route.name!r}'
            )
        yield from _match_faults(path, route, index)
        yield from _limit_faults(path, route)
        yield from _share_faults(path, route)
    for number, service in enumerate(table.services):
        path = f'{_ROOT}.services[{number}]'
        yield from _service_faults(path, service, index)
    for number, team in enumerate(table.teams):
        yield from _team_faults(f'{_ROOT}.teams[{number}]', team, index)
    for name in table.limits.__struct_fields__:
        if getattr(table.limits, name) < 1:
            yield _findings.error(
                f'{_ROOT}.limits.{name}',
                'no request can keep to a limit below 1',
            )


def _match_faults(
    path: str,
    route: configuration.Route,
    index: forwarding.ForwardingIndex,
) -> Iterator[_findings.Finding]:
    used = index.find_route(route.host, route.prefix)
    if used is None:
        yield _findings.error(
            path,
            f'route {route.name!r}: no request matches host {route.host!r} '
            f'and prefix {route.prefix!r}',
        )
    elif used is not route:
        yield _findings.error(
            path,
            f'route {route.name!r} is never used: route {used.name!r} has the '
            'same host and prefix',
        )


def _limit_faults(
    path: str, route: configuration.Route
) -> Iterator[_findings.Finding]:
    for name in ('objective_ms', 'pause_objective_ms'):
        objective_ms = getattr(route, name)
        if objective_ms > route.timeout_ms:
            yield _findings.error(
                f'{path}.{name}',
                f'{objective_ms:g} is more than timeout_ms, which is '
                f'{route.timeout_ms:g}: the request ends first',
            )
    needed_ms = route.attempts_max * route.objective_ms
    is_valid = route.objective_ms <= route.timeout_ms
    if is_valid and route.may_repeat and needed_ms > route.timeout_ms:
        yield _findings.warning(
            f'{path}.attempts_max',
            f'{route.attempts_max} attempts that each take the objective of '
            f'{route.objective_ms:g} ms do not fit into {route.timeout_ms:g} '
            'ms',
        )
    is_stream = route.kind is configuration.RequestKind.STREAM
    if route.resumable and not is_stream:
        yield _findings.warning(f'{path}.resumable', 'only streams are resumed')
    if route.resumable and is_stream and route.attempts_max == 1:
        yield _findings.warning(
            f'{path}.resumable',
            'a stream is resumed at a second target, but attempts_max is 1',
        )
    if route.pause_objective_ms and not is_stream:
        yield _findings.warning(
            f'{path}.pause_objective_ms', 'only streams have pauses'
        )


def _share_faults(
    path: str, route: configuration.Route
) -> Iterator[_findings.Finding]:
    names = [share.service for share in route.services]
    for number, share in enumerate(route.services):
        place = f'{path}.services[{number}]'
        if share.weight == 0:
            yield _findings.warning(
                f'{place}.weight',
                f'service {share.service!r} gets no requests of route '
                f'{route.name!r}',
            )
        if share.service in names[:number]:
            yield _findings.warning(
                place, f'service {share.service!r} is named twice'
            )


def _service_faults(
    path: str,
    service: configuration.ForwardedService,
    index: forwarding.ForwardingIndex,
) -> Iterator[_findings.Finding]:
    name = service.service
    if index.services[name] is not service:
        yield _findings.error(
            path, f'service {name!r} is never used: a later one has its name'
        )
    shares = [
        share
        for route in index.table.routes
        for share in route.services
        if share.service == name and share.weight > 0
    ]
    if not shares:
        yield _findings.warning(
            path, f'no route sends requests to service {name!r}'
        )
    if 0 < service.cold_rps < 1:
        yield _findings.warning(
            f'{path}.cold_rps',
            'a target that may be cold gets less than one request a second',
        )
    if service.engine is not None:
        yield from _engine_faults(path, service, service.engine)


def _engine_faults(
    path: str,
    service: configuration.ForwardedService,
    engine: configuration.EngineFigures,
) -> Iterator[_findings.Finding]:
    if engine.slots < 1:
        yield _findings.error(f'{path}.engine.slots', 'no request can run')
    if 0 < service.connections_max < engine.slots:
        yield _findings.warning(
            f'{path}.connections_max',
            f'{service.connections_max} connections cannot use '
            f'{engine.slots} slots',
        )
    if engine.expert_sets > 0 and engine.places_per_rank < 1:
        yield _findings.warning(
            f'{path}.engine.places_per_rank', 'no expert fits on a rank'
        )


def _team_faults(
    path: str,
    team: configuration.Team,
    index: forwarding.ForwardingIndex,
) -> Iterator[_findings.Finding]:
    for number, key in enumerate(team.api_keys):
        used = index.find_team(key)
        if used is not None and used is not team:
            # The key itself is a secret.
            yield _findings.error(
                f'{path}.api_keys[{number}]',
                f'a key of team {team.team!r} also belongs to team '
                f'{used.team!r}, which gets its requests',
            )
    if not team.api_keys:
        yield _findings.warning(
            path, f'team {team.team!r} has no keys, so no requests'
        )
