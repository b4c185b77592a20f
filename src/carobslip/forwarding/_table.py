"""Finds the route and the team of a request."""

import random

from carobslip import configuration, identifiers, slotbroker


class ForwardingIndex:
    """Looks up routes and keys in one forwarding table.

    Args:
        table: The table in force.
    """

    def __init__(self, *, table: configuration.Forwarding) -> None:
        self.table = table
        self._routes: dict[str, dict[str, configuration.Route]] = {}
        for route in table.routes:
            by_prefix = self._routes.setdefault(route.host.lower(), {})
            by_prefix[route.prefix] = route
        self._teams = {
            key: team for team in table.teams for key in team.api_keys
        }
        self.services = {service.service: service for service in table.services}
        self.contended_services = table.contended_services
        self._pass_figures = {
            service.service: self._find_pass_figures(service)
            for service in table.services
        }

    def pass_figures(
        self, service: identifiers.ServiceId
    ) -> slotbroker.PassFigures | None:
        """Returns what a service states about the passes of its targets."""
        return self._pass_figures.get(service)

    def _find_pass_figures(
        self, known: configuration.ForwardedService
    ) -> slotbroker.PassFigures | None:
        if known.engine is None:
            return None
        pauses_ms = [
            route.pause_objective_ms
            for route in self.table.routes
            if route.pause_objective_ms
            and any(share.service == known.service for share in route.services)
        ]
        return slotbroker.PassFigures(
            fixed_ms=known.engine.steps_per_pass * known.engine.step_ms,
            pause_ms=min(pauses_ms, default=0.0),
        )

    def find_route(self, host: str, path: str) -> configuration.Route | None:
        """Returns the route with the longest prefix of a path.

        Args:
            host: The requested host, with or without a port.
            path: Path with its query.
        """
        name = host.rpartition(':')[0] or host
        by_prefix = self._routes.get(name.lower(), {})
        prefix = path.partition('?')[0]
        while prefix:
            prefix = prefix[: prefix.rfind('/') + 1]
            route = by_prefix.get(prefix)
            if route is not None:
                return route
            prefix = prefix[:-1]
        return None

    @property
    def needs_keys(self) -> bool:
        """Tells whether requests on routes that are not public need a key."""
        return bool(self.table.teams)

    def find_team(self, api_key: str | None) -> configuration.Team | None:
        """Returns the team that holds a key."""
        return None if api_key is None else self._teams.get(api_key)


def choose_service(
    route: configuration.Route,
    generator: random.Random,
) -> identifiers.ServiceId:
    """Draws one of a route's services by weight."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [share.weight for share in route.services]
    return generator.choices(route.services, weights)[0].service
