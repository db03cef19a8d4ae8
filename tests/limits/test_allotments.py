"""Allotments: the division of team limits between data centres."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonpulley.limits.allotments import (
    PARTS_PER_LIMIT,
    Allotments,
    parse_allotments,
    parts_needed,
)

CENTRES = ("arad", "lugoj", "timisoara")
MOVES = st.lists(
    st.tuples(st.sampled_from(CENTRES), st.integers(-1200, 1200)), max_size=30
)


@settings(derandomize=True, database=None)
@given(MOVES)
def test_parts_never_exceed_the_limit(moves):
    allotments = Allotments()
    for data_centre, change in moves:
        try:
            allotments = allotments.with_parts_changed(
                "north", data_centre, change, CENTRES
            )
        except ValueError:
            continue
        parts = allotments.parts_by_data_centre("north", CENTRES)
        assert sum(parts.values()) <= PARTS_PER_LIMIT
        assert min(parts.values()) >= 0
        free = allotments.free_parts("north", CENTRES)
        assert free == PARTS_PER_LIMIT - sum(parts.values())


def test_team_without_a_record_is_divided_evenly():
    assert Allotments().parts_of("north", "arad", CENTRES) == 333


def test_stored_parts_above_the_limit_are_rejected():
    assert parse_allotments('{"parts":{"north":{"a":600,"b":600}}}').is_error()


@pytest.mark.parametrize(
    ("use", "limit", "parts"),
    [
        ((0, 0), (10, 10), 0),
        ((1, 0), (3, 0), 334),
        ((3, 1), (3, 3), 1000),
        ((4, 0), (3, 0), 1334),
        ((1, 0), (0, 0), 1001),
    ],
)
def test_parts_needed(use, limit, parts):
    assert parts_needed(use, limit) == parts
