"""Random histories of operations and faults on a simulated cell keep the invariants.

Hypothesis derives its random seed from the source of ``CellMachine``, so a change of
its code changes the histories that are run.
"""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from tests.support.history import OPERATIONS, History, run_history

# Seeds whose histories have broken an invariant.
REGRESSION_SEEDS = (2, 8, 183, 1131, 1167, 1467, 100961, 101084, 400187, 402308)
CHOICES = st.randoms(use_true_random=False)


class CellMachine(RuleBasedStateMachine):
    """Operations on a cell in any order, with the invariants after each."""

    def __init__(self):
        super().__init__()
        self.history = History(seed=7)

    @rule(choice=CHOICES, name=st.sampled_from(sorted(set(OPERATIONS))))
    def operate(self, choice, name):
        getattr(self.history, name)(choice)

    @rule(choice=CHOICES)
    def submit_and_wait(self, choice):
        self.history.submit(choice)
        self.history.advance(choice)

    @invariant()
    def all_hold(self):
        self.history.check()

    def teardown(self):
        self.history.settle()


TestCell = CellMachine.TestCase
TestCell.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=12,
    stateful_step_count=25,
    suppress_health_check=list(HealthCheck),
)


@pytest.mark.parametrize("seed", [*range(12), *REGRESSION_SEEDS])
def test_history_keeps_invariants(seed):
    run_history(seed)
