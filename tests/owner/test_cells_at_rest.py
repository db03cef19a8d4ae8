"""Cells that come to rest after troubles: see tests/support/idle_cell.py."""

from __future__ import annotations

import pytest
from tests.support.idle_cell import RestingCell


@pytest.mark.parametrize("seed", range(24))
def test_job_waits_for_ever_in_a_cell_at_rest(seed):
    assert RestingCell(seed).play() == []
