"""Determines whether a request whose reply was lost has run."""

from typing import Final

import msgspec

from carobslip import control, identifiers, routing, verdicts

_SETTLE_TIMEOUT_MS: Final = 500.0
_REQUESTS_MAX: Final = 2

#: States in which the same guard can still return the reply.
REJOINABLE: Final = frozenset(
    (control.SettleState.RUNNING, control.SettleState.DONE),
)


class Settlement:
    """Asks guards to settle keys.

    Args:
        node: Sends the requests.
        hints: Stores the hints contained in the answers.
    """

    def __init__(
        self,
        *,
        node: control.Node,
        hints: routing.HintStore,
    ) -> None:
        self._node = node
        self._hints = hints

    async def settle(
        self,
        key: control.KeyRef,
        address: str,
        incarnation: identifiers.Incarnation,
    ) -> control.SettleAnswer | None:
        """Asks the guard that got an attempt to settle its key.

        Args:
            key: The key of the request.
            address: Control address of the guard.
            incarnation: Incarnation that the attempt was sent to; a later
                one has no record of the attempt, so it proves nothing.

        Returns:
            The answer; None if the guard does not answer.
        """
        request = control.SettleKey(key=key, incarnation=incarnation)
        for _ in range(_REQUESTS_MAX):
            answer = await self._ask(address, request)
            if answer is not None:
                self._hints.note(answer.hint)
                return answer
        return None

    async def _ask(
        self,
        address: str,
        request: control.SettleKey,
    ) -> control.SettleAnswer | None:
        try:
            return await self._node.ask(
                address,
                request,
                answer=control.SettleAnswer,
                timeout_ms=_SETTLE_TIMEOUT_MS,
            )
        except control.PeerUnreachable:
            return None


def outcome_of(
    settled: control.SettleAnswer | None,
    unseen: verdicts.Outcome,
) -> verdicts.Outcome:
    """Returns the outcome that a settle answer proves.

    Args:
        settled: The answer, if there was one.
        unseen: The outcome if the guard now refuses the attempt permanently.
    """
    if settled is None:
        return verdicts.may_have_run(
            verdicts.Reason.CONNECTION_LOST,
            'the guard that may have the request does not answer',
        )
    if settled.state is control.SettleState.UNSEEN:
        return msgspec.structs.replace(unseen, key_proof=settled.exclusive)
    if settled.state is control.SettleState.IN_DOUBT:
        return verdicts.may_have_run(verdicts.Reason.KEY_IN_DOUBT)
    return verdicts.may_have_run(
        verdicts.Reason.REPLY_TIMEOUT,
        f'the request is {settled.state.value} at its target',
    )
