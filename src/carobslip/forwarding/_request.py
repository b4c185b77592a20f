"""A request that an entry forwards, and the head of its answer."""

import msgspec

from carobslip import identifiers

#: Header names with their values, in the order in which they arrived.
Headers = tuple[tuple[str, str], ...]


class ForwardRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a caller.

    Attributes:
        request_id: The caller's own identifier of this try.
        host: The host that the caller named.
        path: Path with its query, as sent.
        method: HTTP method.
        headers: Headers that are passed on unchanged.
        body: The whole body.
        api_key: The key that names the caller's team, if there is one.
        arrived_ms: When it had been read, on the entry's clock.
        patience_ms: How long the caller waits from then on.
        prompt_tokens: Prompt size that the caller states; 0 if none.
        answer_tokens_max: Most tokens that may be written; 0 if not stated.
        last_event: Where a stream that the caller resumes goes on.
    """

    request_id: identifiers.RequestId
    host: str
    path: str
    method: str
    headers: Headers
    body: bytes
    api_key: str | None
    arrived_ms: float
    patience_ms: float
    prompt_tokens: int = 0
    answer_tokens_max: int = 0
    last_event: str | None = None


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and end-to-end headers of a target's answer."""

    status: int
    headers: Headers

    @property
    def is_success(self) -> bool:
        """Tells whether the status is 2xx."""
        return 200 <= self.status < 300
