"""Collects the majority that a guard needs to run a caller's key."""

import asyncio
import enum
from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from carobslip import clocks, configuration, control, identifiers
from carobslip.idempotency import _record, _rendezvous, _voter

_REQUEST_TIMEOUT_MS: Final = 500.0
_POLL_INTERVAL_S: Final = 0.05


class ClaimStatus(enum.Enum):
    """Result of a claim."""

    WON = 'won'
    HELD_ELSEWHERE = 'held-elsewhere'
    IN_DOUBT = 'in-doubt'


class ClaimResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a claim, with its explanation.

    Attributes:
        status: Whether this guard may run the key.
        holder: The other target that holds the key, if one does.
        explanation: Why the claim failed; empty if it was won.
    """

    status: ClaimStatus
    holder: identifiers.TargetId | None = None
    explanation: str = ''


class _Tally(msgspec.Struct, frozen=True, kw_only=True):
    """Vote counts of one poll of the members."""

    granted: int
    holders: tuple[control.ClaimId, ...]
    unanswered: int


class Claimant:
    """Claims keys for one guard.

    A claim opens a round, requests a vote from every member of the service
    and wins the key with a majority of the member list. Of two guards that
    claim concurrently, the later one in rendezvous order abandons its round.

    Args:
        target: The target behind this guard.
        incarnation: Identifies this process start of the guard.
        node: Sends the vote requests.
        voter: Holds this guard's own vote.
        clock: Measures the time limit of a claim.
        service: Returns the service's current member list and policy.
        address_of: Returns a member's control address, None when unknown.
    """

    def __init__(
        self,
        *,
        target: identifiers.TargetId,
        incarnation: identifiers.Incarnation,
        node: control.Node,
        voter: _voter.Voter,
        clock: clocks.Clock,
        service: Callable[
            [],
            tuple[configuration.Service, configuration.Policy],
        ],
        address_of: Callable[[identifiers.TargetId], str | None],
    ) -> None:
        self._target = target
        self._incarnation = incarnation
        self._node = node
        self._voter = voter
        self._clock = clock
        self._service = service
        self._address_of = address_of

    async def claim(
        self,
        key: control.KeyRef,
        record: _record.KeyRecord,
    ) -> ClaimResult:
        """Tries to win a key; leaves the record in state HELD or IDLE.

        Args:
            key: The caller's key.
            record: This guard's record of the key, in state IDLE.
        """
        service, policy = self._service()
        if self._target not in service.targets:
            return _in_doubt('this target is not in the member list')
        if not self._voter.covers_lifetime(key):
            return _in_doubt('the guard started after the key was created')
        own_claim = self._open_round(record)
        deadline_ms = self._clock.now_ms() + policy.claim_ms
        result = await self._collect_votes(key, record, own_claim, deadline_ms)
        if _is_open(record, own_claim):
            won = result.status is ClaimStatus.WON
            state = _record.KeyState.HELD if won else _record.KeyState.IDLE
            record.state = state
            return result
        return _in_doubt('the key was settled while votes were collected')

    def _open_round(self, record: _record.KeyRecord) -> control.ClaimId:
        record.round += 1
        record.state = _record.KeyState.CLAIMING
        return control.ClaimId(
            target=self._target,
            incarnation=self._incarnation,
            round=record.round,
        )

    async def _collect_votes(
        self,
        key: control.KeyRef,
        record: _record.KeyRecord,
        own_claim: control.ClaimId,
        deadline_ms: float,
    ) -> ClaimResult:
        abandoned: set[control.ClaimId] = set()
        while _is_open(record, own_claim):
            members = self._service()[0].targets
            tally = await self._request_votes(
                key, own_claim, members, abandoned
            )
            if tally.granted > len(members) // 2:
                return ClaimResult(status=ClaimStatus.WON)
            rival = await self._resolve_rivals(key, tally.holders, abandoned)
            if rival is not None:
                return ClaimResult(
                    status=ClaimStatus.HELD_ELSEWHERE,
                    holder=rival,
                    explanation=f'the key is held at {rival}',
                )
            if self._clock.now_ms() >= deadline_ms:
                return _in_doubt(
                    f'{tally.granted} of {len(members)} members voted for '
                    f'this target, {tally.unanswered} did not answer',
                )
            await asyncio.sleep(_POLL_INTERVAL_S)
        return _in_doubt('the key was settled while votes were collected')

    async def _request_votes(
        self,
        key: control.KeyRef,
        own_claim: control.ClaimId,
        members: Sequence[identifiers.TargetId],
        abandoned: set[control.ClaimId],
    ) -> _Tally:
        request = control.VoteRequest(
            key=key,
            claim=own_claim,
            abandoned=tuple(sorted(abandoned)),
            view_digest=_rendezvous.view_digest(members),
        )
        answers = await asyncio.gather(
            *(self._request_vote(member, request) for member in members),
        )
        known = [answer for answer in answers if answer is not None]
        granted = [
            answer
            for answer in known
            if answer.state is control.VoteState.GRANTED
        ]
        holders = {
            answer.holder
            for answer in known
            if answer.holder not in {None, own_claim}
        }
        return _Tally(
            granted=len(granted),
            holders=tuple(sorted(holder for holder in holders if holder)),
            unanswered=len(answers) - len(known),
        )

    async def _request_vote(
        self,
        member: identifiers.TargetId,
        request: control.VoteRequest,
    ) -> control.VoteAnswer | None:
        if member == self._target:
            return self._voter.vote(request)
        address = self._address_of(member)
        if address is None:
            return None
        try:
            return await self._node.ask(
                address,
                request,
                answer=control.VoteAnswer,
                timeout_ms=_REQUEST_TIMEOUT_MS,
            )
        except control.PeerUnreachable:
            return None

    async def _resolve_rivals(
        self,
        key: control.KeyRef,
        rivals: Sequence[control.ClaimId],
        abandoned: set[control.ClaimId],
    ) -> identifiers.TargetId | None:
        """Returns the rival to yield to; adds rounds to ``abandoned``."""
        for rival in rivals:
            standing = await self._query_round(key, rival)
            if standing is control.RoundStanding.ABANDONED:
                abandoned.add(rival)
            elif (
                standing is control.RoundStanding.WON
                or self._precedes_own_target(key, rival.target)
            ):
                return rival.target
        return None

    async def _query_round(
        self,
        key: control.KeyRef,
        rival: control.ClaimId,
    ) -> control.RoundStanding:
        query = control.RoundQuery(key=key, claim=rival)
        if rival.target == self._target:
            return self._voter.answer_round(query).standing
        address = self._address_of(rival.target)
        if address is None:
            return control.RoundStanding.OPEN
        try:
            answer = await self._node.ask(
                address,
                query,
                answer=control.RoundState,
                timeout_ms=_REQUEST_TIMEOUT_MS,
            )
        except control.PeerUnreachable:
            return control.RoundStanding.OPEN
        return answer.standing

    def _precedes_own_target(
        self,
        key: control.KeyRef,
        rival: identifiers.TargetId,
    ) -> bool:
        order = _rendezvous.order_targets(key, {rival, self._target})
        return order[0] == rival


def _is_open(record: _record.KeyRecord, own_claim: control.ClaimId) -> bool:
    same_round = record.round == own_claim.round
    return same_round and record.state is _record.KeyState.CLAIMING


def _in_doubt(explanation: str) -> ClaimResult:
    return ClaimResult(status=ClaimStatus.IN_DOUBT, explanation=explanation)
