"""Size of the progress that an owner stores of a job, which is one value."""

from __future__ import annotations

import pytest
from tests.support.steps import step

from lagoonpulley.workload.documents import ProgressDocument
from lagoonpulley.workload.record import MAX_LIVE_TASKS, EndKind, JobRecord
from lagoonpulley.workload.spec import JobSpec, TaskKey

JOB = "a" * 16
MAX_VALUE_BYTES = 1_048_576


def record_with_tasks(count, checkpoint, repeats=0):
    times = {"first_at": 0.0, "interval_s": 1.0, "repeats": repeats}
    steps = (step(count=count, saves_progress=True),)
    record = JobRecord.from_spec(JobSpec(JOB, "q", "north", "", steps, 0.0, **times))
    record.open_due_occurrences(wall=1e9, early_s=0.0)
    for key in record.task_by_key:
        record.begin_run(key, 1, "i-0123456789abcdef", 1796591154723)
        record.mark_started(key, 1)
        record.task_by_key[key].checkpoint = checkpoint
    return record


def add_losses(record):
    """Add a crash and a run that was given up to each task."""
    for key, task in record.task_by_key.items():
        record.change_crashes(key, 1, 1 / 3)
        task.given_up_runs |= {1}


def size_of_progress(record):
    return len(ProgressDocument.from_record(record).model_dump_json())


@pytest.mark.parametrize("length", [16, 256, 4096, 500_000])
@pytest.mark.parametrize("count", [1, 60, MAX_LIVE_TASKS])
def test_progress_of_the_largest_job_does_not_fit_into_a_value(count, length):
    record = record_with_tasks(count, "c" * length)
    add_losses(record)
    assert size_of_progress(record) < MAX_VALUE_BYTES


def test_progress_of_a_job_grows_with_every_task_that_was_done():
    """Each kept its checkpoint, until the document passed what a value may have."""
    record = record_with_tasks(60, "c" * 256, repeats=24)
    while keys := [key for key, _, _ in record.runs()]:
        for key in keys:
            record.end_run(key, EndKind.DONE, "c" * 256)
        record.close_done_occurrences()
    assert record.is_done()
    assert size_of_progress(record) < 30_000


def test_checkpoint_of_a_task_that_is_done_is_stored():
    record = record_with_tasks(1, "c" * 256)
    record.end_run(TaskKey(0, 0, 0), EndKind.DONE, "c" * 256)
    assert "ccc" not in ProgressDocument.from_record(record).model_dump_json()
