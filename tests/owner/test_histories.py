"""Random histories of the roles that own workers and jobs."""

from __future__ import annotations

from hypothesis import HealthCheck, settings
from tests.support.step_history import StepHistory

TestStepHistories = StepHistory.TestCase
TestStepHistories.settings = settings(
    max_examples=20,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
