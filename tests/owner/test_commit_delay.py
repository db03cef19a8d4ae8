"""The estimate of how much an owner can commit within a time."""

from __future__ import annotations

from lagoonpulley.owner.commit_delay import CommitDelay
from lagoonpulley.owner.journal import MAX_COMMIT_ROWS

DELAY_S = 0.5


def test_rows_of_one_commit_are_allowed_however_slow_the_store_is():
    delay = CommitDelay()
    for number in range(20):
        delay.record_sent(10.0 * number)
        delay.record_durable(10.0 * number + 9.0)
    assert delay.rows_within(DELAY_S, 200.0) == MAX_COMMIT_ROWS


def test_commit_in_flight_lowers_the_rows_before_it_ends():
    delay = CommitDelay()
    delay.record_sent(1.0)
    delay.record_durable(1.01)
    before = delay.rows_within(DELAY_S, 1.02)
    delay.record_sent(2.0)
    assert delay.rows_within(DELAY_S, 2.4) == MAX_COMMIT_ROWS < before
