"""A request that an entry forwards, and the head of its answer."""

import msgspec

from carobslip import identifiers

#: Header names with their values, in the order in which they arrived.
Headers = tuple[tuple[str, str], ...]


class ForwardRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a caller.

    Attributes:
        request_id: The caller's own identifier of this attempt.
        host: The host that the caller named.
        path: Path with its query, as sent.
        method: HTTP method.
        headers: Headers that are passed on unchanged.
        body: The complete body.
        api_key: The key that identifies the caller's team, if there is one.
        arrived_ms: When it was completely read, on the entry's clock.
        patience_ms: How long the caller waits after that.
        prompt_tokens: Prompt size that the caller states; 0 if none.
        answer_tokens_max: Limit of generated tokens; 0 if not stated.
        answer_tokens_hint: The caller's estimate of them; 0 if none.
        last_event: The event after which the caller resumes a stream.
        shared_parts: The parts of its prompt that other requests may share.
        content_part: Stands for all that is requested; a caller that repeats the
            request under another identifier sends the same content.
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
    answer_tokens_hint: int = 0
    last_event: str | None = None
    shared_parts: tuple[identifiers.PromptPart, ...] = ()
    content_part: identifiers.PromptPart | None = None

    @property
    def crash_parts(self) -> tuple[identifiers.PromptPart, ...]:
        """The parts that may tell it from requests that crash no target."""
        if self.content_part is None:
            return self.shared_parts
        return (*self.shared_parts, self.content_part)


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and end-to-end headers of a target's answer."""

    status: int
    headers: Headers

    @property
    def is_success(self) -> bool:
        """Tells whether the status is 2xx."""
        return 200 <= self.status < 300
