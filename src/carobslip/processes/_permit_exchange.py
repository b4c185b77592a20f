"""Asks the entry that counts the requests to a limited target."""

from collections.abc import Callable, Iterable
from typing import Final

from carobslip import (
    clocks,
    control,
    directory,
    forwarding,
    hashing,
    identifiers,
    observability,
)

_ANSWER_TIMEOUT_MS: Final = 60.0
#: A target is not tried for this long if the entry that counts for it is silent.
_SILENT_WAIT_MS: Final = 300.0


class PermitExchange:
    """Implements the permit port; each target is counted by one entry.

    Entries that know the same members choose the same one by hashing.

    Args:
        node: Control traffic of this process.
        issuer: Counts the requests that are assigned to this process.
        entries: Returns the entries that are alive, this one included.
        clock: Monotonic time.
        log: Receives peers that do not answer.
    """

    def __init__(
        self,
        *,
        node: control.Node,
        issuer: forwarding.PermitIssuer,
        entries: Callable[[], Iterable[directory.InstanceRecord]],
        clock: clocks.Clock,
        log: observability.EventLog,
    ) -> None:
        self._node = node
        self._issuer = issuer
        self._entries = entries
        self._clock = clock
        self._log = log
        node.register_handler(control.AskPermit, self._answer)

    async def ask(
        self,
        target: identifiers.TargetId,
        limit: forwarding.NamedLimit,
    ) -> forwarding.Permit:
        """Asks for one request to a target."""
        own = self._node.origin.instance
        issuer = min(
            self._entries(),
            key=lambda entry: hashing.digest_names(target, entry.instance),
            default=None,
        )
        if issuer is None or issuer.instance == own:
            return self._issuer.issue(target, limit)
        try:
            answer = await self._node.ask(
                issuer.control_address,
                control.AskPermit(
                    target=target,
                    rate_rps=limit.rate_rps,
                    named_age_ms=self._clock.now_ms() - limit.named_ms,
                ),
                answer=control.PermitAnswer,
                timeout_ms=_ANSWER_TIMEOUT_MS,
            )
        except control.PeerUnreachable as fault:
            self._log.write(
                observability.Event.PEER_SILENT,
                address=issuer.control_address,
                fault=str(fault),
            )
            return forwarding.Permit(is_granted=False, wait_ms=_SILENT_WAIT_MS)
        return forwarding.Permit(
            is_granted=answer.is_granted, wait_ms=answer.wait_ms
        )

    async def _answer(
        self,
        request: control.AskPermit,
        origin: control.Origin,
    ) -> control.PermitAnswer:
        permit = self._issuer.issue(
            request.target,
            forwarding.NamedLimit(
                rate_rps=request.rate_rps,
                named_ms=self._clock.now_ms() - request.named_age_ms,
            ),
        )
        return control.PermitAnswer(
            is_granted=permit.is_granted, wait_ms=permit.wait_ms
        )
