"""Retry budgets, which limit retries in proportion to successful calls."""

from __future__ import annotations

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket that successful calls refill and retries drain.

    :param max_tokens: capacity of the bucket, which starts full.
    :param tokens_per_success: tokens that one successful call adds.
    """

    def __init__(self, max_tokens: float, tokens_per_success: float) -> None:
        self._max_tokens = max_tokens
        self._tokens_per_success = tokens_per_success
        self._tokens = max_tokens

    def record_success(self) -> None:
        """Add the tokens for one successful call."""
        self._tokens = min(self._max_tokens, self._tokens + self._tokens_per_success)

    def try_spend(self) -> bool:
        """Spend one token; return whether one was available."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
