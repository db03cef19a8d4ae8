"""Tests of the timeout of repeatable store calls."""

from __future__ import annotations

import pytest

from lagoonpulley.store.answer_timeout import (
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    AnswerTimeout,
)


@pytest.fixture
def timeout():
    return AnswerTimeout()


def test_lost_answer_is_noticed_soon_while_answers_are_fast(timeout):
    for _ in range(20):
        timeout.record_answer(0.008)
    assert timeout.timeout_s == MIN_TIMEOUT_S


def test_timeout_grows_with_each_failure_up_to_its_bound(timeout):
    timeouts = []
    for _ in range(5):
        timeouts.append(timeout.timeout_s)
        timeout.record_failure()
    assert timeouts == [0.15, 0.15, 0.3, 0.6, MAX_TIMEOUT_S]


def test_one_slow_answer_lengthens_the_next_timeouts(timeout):
    timeout.record_answer(0.3)
    timeout.record_answer(0.01)
    assert timeout.timeout_s == MAX_TIMEOUT_S


def test_timeout_is_short_again_after_fast_answers(timeout):
    timeout.record_answer(0.3)
    for _ in range(20):
        timeout.record_answer(0.01)
    assert timeout.timeout_s == MIN_TIMEOUT_S


def test_answer_ends_the_growth_after_failures(timeout):
    timeout.record_answer(0.01)
    for _ in range(4):
        timeout.record_failure()
    timeout.record_answer(0.01)
    assert timeout.timeout_s == MIN_TIMEOUT_S
