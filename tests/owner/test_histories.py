"""Invariants of the entry roles under random event histories."""

from __future__ import annotations

from tests.support.step_history import (
    LateCommandsHistory,
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
