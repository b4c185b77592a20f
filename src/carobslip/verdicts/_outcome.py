"""A verdict together with its reason."""

import msgspec

from carobslip.verdicts import _reason, _verdict


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Typed result of an attempt.

    Attributes:
        verdict: Whether the request may have had an effect.
        reason: The cause of the verdict.
        explanation: One sentence for people; empty if the reason suffices.
        retry_after_ms: Delay before a retry may succeed; None if unknown.
        holder: The target that holds the key, if it is another one.
        key_proof: No request with the same key has run so far.
    """

    verdict: _verdict.Verdict
    reason: _reason.Reason
    explanation: str = ''
    retry_after_ms: int | None = None
    holder: str | None = None
    key_proof: bool = False


def not_run(
    reason: _reason.Reason,
    explanation: str = '',
    retry_after_ms: int | None = None,
) -> Outcome:
    """Builds the outcome of a request that certainly had no effect."""
    return Outcome(
        verdict=_verdict.Verdict.NOT_RUN,
        reason=reason,
        explanation=explanation,
        retry_after_ms=retry_after_ms,
    )


def ran(reason: _reason.Reason = _reason.Reason.COMPLETED) -> Outcome:
    """Builds the outcome of a request that the target has answered."""
    return Outcome(verdict=_verdict.Verdict.RAN, reason=reason)


def may_have_run(reason: _reason.Reason, explanation: str = '') -> Outcome:
    """Builds the outcome of a request whose effect is not known."""
    return Outcome(
        verdict=_verdict.Verdict.MAY_HAVE_RUN,
        reason=reason,
        explanation=explanation,
    )
