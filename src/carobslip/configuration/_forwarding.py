"""Routes, teams and engine figures for requests that entries forward."""

import enum
from typing import Annotated, Final

import msgspec

from carobslip import identifiers

_NonNegative = Annotated[float, msgspec.Meta(ge=0)]
#: Objectives up to this multiple of the shortest one count as equal.
_EQUAL_OBJECTIVES_RATIO: Final = 1.1


class RequestKind(enum.Enum):
    """Kind of a request, which decides whether it may be retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


class _Part(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """Base of the parts of the forwarding table."""


class WeightedService(_Part, frozen=True, kw_only=True):
    """A service with its share of a route's requests."""

    service: identifiers.ServiceId
    weight: _NonNegative


class Route(_Part, frozen=True, kw_only=True):
    """Where requests to a host and path prefix go.

    Attributes:
        name: Name in logs.
        host: The host that callers request.
        prefix: Starts and ends with a slash; the longest match wins.
        kind: Decides whether a request may be retried.
        services: Destinations of requests, by weight.
        timeout_ms: Longest time that a caller waits.
        objective_ms: Time to the answer, or to a stream's first event.
        pause_objective_ms: Longest pause between events that meets the
            objective.
        attempts_max: Targets that one request may be sent to.
        priority: 0 is the highest.
        public: No API key is needed.
        resumable: A stream may be resumed at another target.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_ms: _NonNegative
    objective_ms: _NonNegative
    pause_objective_ms: _NonNegative = 0
    attempts_max: Annotated[int, msgspec.Meta(ge=1)] = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False

    def __post_init__(self) -> None:
        if not (self.prefix.startswith('/') and self.prefix.endswith('/')):
            raise ValueError('prefix does not begin and end with a slash')
        total = sum(share.weight for share in self.services)
        if total <= 0:
            raise ValueError('services have no weight')

    @property
    def may_repeat(self) -> bool:
        """Whether a request is safe to run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


class Team(_Part, frozen=True, kw_only=True):
    """A team with its API keys; its priority overrides the route's."""

    team: identifiers.TeamId
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class EngineFigures(_Part, frozen=True, kw_only=True):
    """Performance and expert layout of the engines of a service.

    Attributes:
        slots: Requests that run concurrently.
        kv_tokens: Tokens that fit into an engine's KV cache.
        step_ms: Fixed part of the time of one decoding step.
        sequence_ms: Time that each decoding sequence adds to a step.
        context_ms_per_1000_tokens: Time that the context of those sequences
            adds to a step.
        read_tokens_per_s: Prompt tokens processed per second.
        steps_per_pass: Decoding steps in one pass.
        expert_sets: Sets of layers that have their own expert map.
        experts_per_set: Experts in each set.
        places_per_rank: Experts of a set that fit on a rank.
        new_experts_max: Experts of a set that one order may add to a rank.
        expert_copy_ms: Time to copy one expert.
    """

    slots: int
    kv_tokens: _NonNegative = 0
    step_ms: _NonNegative = 0
    sequence_ms: _NonNegative = 0
    context_ms_per_1000_tokens: _NonNegative = 0
    read_tokens_per_s: _NonNegative = 0
    steps_per_pass: int = 1
    expert_sets: int = 0
    experts_per_set: int = 0
    places_per_rank: int = 0
    new_experts_max: int = 0
    expert_copy_ms: _NonNegative = 0


class ForwardedService(_Part, frozen=True, kw_only=True):
    """A service whose targets are called directly by entries.

    Attributes:
        service: Its name.
        connections_max: Connections that one target accepts from all entries.
        cold_rps: Requests per second that a cold target can take; 0 for no
            limit.
        engine: Figures of model engines; None for a plain service.
    """

    service: identifiers.ServiceId
    connections_max: int = 0
    cold_rps: _NonNegative = 0
    engine: EngineFigures | None = None


class CallerLimits(_Part, frozen=True, kw_only=True):
    """Limits on the size and duration of what callers send."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


class Forwarding(_Part, frozen=True, kw_only=True):
    """The forwarding table.

    Attributes:
        operators_version: Version that the operators gave the table.
        routes: All routes.
        services: Services that routes may name.
        teams: Teams and their keys; empty when no keys are needed.
        limits: Limits for callers.
    """

    operators_version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[ForwardedService, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: CallerLimits = CallerLimits()

    @property
    def contended_services(self) -> frozenset[identifiers.ServiceId]:
        """Services whose streams differ in urgency and share model engines.

        Where all streams of a service are equally urgent, the order in which
        they get its slots matters less.
        """
        return frozenset(
            service.service
            for service in self.services
            if service.engine is not None
            and self._differs_in_urgency(service.service)
        )

    def _differs_in_urgency(self, service: identifiers.ServiceId) -> bool:
        streams = [
            route
            for route in self.routes
            if route.kind is RequestKind.STREAM
            and any(share.service == service for share in route.services)
        ]
        if len({route.priority for route in streams}) > 1:
            return True
        objectives_ms = [route.objective_ms for route in streams]
        shortest_ms = min(objectives_ms, default=0.0)
        return max(objectives_ms, default=0.0) > (
            _EQUAL_OBJECTIVES_RATIO * shortest_ms
        )

    def __post_init__(self) -> None:
        known = {service.service for service in self.services}
        for route in self.routes:
            for share in route.services:
                if share.service not in known:
                    raise ValueError(
                        f'route {route.name}: no service {share.service!r}',
                    )
