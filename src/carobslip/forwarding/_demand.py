"""Requests for a slot, and their refusals."""

import math

import msgspec

from carobslip import identifiers
from carobslip.forwarding import _slot_ports


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """What a request needs in order to start.

    Attributes:
        service: The service that serves it.
        priority: 0 is the highest.
        on_time_until_ms: A start until then can still meet the objective.
        wait_until_ms: It is refused if it has not started by then, which can
            happen when the queue moves more slowly than predicted.
        excluded: Targets that have rejected it or lost its answer.
        cold_rps: Requests a second that a cold target supports; 0 for no
            bound.
        share_min: Slots at a target that an entry may use without a report of
            the load from other entries.
        may_have_run: A target may have run it, so it can no longer be refused
            as not run; it goes before all others.
        route_priority: Priority of the route, if the team has its own.
        objective_until_ms: When the caller's objective ends.
        patience_until_ms: How long the caller waits for its answer.
        team: The team that owns it.
        prompt_tokens: Prompt size that the caller states; 0 if none.
        answer_tokens_max: Limit of generated tokens; 0 if not stated.
        answer_tokens_hint: The caller's estimate of them; 0 if none.
        content_digest: Equal for repeats of the same content by a caller.
        trace: Receives the decisions of brokers.
        spreads_cold_rate: An entry whose share of ``cold_rps`` is below one
            request a second sends in turn with the others, rather than one
            request a second.
    """

    service: identifiers.ServiceId
    priority: int
    on_time_until_ms: float
    wait_until_ms: float
    excluded: frozenset[identifiers.TargetId] = frozenset()
    cold_rps: float = 0
    share_min: int = 1
    may_have_run: bool = False
    route_priority: int = 0
    objective_until_ms: float = math.inf
    patience_until_ms: float = math.inf
    team: identifiers.TeamId | None = None
    prompt_tokens: int = 0
    answer_tokens_max: int = 0
    answer_tokens_hint: int = 0
    content_digest: int = 0
    trace: _slot_ports.SlotTrace | None = None
    spreads_cold_rate: bool = False


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request did not start, and when to retry it.

    Attributes:
        reason: Cause of the refusal, for logs.
        retry_after_ms: Delay after which a retry may succeed.
        waiting: Requests that waited for the service.
        without_place: Number of targets by the reason why they had no free
            slot, for logs.
    """

    reason: str
    retry_after_ms: float
    waiting: int
    without_place: dict[str, int]
