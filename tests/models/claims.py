"""Exhaustive search of the claim protocol, over the real ballot.

The model has three or four guards and one key. A sent message stays in flight
forever, so it may arrive late, more than once, or never. Guards abandon
rounds, are replaced without their memory, and open new rounds at any time.
The search looks for a state in which the key has run twice.

States are plain tuples for speed: a guard is ``(incarnation, holder, round,
phase, voters)`` and a state ``(guards, vote_requests, grants, abandoned, replaced,
runs)``; the three message sets only grow.
"""

import functools
from collections.abc import Iterator
from typing import Any

import msgspec

from carobslip import control, idempotency

NAMES = 'abcd'
IDLE, CLAIMING, RUNNING = range(3)
NEW_GUARD = (0, None, 0, IDLE, frozenset())

Guard = tuple[int, Any, int, int, frozenset[int]]
State = tuple[Any, ...]
Claim = tuple[int, int, int]


class Rules(msgspec.Struct, frozen=True, kw_only=True):
    """The rules of the protocol; tests disable one at a time."""

    one_vote: bool = True
    moves_only_after_abandonment: bool = True
    replaced_never_votes: bool = True
    replaced_never_claims: bool = True
    votes_count_for_one_round: bool = True
    abandonment_is_final: bool = True
    needs_majority: bool = True


@functools.cache
def real_vote(
    holder: Claim | None, claim: Claim, abandoned: frozenset[Claim]
) -> Claim:
    """Returns the holder of the vote afterwards, per the real ballot."""
    ballot = idempotency.Ballot(holder=holder and as_claim_id(holder))
    after = ballot.consider(
        as_claim_id(claim), [as_claim_id(given_up) for given_up in abandoned]
    )
    assert after.holder is not None
    return claim if after.holder == as_claim_id(claim) else holder


def as_claim_id(claim: Claim) -> control.ClaimId:
    index, incarnation, number = claim
    return control.ClaimId(
        target=NAMES[index], incarnation=incarnation, round=number
    )


class Search:
    """Depth-first search over all states.

    Args:
        rules: The rules that are enabled.
        rounds_max: Rounds that each guard may open, by guard.
        replaced_max: Total number of replacements.
    """

    def __init__(
        self, rules: Rules, *, rounds_max: tuple[int, ...], replaced_max: int
    ) -> None:
        self.rules = rules
        self.rounds_max = rounds_max
        self.replaced_max = replaced_max
        self.states = 0
        self.runs_seen = 0

    def find_double_run(self) -> bool:
        """Tells whether any reachable state has two runs."""
        empty: frozenset[Any] = frozenset()
        start = (
            (NEW_GUARD,) * len(self.rounds_max),
            empty,
            empty,
            empty,
            0,
            0,
        )
        visited = {start}
        frontier = [start]
        while frontier:
            for after in self.steps(frontier.pop()):
                self.runs_seen = max(self.runs_seen, after[5])
                if after[5] > 1:
                    return True
                if after not in visited:
                    visited.add(after)
                    frontier.append(after)
        self.states = len(visited)
        return False

    def steps(self, state: State) -> Iterator[State]:
        guards, vote_requests, grants, abandoned, _replaced, _runs = state
        for index, guard in enumerate(guards):
            yield from self.own_steps(state, index, guard)
            for vote_request in vote_requests:
                if vote_request[0] != index:
                    yield from self.answer(state, index, guard, vote_request)
            for voter, claim in grants:
                if claim[0] == index and voter not in guard[4]:
                    yield from self.count(state, index, guard, voter, claim)

    def own_steps(
        self, state: State, index: int, guard: Guard
    ) -> Iterator[State]:
        guards, vote_requests, grants, abandoned, replaced, runs = state
        incarnation, holder, number, phase, voters = guard
        must_not_claim = incarnation > 0 and self.rules.replaced_never_claims
        if (
            phase == IDLE
            and number < self.rounds_max[index]
            and not must_not_claim
        ):
            yield from self.open_round(state, index, guard)
        if phase == CLAIMING:
            claim = (index, incarnation, number)
            after = IDLE if self.rules.abandonment_is_final else CLAIMING
            given_up = (incarnation, holder, number, after, voters)
            yield (
                replace_guard(guards, index, given_up),
                vote_requests,
                grants,
                abandoned | {claim},
                replaced,
                runs,
            )
            majority = len(guards) // 2 + 1
            needed = majority if self.rules.needs_majority else 1
            if len(voters) >= needed:
                running = (incarnation, holder, number, RUNNING, voters)
                changed = replace_guard(guards, index, running)
                yield (
                    changed,
                    vote_requests,
                    grants,
                    abandoned,
                    replaced,
                    runs + 1,
                )
        if replaced < self.replaced_max:
            fresh = (incarnation + 1, None, 0, IDLE, frozenset())
            changed = replace_guard(guards, index, fresh)
            yield (
                changed,
                vote_requests,
                grants,
                abandoned,
                replaced + 1,
                runs,
            )

    def open_round(
        self, state: State, index: int, guard: Guard
    ) -> Iterator[State]:
        guards, vote_requests, grants, abandoned, replaced, runs = state
        incarnation, holder, number, _phase, voters = guard
        claim = (index, incarnation, number + 1)
        if self.rules.votes_count_for_one_round:
            voters = frozenset()
        opened = (incarnation, holder, number + 1, CLAIMING, voters)
        asked = vote_requests | {claim}
        base = (opened, asked, grants, abandoned, replaced, runs)
        for vote in self.votes(guard, claim, abandoned):
            counted = voters | {index} if vote == claim else voters
            own = (incarnation, vote, number + 1, CLAIMING, counted)
            yield (replace_guard(guards, index, own), *base[1:])

    def answer(
        self, state: State, index: int, guard: Guard, claim: Claim
    ) -> Iterator[State]:
        guards, vote_requests, grants, abandoned, replaced, runs = state
        if guard[0] > 0 and self.rules.replaced_never_votes:
            return
        for vote in self.votes(guard, claim, abandoned):
            if vote == claim:
                voted = (guard[0], vote, *guard[2:])
                yield (
                    replace_guard(guards, index, voted),
                    vote_requests,
                    grants | {(index, claim)},
                    abandoned,
                    replaced,
                    runs,
                )

    def votes(
        self, guard: Guard, claim: Claim, abandoned: frozenset[Claim]
    ) -> set[Claim]:
        """Returns the possible holders of the vote after a request.

        The request may or may not list the rounds abandoned so far. A
        guard's own rounds that are not open need no such entry.
        """
        holder = guard[1]
        if not self.rules.one_vote:
            return {claim}
        if not self.rules.moves_only_after_abandonment:
            abandoned = abandoned | ({holder} if holder else set())
        return {
            real_vote(holder, claim, abandoned),
            real_vote(holder, claim, frozenset()),
        }

    def count(
        self,
        state: State,
        index: int,
        guard: Guard,
        voter: int,
        claim: Claim,
    ) -> Iterator[State]:
        guards, *rest = state
        incarnation, holder, number, phase, voters = guard
        one_round = self.rules.votes_count_for_one_round
        if claim[1] != incarnation or phase != CLAIMING:
            return
        if claim[2] == number or not one_round:
            counted = (incarnation, holder, number, phase, voters | {voter})
            yield (replace_guard(guards, index, counted), *rest)


def replace_guard(guards: tuple[Guard, ...], index: int, guard: Guard) -> State:
    return (*guards[:index], guard, *guards[index + 1 :])


def rule_names() -> list[str]:
    """Returns the names of all rules."""
    return [field.name for field in msgspec.structs.fields(Rules)]
