"""Answers other guards' questions about keys."""

from collections.abc import Callable

from carobslip import clocks, configuration, control, identifiers
from carobslip.idempotency import _record, _rendezvous, _witness


class Voter:
    """Gives this guard's vote, at most one for each key.

    Args:
        target: The target behind this guard.
        incarnation: Which start of this guard.
        record: What the guard remembers.
        clock: Wall time for the age of keys.
        service: Returns the service's present member list and policy.
        started_wall_ms: When the guard's memory began.
    """

    def __init__(
        self,
        *,
        target: identifiers.TargetId,
        incarnation: identifiers.Incarnation,
        record: _record.Record,
        clock: clocks.Clock,
        service: Callable[
            [],
            tuple[configuration.Service, configuration.Policy],
        ],
        started_wall_ms: int,
    ) -> None:
        self._target = target
        self._incarnation = incarnation
        self._record = record
        self._clock = clock
        self._service = service
        self._started_wall_ms = started_wall_ms

    def remembers(self, key: control.KeyRef) -> bool:
        """Tells whether this guard's memory covers the key's whole life."""
        service, policy = self._service()
        witness = _witness.Witness(
            started_wall_ms=self._started_wall_ms,
            keys_valid_from_ms=service.keys_valid_from_ms,
        )
        return witness.covers(key, wall_ms=self._clock.wall_ms(), policy=policy)

    def vote(self, request: control.VoteRequest) -> control.VoteAnswer:
        """Answers a request for this guard's vote."""
        service, _policy = self._service()
        if request.view_digest != _rendezvous.view_digest(service.targets):
            return control.VoteAnswer(state=control.VoteState.VIEW_DIFFERS)
        if not self.remembers(request.key):
            return control.VoteAnswer(state=control.VoteState.NO_MEMORY)
        try:
            record = self._record.open(request.key)
        except _record.RecordFull:
            return control.VoteAnswer(state=control.VoteState.RECORD_FULL)
        return self._decide(record, request)

    def answer_round(self, query: control.RoundQuery) -> control.RoundState:
        """Tells how one of this guard's own rounds stands."""
        record = self._record.find(query.key)
        if not self._is_mine(query.claim) or record is None:
            return control.RoundState(standing=control.RoundStanding.OPEN)
        return control.RoundState(standing=record.standing(query.claim.round))

    def _is_mine(self, claim: control.ClaimId) -> bool:
        same_target = claim.target == self._target
        return same_target and claim.incarnation == self._incarnation

    def _decide(
        self,
        record: _record.KeyRecord,
        request: control.VoteRequest,
    ) -> control.VoteAnswer:
        abandoned = [*request.abandoned, *self._own_abandoned(record)]
        record.ballot = record.ballot.consider(request.claim, abandoned)
        granted = record.ballot.holder == request.claim
        state = control.VoteState.GRANTED if granted else control.VoteState.HELD
        return control.VoteAnswer(state=state, holder=record.ballot.holder)

    def _own_abandoned(
        self,
        record: _record.KeyRecord,
    ) -> list[control.ClaimId]:
        if record.state is not _record.KeyState.IDLE or record.round == 0:
            return []
        given_up = control.ClaimId(
            target=self._target,
            incarnation=self._incarnation,
            round=record.round,
        )
        return [given_up]
