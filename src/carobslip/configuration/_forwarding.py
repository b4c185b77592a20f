"""Routes, teams and engine figures for requests that entries forward."""

import enum
from typing import Annotated, Final

import msgspec

from carobslip import identifiers

_Positive = Annotated[float, msgspec.Meta(ge=0)]
_WEIGHT_TOTAL_MIN: Final = 1


class RequestKind(enum.Enum):
    """What may be repeated of a request."""

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
    weight: Annotated[int, msgspec.Meta(ge=0)]


class Route(_Part, frozen=True, kw_only=True):
    """Where requests to a host and path prefix go.

    Attributes:
        name: For logs.
        host: The host that callers name.
        prefix: Begins and ends with a slash; the longest match wins.
        kind: What may be repeated.
        services: Where requests go, by weight.
        timeout_ms: Longest time that a caller is kept waiting.
        objective_ms: Time to the answer, or to a stream's first event.
        pause_objective_ms: Longest pause between events that is on time.
        attempts_max: Targets that one request may be sent to.
        priority: 0 is the highest.
        public: No API key is needed.
        resumable: A stream may go on at another target.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_ms: _Positive
    objective_ms: _Positive
    pause_objective_ms: _Positive = 0
    attempts_max: Annotated[int, msgspec.Meta(ge=1)] = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False

    def __post_init__(self) -> None:
        if not (self.prefix.startswith('/') and self.prefix.endswith('/')):
            raise ValueError('prefix does not begin and end with a slash')
        total = sum(share.weight for share in self.services)
        if total < _WEIGHT_TOTAL_MIN:
            raise ValueError('services have no weight')

    @property
    def may_repeat(self) -> bool:
        """Tells whether a request may run more than once without harm."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


class Team(_Part, frozen=True, kw_only=True):
    """A team with its API keys; its priority goes before the route's."""

    team: identifiers.TeamId
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


class EngineFigures(_Part, frozen=True, kw_only=True):
    """How fast the engines of a service work, and their expert groups.

    Attributes:
        slots: Requests that run at once.
        kv_tokens: Tokens that fit into an engine's memory.
        step_ms: Fixed part of one token step.
        sequence_ms: Added to a step by each sequence that writes.
        context_ms_per_1000_tokens: Added by the context of those sequences.
        read_tokens_per_s: Prompt tokens read a second.
        steps_per_pass: Token steps in one pass.
        expert_sets: Sets of layers that have a map of their own.
        experts_per_set: Experts in each set.
        places_per_rank: Experts of a set that fit on a rank.
        new_experts_max: Experts of a set that one order may bring to a rank.
        expert_copy_ms: Time to copy one expert.
    """

    slots: int
    kv_tokens: _Positive = 0
    step_ms: _Positive = 0
    sequence_ms: _Positive = 0
    context_ms_per_1000_tokens: _Positive = 0
    read_tokens_per_s: _Positive = 0
    steps_per_pass: int = 1
    expert_sets: int = 0
    experts_per_set: int = 0
    places_per_rank: int = 0
    new_experts_max: int = 0
    expert_copy_ms: _Positive = 0


class ForwardedService(_Part, frozen=True, kw_only=True):
    """A service whose targets entries call themselves.

    Attributes:
        service: Its name.
        connections_max: Connections that one target accepts from all.
        cold_rps: Requests a second that a cold target bears; 0 for no bound.
        engine: Figures of model engines; None for a plain service.
    """

    service: identifiers.ServiceId
    connections_max: int = 0
    cold_rps: _Positive = 0
    engine: EngineFigures | None = None


class CallerLimits(_Part, frozen=True, kw_only=True):
    """What a caller may send, and how long it may take."""

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
        limits: Bounds on callers.
    """

    operators_version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[ForwardedService, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: CallerLimits = CallerLimits()

    def __post_init__(self) -> None:
        known = {service.service for service in self.services}
        for route in self.routes:
            for share in route.services:
                if share.service not in known:
                    raise ValueError(
                        f'route {route.name}: no service {share.service!r}',
                    )
