"""Every invariant checked during a history fails for a faulty patch, its mutant.

A check that never fails would pass for any code.
"""

from __future__ import annotations

import pytest
from tests.support.history import History, run_history
from tests.support.invariants import CHECKS_AFTER_EACH_OPERATION, InvariantBroken
from tests.support.mutants import MUTANTS

SEED_COUNT = 20


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_mutant_is_caught(mutant, monkeypatch):
    with monkeypatch.context() as patched:
        mutant.patch(patched)
        with pytest.raises(InvariantBroken, match=mutant.invariant):
            _run_histories(mutant)


@pytest.mark.parametrize(
    "mutant",
    [mutant for mutant in MUTANTS if mutant.scenario],
    ids=lambda mutant: mutant.name,
)
def test_scenario_passes_without_mutation(mutant):
    _run_histories(mutant)


def test_every_invariant_has_a_mutant():
    covered = {mutant.invariant for mutant in MUTANTS}
    assert covered == {check.__name__ for check in CHECKS_AFTER_EACH_OPERATION}


def _run_histories(mutant):
    if mutant.scenario is not None:
        history = History(seed=1)
        mutant.scenario(history)
        history.check()
        return
    for seed in range(SEED_COUNT):
        _run_history_of_seed(mutant, seed)


def _run_history_of_seed(mutant, seed):
    """Run one history and ignore violations of other invariants than the mutant's."""
    try:
        run_history(seed)
    except InvariantBroken as error:
        if str(error).startswith(mutant.invariant):
            raise
