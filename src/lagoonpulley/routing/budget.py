"""Retry budgets."""

from __future__ import annotations

__all__ = ["RetryBudget"]


class RetryBudget:
    """Tokens that successes earn and retries spend.

    :param most: tokens at the start and at most.
    :param earned_per_success: tokens that one success adds.
    """

    def __init__(self, max_tokens: float, tokens_per_success: float) -> None:
        self._most = max_tokens
        self._earned_per_success = tokens_per_success
        self._tokens = max_tokens

    def record_success(self) -> None:
        """Add the tokens of one success."""
        self._tokens = min(self._most, self._tokens + self._earned_per_success)

    def try_spend(self) -> bool:
        """Spend one token; return whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
