"""Limits retries to a fraction of recent successes."""

from typing import Final

_TOKENS_MAX: Final = 20.0


class RetryBudget:
    """Token bucket for retries: each success adds a fraction of a token.

    During an outage successes stop, so retries stop as well instead of
    multiplying the load.

    >>> budget = RetryBudget()
    >>> sum(budget.try_spend() for _ in range(100))
    20
    """

    def __init__(self) -> None:
        self._tokens = _TOKENS_MAX

    def note_success(self, retry_ratio: float) -> None:
        """Adds ``retry_ratio`` tokens, up to the maximum."""
        self._tokens = min(_TOKENS_MAX, self._tokens + retry_ratio)

    def try_spend(self) -> bool:
        """Takes a token; returns False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
