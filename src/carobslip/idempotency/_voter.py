"""Answers vote requests and round queries of other guards."""

from collections.abc import Callable

from carobslip import clocks, configuration, control, identifiers
from carobslip.idempotency import _key_age, _record, _rendezvous


class Voter:
    """Grants this guard's vote, at most one per key at a time.

    Args:
        target: The target behind this guard.
        incarnation: Identifies this process start of the guard.
        record: The deduplication record of this guard.
        clock: Wall time, for the age of keys.
        service: Returns the service's current member list and policy.
        started_wall_ms: When the guard's record began, Unix time.
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

    def covers_lifetime(self, key: control.KeyRef) -> bool:
        """Tells whether the record covers the key's whole lifetime."""
        service, policy = self._service()
        coverage = _key_age.RecordCoverage(
            started_wall_ms=self._started_wall_ms,
            keys_valid_from_ms=service.keys_valid_from_ms,
        )
        return coverage.covers(
            key, wall_ms=self._clock.wall_ms(), policy=policy
        )

    def vote(self, request: control.VoteRequest) -> control.VoteAnswer:
        """Answers a request for this guard's vote."""
        service, _policy = self._service()
        if request.view_digest != _rendezvous.view_digest(service.targets):
            return control.VoteAnswer(state=control.VoteState.VIEW_DIFFERS)
        if not self.covers_lifetime(request.key):
            return control.VoteAnswer(state=control.VoteState.NO_MEMORY)
        try:
            record = self._record.open(request.key)
        except _record.RecordFull:
            return control.VoteAnswer(state=control.VoteState.RECORD_FULL)
        return self._decide(record, request)

    def answer_round(self, query: control.RoundQuery) -> control.RoundState:
        """Returns the standing of one of this guard's own rounds."""
        record = self._record.find(query.key)
        if not self._is_own_claim(query.claim) or record is None:
            return control.RoundState(standing=control.RoundStanding.OPEN)
        return control.RoundState(standing=record.standing(query.claim.round))

    def _is_own_claim(self, claim: control.ClaimId) -> bool:
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
        abandoned = control.ClaimId(
            target=self._target,
            incarnation=self._incarnation,
            round=record.round,
        )
        return [abandoned]
