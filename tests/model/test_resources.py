"""Shares of amounts that are too large for a floating-point number."""

from __future__ import annotations

from lagoonpulley.model.resources import Resources


def test_share_of_an_amount_that_is_too_large_is_infinite():
    assert Resources(10**400).largest_fraction_of(Resources(1000)) == float("inf")


def test_share_of_a_total_that_is_too_large_is_nothing():
    assert Resources(1000).largest_fraction_of(Resources(10**4000)) == 0.0


def test_share_is_that_of_the_scarcest_resource():
    share = Resources(500, 10, 1).largest_fraction_of(Resources(1000, 1000, 1000))
    assert share == 0.5
