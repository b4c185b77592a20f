"""A guard's single vote on one key."""

from collections.abc import Iterable

import msgspec

from carobslip import control


class Ballot(msgspec.Struct, frozen=True, kw_only=True):
    """The round that has this guard's vote, if any.

    Two majorities of one member list share a guard, and that guard's ballot
    names one round. So at most one round of a key can gather a majority,
    unless its guard has first given the round up for good.
    """

    holder: control.ClaimId | None = None

    def consider(
        self,
        claim: control.ClaimId,
        abandoned: Iterable[control.ClaimId],
    ) -> 'Ballot':
        """Returns the ballot after a request for the vote.

        Args:
            claim: The round that asks.
            abandoned: Rounds whose guards have given them up for good; a
                later round of a guard gives up its earlier ones.

        >>> first = control.ClaimId(target='a', incarnation=1, round=1)
        >>> other = control.ClaimId(target='b', incarnation=1, round=1)
        >>> Ballot().consider(first, ()).consider(other, ()).holder.target
        'a'
        >>> Ballot(holder=first).consider(other, (first,)).holder.target
        'b'
        """
        if self.holder is None or self._is_given_up(claim, abandoned):
            return Ballot(holder=claim)
        return self

    def _is_given_up(
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
            _same_guard(holder, given_up) and holder.round <= given_up.round
            for given_up in abandoned
        )


def _same_guard(left: control.ClaimId, right: control.ClaimId) -> bool:
    same_target = left.target == right.target
    return same_target and left.incarnation == right.incarnation
