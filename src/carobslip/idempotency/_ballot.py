"""The single vote of a guard on one key."""

from collections.abc import Iterable

import msgspec

from carobslip import control


class Ballot(msgspec.Struct, frozen=True, kw_only=True):
    """The round that holds this guard's vote, if any.

    Any two majorities of one member list intersect in a guard, whose ballot
    names one round. So at most one round of a key can reach a majority,
    unless its claimant has first abandoned the round permanently.
    """

    holder: control.ClaimId | None = None

    def consider(
        self,
        claim: control.ClaimId,
        abandoned: Iterable[control.ClaimId],
    ) -> 'Ballot':
        """Returns the ballot after a request for the vote.

        Args:
            claim: The round that requests the vote.
            abandoned: Rounds that their claimants have abandoned
                permanently; a later round of a guard implies that its
                earlier ones are abandoned.

        >>> first = control.ClaimId(target='a', incarnation=1, round=1)
        >>> other = control.ClaimId(target='b', incarnation=1, round=1)
        >>> Ballot().consider(first, ()).consider(other, ()).holder.target
        'a'
        >>> Ballot(holder=first).consider(other, (first,)).holder.target
        'b'
        """
        if self.holder is None or self._is_abandoned(claim, abandoned):
            return Ballot(holder=claim)
        return self

    def _is_abandoned(
        self,
        claim: control.ClaimId,
        abandoned: Iterable[control.ClaimId],
    ) -> bool:
        holder = self.holder
        if holder is None:
            return True
        if _same_guard(holder, claim):
            return holder.round < claim.round
        return any(
            _same_guard(holder, ended) and holder.round <= ended.round
            for ended in abandoned
        )


def _same_guard(left: control.ClaimId, right: control.ClaimId) -> bool:
    same_target = left.target == right.target
    return same_target and left.incarnation == right.incarnation
