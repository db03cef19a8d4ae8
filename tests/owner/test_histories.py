"""Invariants of the entry roles under random event histories."""

from __future__ import annotations

from collections import Counter

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from tests.support.late_histories import (
    LateCommandsHistory,
    LateGrantsHistory,
    LateRestartsHistory,
)
from tests.support.logged_events import capture_events
from tests.support.step_history import (
    StepHistory,
    UnequalEntriesHistory,
    history_settings,
)

TestStepHistories = StepHistory.TestCase
TestStepHistories.settings = history_settings(20, derandomize=True)

TestUnequalEntriesHistories = UnequalEntriesHistory.TestCase
TestUnequalEntriesHistories.settings = history_settings(20, derandomize=True)

TestLateCommandsHistories = LateCommandsHistory.TestCase
TestLateCommandsHistories.settings = history_settings(20, derandomize=True)

GENERATED = history_settings(
    60,
    derandomize=True,
    phases=[Phase.generate],
    report_multiple_bugs=False,
    print_blob=False,
)

TestLateRestartsHistories = LateRestartsHistory.TestCase
TestLateRestartsHistories.settings = GENERATED

TestLateGrantsHistories = LateGrantsHistory.TestCase
TestLateGrantsHistories.settings = settings(GENERATED, max_examples=90)


def test_late_restarts_histories_reach_what_they_are_for():
    """A batch that never gets there would prove nothing.

    The invariants are those of the test case above.
    """
    reached: Counter[str] = Counter()

    class CountedHistory(LateRestartsHistory):
        def teardown(self):
            self._end_faults()
            self.world.run(5.0)
            reached.update(self.reached_states())

    with capture_events() as events:
        run_state_machine_as_test(CountedHistory, settings=GENERATED)
    reached["adopted run"] = len(events.named("unknown_run"))
    assert reached["late SyncWorker behind a cut"] >= 1, reached
    assert reached["late StartTask behind a cut"] >= 1, reached
    assert reached["adopted run"] >= 1, reached
    assert reached["start on a smaller incarnation"] >= 1, reached


def test_late_grants_histories_reach_what_they_are_for():
    """As above; the invariants are those of the test case."""
    reached: Counter[str] = Counter()

    class CountedHistory(LateGrantsHistory):
        def teardown(self):
            self._end_faults()
            reached.update(self.reached_states())

    histories = TestLateGrantsHistories.settings
    run_state_machine_as_test(CountedHistory, settings=histories)
    assert reached["late grant behind a cut"] >= 1, reached
    assert reached["late start behind a cut"] >= 1, reached
    assert reached["late command refused under a later token"] >= 1, reached
    assert reached["owner killed around a cut"] >= 1, reached
