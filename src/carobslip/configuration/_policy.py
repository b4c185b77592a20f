"""Values that operators may set for requests, and partial overrides."""

from typing import Annotated

import msgspec

PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
Weight = Annotated[float, msgspec.Meta(gt=0, le=1000)]
Priority = Annotated[int, msgspec.Meta(ge=0, le=9)]


class Objective(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Service-level objective of a service.

    Attributes:
        good_ratio: Share of requests that must be good.
        latency_ms: A good request is answered within this time.
    """

    good_ratio: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.99
    latency_ms: PositiveInt = 5000


class Policy(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Effective policy for one request or one target.

    Attributes:
        timeout_ms: Timeout of a request whose caller sets none.
        timeout_max_ms: Longest timeout that a caller may set.
        priority: Queue priority; 9 is the highest.
        team_weight: Share of a target's queue relative to other teams.
        attempts_max: Attempts that one request may make.
        retry_ratio: Retries allowed per successful request.
        permit_ms: How long a guard accepts an attempt after its dispatch.
        concurrency_cold: Limit on requests in progress at a cold target.
        concurrency_max: Limit on requests in progress at a warm target.
        latency_tolerance_ratio: Accepted growth of latency over the baseline.
        queue_max: Requests that may wait at one target.
        queue_wait_max_ms: A request that would wait longer is refused early.
        idle_cold_ms: A target idle for longer counts as cold again.
        drain_ms: Longest time a planned stop waits for requests in progress.
        horizon_ms: How long replies of non-idempotent requests are kept.
        record_max_bytes: Memory limit for kept replies at one guard.
        clock_error_ms: Bound on the difference between any two wall clocks.
        claim_ms: How long a guard collects votes before it answers in doubt.
        body_max_bytes: Longest accepted request body.
        reply_max_bytes: Longest reply that can be kept for replay.
    """

    timeout_ms: PositiveInt = 30_000
    timeout_max_ms: PositiveInt = 600_000
    priority: Priority = 5
    team_weight: Weight = 1.0
    attempts_max: PositiveInt = 3
    retry_ratio: Ratio = 0.2
    permit_ms: PositiveInt = 2000
    concurrency_cold: PositiveInt = 2
    concurrency_max: PositiveInt = 64
    latency_tolerance_ratio: Annotated[float, msgspec.Meta(gt=1)] = 2.0
    queue_max: NonNegativeInt = 64
    queue_wait_max_ms: PositiveInt = 1000
    idle_cold_ms: PositiveInt = 300_000
    drain_ms: PositiveInt = 30_000
    horizon_ms: PositiveInt = 3_600_000
    record_max_bytes: PositiveInt = 16_777_216
    clock_error_ms: NonNegativeInt = 2000
    claim_ms: PositiveInt = 2000
    body_max_bytes: PositiveInt = 1_048_576
    reply_max_bytes: PositiveInt = 65_536

    def __post_init__(self) -> None:
        _require_order(
            ('timeout_ms', self.timeout_ms),
            ('timeout_max_ms', self.timeout_max_ms),
        )
        _require_order(
            ('concurrency_cold', self.concurrency_cold),
            ('concurrency_max', self.concurrency_max),
        )
        _require_order(
            ('reply_max_bytes', self.reply_max_bytes),
            ('record_max_bytes', self.record_max_bytes),
        )


def _require_order(low: tuple[str, int], high: tuple[str, int]) -> None:
    if low[1] > high[1]:
        raise ValueError(
            f'{low[0]} is {low[1]}, more than {high[0]}, which is {high[1]}',
        )


#: Partial policy: each field of :class:`Policy`, or absent.
PolicyOverride = msgspec.defstruct(
    'PolicyOverride',
    [
        (field.name, field.type | msgspec.UnsetType, msgspec.UNSET)
        for field in msgspec.structs.fields(Policy)
    ],
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
    module=__name__,
)


def apply_override(policy: Policy, override: msgspec.Struct) -> Policy:
    """Returns ``policy`` with the fields that ``override`` sets."""
    changes = {
        name: setting
        for name, setting in msgspec.structs.asdict(override).items()
        if setting is not msgspec.UNSET
    }
    return msgspec.structs.replace(policy, **changes) if changes else policy
