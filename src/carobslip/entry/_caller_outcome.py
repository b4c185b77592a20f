"""Derives the outcome that is reported to a caller."""

from typing import Final

import msgspec

from carobslip import verdicts

_Reason = verdicts.Reason
_Verdict = verdicts.Verdict

#: Faults of the request itself, for which every guard would refuse it.
REQUEST_FAULTS: Final = frozenset(
    (_Reason.KEY_CONFLICT, _Reason.KEY_IN_FUTURE, _Reason.BAD_REQUEST),
)


def outcome_for_caller(
    outcome: verdicts.Outcome,
    *,
    key_is_callers: bool,
) -> verdicts.Outcome:
    """Returns the outcome to report to the caller.

    A refusal by one guard proves nothing about earlier requests with the
    same key; NOT_RUN is reported only if the guard has proof for the key.

    Args:
        outcome: Outcome of the last attempt.
        key_is_callers: The key may have been used by earlier requests.
    """
    if outcome.verdict is not _Verdict.NOT_RUN or not key_is_callers:
        return outcome
    if outcome.key_proof or outcome.reason in REQUEST_FAULTS:
        return outcome
    return msgspec.structs.replace(outcome, verdict=_Verdict.MAY_HAVE_RUN)
