"""Every invariant can fail: a broken variant of the product breaks it."""

from __future__ import annotations

import pytest
from tests.support.history import History, run_history
from tests.support.invariants import ALWAYS, InvariantBroken
from tests.support.mutants import MUTANTS

SEEDS = 20


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_mutant_is_caught(mutant, monkeypatch):
    with monkeypatch.context() as patched:
        mutant.patch(patched)
        with pytest.raises(InvariantBroken, match=mutant.invariant):
            _run(mutant)


@pytest.mark.parametrize(
    "mutant",
    [mutant for mutant in MUTANTS if mutant.scenario],
    ids=lambda mutant: mutant.name,
)
def test_scenario_passes_without_mutation(mutant):
    _run(mutant)


def test_every_invariant_has_a_mutant():
    covered = {mutant.invariant for mutant in MUTANTS}
    assert covered == {check.__name__ for check in ALWAYS}


def _run(mutant):
    if mutant.scenario is not None:
        history = History(seed=1)
        mutant.scenario(history)
        history.check()
        return
    for seed in range(SEEDS):
        _run_until_caught(mutant, seed)


def _run_until_caught(mutant, seed):
    """Pass over histories in which the mutant breaks something else first."""
    try:
        run_history(seed)
    except InvariantBroken as broken:
        if str(broken).startswith(mutant.invariant):
            raise
