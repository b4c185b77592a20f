"""Problem bodies for requests that end without a reply."""

import msgspec

from carobslip import entry, identifiers, verdicts


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A problem body as in RFC 9457, extended by verdict and reason."""

    type: str
    title: str
    status: int
    detail: str
    verdict: str
    reason: str
    request_id: str
    retry_after_ms: int | None = None


def problem_of(
    request_id: identifiers.RequestId,
    outcome: verdicts.Outcome,
) -> Problem:
    """Returns the problem body for an outcome."""
    return Problem(
        type=f'urn:carobslip:reason:{outcome.reason.value}',
        title=outcome.reason.value.replace('-', ' '),
        status=entry.status_of(outcome),
        detail=outcome.explanation,
        verdict=outcome.verdict.value,
        reason=outcome.reason.value,
        request_id=request_id,
        retry_after_ms=outcome.retry_after_ms,
    )
