"""The check of starts after an acknowledged end, given histories that break it."""

from __future__ import annotations

import pytest
from tests.support.step_invariants import check_no_start_after_acknowledged_end

from lagoonpulley.standin.task_worker import Execution
from lagoonpulley.upstream.tasks import TaskRef
from lagoonpulley.workload.record import EndKind
from lagoonpulley.workload.spec import TaskKey


def done(run, started_at):
    """Return a run of one second that was acknowledged as done."""
    ended_at = started_at + 1.0
    ref = TaskRef("a" * 16, TaskKey(0, 0, 0), run)
    return Execution(ref, started_at, ended_at, ended_at, EndKind.DONE, ended_at)


@pytest.mark.parametrize("order", [1, -1])
def test_two_runs_that_were_acknowledged_as_done_break_the_rule(order):
    executions = [done(1, 0.0), done(2, 5.0)][::order]
    with pytest.raises(AssertionError):
        check_no_start_after_acknowledged_end(executions)
