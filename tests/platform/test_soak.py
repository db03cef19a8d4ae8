"""A short soak of an entry; ``python -m benchmarks.soak`` plays more seeds."""

from __future__ import annotations

import pytest
from tests.support.soak import soak


@pytest.mark.parametrize("seed", range(6))
def test_signals_and_hostile_callers_cut_off_no_response(seed, tmp_path):
    assert soak(seed, tmp_path).faults() == []
