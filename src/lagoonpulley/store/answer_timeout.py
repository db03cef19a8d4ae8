"""How long to wait for the answer to a call that may be repeated."""

from __future__ import annotations

__all__ = ["AnswerTimeout"]

MIN_TIMEOUT_S = 0.15
MAX_TIMEOUT_S = 0.8
TIMEOUT_PER_USUAL_TIME = 4.0
# Weight of the latest answer's time in the usual one, if it is the shorter.
TIME_WEIGHT = 0.25
# Single answers are lost. After this many failures in a row, the store may be slow.
FAILURES_BEFORE_GROWTH = 2


class AnswerTimeout:
    """Timeout of one kind of call: a multiple of the usual time of its answers.

    It answers the loss of single answers: a lost one is noticed soon, and the call
    repeated. The timeout grows with successive failures, and at once when an answer
    took long, so that a slow store, link or process gets few more calls.

    :param min_timeout_s: shortest timeout, in seconds.
    """

    def __init__(self, min_timeout_s: float = MIN_TIMEOUT_S) -> None:
        self._min_timeout_s = min_timeout_s
        self._usual_s = 0.0
        self._failures = 0

    @property
    def timeout_s(self) -> float:
        """Timeout of the next call, in seconds."""
        first_s = max(self._min_timeout_s, TIMEOUT_PER_USUAL_TIME * self._usual_s)
        doublings = max(0, self._failures - FAILURES_BEFORE_GROWTH + 1)
        return min(MAX_TIMEOUT_S, first_s * 2**doublings)

    def record_answer(self, took_s: float) -> None:
        """Record an answer, and how long it took in seconds."""
        self._failures = 0
        if took_s > self._usual_s:
            self._usual_s = took_s
        else:
            self._usual_s += TIME_WEIGHT * (took_s - self._usual_s)

    def record_failure(self) -> None:
        """Record a call without an answer."""
        if self.timeout_s < MAX_TIMEOUT_S:
            self._failures += 1
