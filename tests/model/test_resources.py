"""Shares and counts of amounts, also of those too large for a floating-point number."""

from __future__ import annotations

import random

from lagoonpulley.model.resources import Resources


def test_share_of_an_amount_that_is_too_large_is_infinite():
    assert Resources(10**400).largest_fraction_of(Resources(1000)) == float("inf")


def test_share_of_a_total_that_is_too_large_is_nothing():
    assert Resources(1000).largest_fraction_of(Resources(10**4000)) == 0.0


def test_share_is_that_of_the_scarcest_resource():
    share = Resources(500, 10, 1).largest_fraction_of(Resources(1000, 1000, 1000))
    assert share == 0.5


def test_copies_counter_counts_as_copies_in():
    rng = random.Random(1)
    amounts = (0, 0, 1, 3, 2500, 16_000)
    for _ in range(500):
        request = Resources(*(rng.choice(amounts) for _ in range(5)))
        count = request.copies_counter()
        for _ in range(20):
            free = Resources(*(rng.randrange(-5000, 40_000) for _ in range(5)))
            assert count(free) == request.copies_in(free)
