"""What a caller may be told."""

from typing import Final

import msgspec

from carobslip import verdicts

_Reason = verdicts.Reason
_Verdict = verdicts.Verdict

#: The request itself is at fault; every guard would refuse it.
REQUEST_FAULTS: Final = frozenset(
    (_Reason.KEY_CONFLICT, _Reason.KEY_IN_FUTURE, _Reason.BAD_REQUEST),
)


def judge_for_caller(
    outcome: verdicts.Outcome,
    *,
    key_is_callers: bool,
) -> verdicts.Outcome:
    """Returns the verdict that the caller may be told.

    A refusal by one guard says nothing about earlier requests with the same
    key; NOT_RUN is told only when the guard vouches for the key.

    Args:
        outcome: How the last attempt ended.
        key_is_callers: The key may have been used by earlier requests.
    """
    if outcome.verdict is not _Verdict.NOT_RUN or not key_is_callers:
        return outcome
    if outcome.key_proof or outcome.reason in REQUEST_FAULTS:
        return outcome
    return msgspec.structs.replace(outcome, verdict=_Verdict.MAY_HAVE_RUN)
