"""Tasks that crash the workers that start them, and tasks beside them."""

from __future__ import annotations

import pytest
from tests.support.logged_events import capture_events
from tests.support.step_workers import CAPACITY
from tests.support.steps import StepWorld, step

from lagoonpulley.owner.takeover import restore_progress
from lagoonpulley.owner.term import OwnerTerm
from lagoonpulley.upstream.directory import WorkerInfo
from lagoonpulley.workload.documents import ProgressDocument
from lagoonpulley.workload.record import JobRecord
from lagoonpulley.workload.spec import JobSpec, TaskKey

DEADLY = "d" * 16
# A task may be started twice more after three workers have crashed under it.
MAX_STARTS = 5


@pytest.fixture(params=[True, False], ids=["new_id", "same_id"])
def world(request):
    made = StepWorld(entries=3, workers=6)
    made.crash_changes_id = request.param
    made.run(7.0)
    return made


def submit_neighbours(world, count=10, seconds=2):
    ids = [f"{number:016x}" for number in range(count)]
    for job_id in ids:
        world.submit(job_id, step(count=4), payload=f"seconds={seconds}")
    return ids


def finals(world, ids):
    return {world.final_state(job_id) for job_id in ids}


def starts_of(world, job_id):
    by_task = {}
    for execution in world.executions(job_id):
        by_task[execution.ref.key] = by_task.get(execution.ref.key, 0) + 1
    return by_task


@pytest.mark.parametrize("gang", [False, True])
def test_deadly_task_is_given_up_and_tasks_beside_it_are_done(world, gang):
    before = submit_neighbours(world)
    world.submit(DEADLY, step(count=2, gang=gang), payload="deadly")
    world.run_until(lambda: world.final_state(DEADLY) == "failed", 60.0)
    assert max(starts_of(world, DEADLY).values()) <= MAX_STARTS
    world.run_until(lambda: finals(world, before) == {"completed"}, 30.0)


def test_deadly_task_is_given_up_across_owners(world):
    before = submit_neighbours(world)
    world.submit(DEADLY, payload="deadly")
    for _ in range(MAX_STARTS):
        crashes = len(world.crashes)
        world.run_until(
            lambda known=crashes: (
                world.final_state(DEADLY) or len(world.crashes) > known
            ),
            30.0,
        )
        name = world.owner().name
        world.kill(world.owner())
        world.start_entry(name)
        world.run(2.0)
    world.run(5.0)
    assert world.final_state(DEADLY) == "failed"
    assert max(starts_of(world, DEADLY).values()) <= MAX_STARTS
    world.run_until(lambda: finals(world, before) == {"completed"}, 30.0)


def test_many_deadly_jobs_do_not_fail_other_jobs(world):
    before = submit_neighbours(world, count=6)
    deadly = [f"d{number:015x}" for number in range(6)]
    for job_id in deadly:
        world.submit(job_id, payload="deadly")
        world.run(0.3)
    world.run_until(lambda: finals(world, deadly) == {"failed"}, 90.0)
    for job_id in deadly:
        assert max(starts_of(world, job_id).values()) <= MAX_STARTS
    world.run_until(lambda: finals(world, before) == {"completed"}, 40.0)


def test_task_whose_workers_are_cut_off_again_and_again_is_done(world):
    job_id = "a" * 16
    world.submit(job_id, payload="seconds=5")
    for _ in range(8):
        world.run_until(lambda: running_workers(world, job_id), 20.0)
        world.dead_workers = running_workers(world, job_id)
        world.run_until(
            lambda: running_workers(world, job_id) - world.dead_workers, 20.0
        )
    world.dead_workers = set()
    world.run_until(lambda: world.final_state(job_id) == "completed", 30.0)


def running_workers(world, job_id):
    found = set()
    for worker in world.worker_by_id.values():
        worker.advance(world.clock.mono)
        for execution in worker.executions:
            if execution.ref.job_id == job_id and execution.ended_at is None:
                found.add(worker.id)
    return found


def test_task_whose_workers_crash_by_themselves_is_done(world):
    world.submit("a" * 16, payload="seconds=3")
    for _ in range(4):
        world.run_until(lambda: running_workers(world, "a" * 16), 30.0)
        world.run(1.0)
        for worker_id in running_workers(world, "a" * 16):
            world.crash_worker(worker_id)
        world.run(1.0)
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 30.0)


def test_runs_of_a_worker_that_was_listed_lately_soon_start_elsewhere():
    world = StepWorld(workers=1)
    world.run(12.0)
    world.submit("b" * 16, step(processors=16000), payload="seconds=60")
    world.run(0.5)
    world.add_worker("late")
    world.run(1.0)
    world.submit("a" * 16, step(processors=16000), payload="seconds=1")
    world.run_until(lambda: running_workers(world, "a" * 16) == {"late"}, 1.0)
    world.dead_workers.add("late")
    world.add_worker("other")
    # The lease that this owner has granted ends after 3 s.
    world.run_until(lambda: "other" in running_workers(world, "a" * 16), 5.0)


def restart_all_workers(world):
    """Restart each worker at once under its id."""
    for worker in world.worker_by_id.values():
        worker.restart(world.clock.mono)


def test_crash_before_a_task_was_placed_is_not_blamed_on_it():
    world = StepWorld(entries=1, workers=2)
    world.run(7.0)
    restart_all_workers(world)
    for worker_id in world.worker_by_id:
        world.add_worker(worker_id)
    # The owner sees the connections close, and places the task before it has learned
    # of the new incarnations.
    world.run(0.03)
    world.submit("b" * 16, step(processors=16000), payload="seconds=4")
    world.run(1.0)
    record = world.owner().owner._term.record_by_id["b" * 16]
    assert not record.crashes_by_task


# Seeds 7023 of benchmarks.step_fuzz and 901 of its histories of unequal entries.
def test_crash_before_a_start_was_sent_is_not_blamed_on_its_run():
    world = StepWorld(entries=1, workers=1)
    world.run(7.05)
    release = world.hold_commits()
    world.submit("b" * 16, payload="seconds=4")
    with capture_events() as events:
        restart_all_workers(world)
        # The owner sees the connection close while it commits the placement.
        world.run(0.03)
        release()
        world.run(0.5)
        world.add_worker("w0")
        world.run(1.0)
    assert [event["runs"] for event in events.named("worker_crashed")] == [0]
    assert not crashes_of(world, "b" * 16)
    assert {run.started_at > 7.1 for run in world.executions("b" * 16)} == {True}


def test_directory_that_lags_behind_a_restart_shows_no_crash():
    world = StepWorld(entries=1, workers=2)
    world.run(7.0)
    restart_all_workers(world)
    # The workers' records keep their former incarnations until the next check-in.
    world.run(0.5)
    world.submit("b" * 16, step(processors=16000), payload="seconds=4")
    world.run(2.0)
    # The new incarnations may be smaller than the listed ones.
    assert not world.executions("b" * 16)
    for worker_id in world.worker_by_id:
        world.add_worker(worker_id)
    world.run(2.0)
    record = world.owner().owner._term.record_by_id["b" * 16]
    assert not record.crashes_by_task
    assert len(world.executions("b" * 16)) == 1


def replace_owner(world):
    world.kill(world.owner())
    world.run(2.0)


def crashes_of(world, job_id):
    record = world.owner().owner._term.record_by_id[job_id]
    return record.crashes_by_task


# Seeds 901 (one task) and 908 (two tasks) of benchmarks.step_fuzz.
@pytest.mark.parametrize("count", [1, 2])
def test_crash_that_an_owner_has_counted_is_not_counted_by_the_next(count):
    world = StepWorld(entries=2, workers=1)
    world.run(7.0)
    world.submit("b" * 16, step(count=count, processors=7000), payload="seconds=4")
    world.run(0.05)
    restart_all_workers(world)
    # The owner sees the connection close and the new incarnation listed. It cannot
    # reach it, so the runs of the former one do not end before the owner does.
    world.dead_workers.add("w0")
    world.run(0.03)
    world.add_worker("w0")
    with capture_events() as events:
        world.run(0.8)
        assert len(events.named("worker_crashed")) == 1
        world.dead_workers.clear()
        replace_owner(world)
    assert [event["runs"] for event in events.named("worker_crashed")] == [count]
    assert {history.count for history in crashes_of(world, "b" * 16).values()} == {1}
    world.run_until(lambda: world.final_state("b" * 16) == "completed", 10.0)
    assert set(starts_of(world, "b" * 16).values()) == {2}


def test_run_that_the_next_incarnation_started_is_not_blamed_by_the_next_owner(
    monkeypatch,
):
    world = StepWorld(entries=2, workers=1)
    world.run(7.05)
    # Otherwise no task is placed on a worker that has closed its connections.
    monkeypatch.setattr(OwnerTerm, "obstacle_to", lambda self, worker: "")
    world.dead_workers.add("w0")
    restart_all_workers(world)
    world.run(0.03)
    world.dead_workers.clear()
    with capture_events() as events:
        world.submit("b" * 16, payload="seconds=9")
        world.run_until(lambda: events.named("worker_crashed"), 1.0)
        assert running_workers(world, "b" * 16) == {"w0"}
        world.add_worker("w0")
        replace_owner(world)
    suspects = [event["suspects"] for event in events.named("worker_crashed")]
    assert not any(suspects)
    assert starts_of(world, "b" * 16) == {(0, 0, 0): 1}


LOST, LIVE = "a" * 16, "b" * 16
BORN = 7000


def restore_run(term, job_id, born):
    """Let an owner read a job with a run that an earlier owner started on w9."""
    spec = JobSpec(job_id, "reviews", "north", "", (step(),), 0.0)
    stored = JobRecord.from_spec(spec)
    stored.begin_run(TaskKey(0, 0, 0), 1, "w9", born)
    record = term.add_job(spec)
    restore_progress(term, record, ProgressDocument.from_record(stored), revision=1)
    return record


def list_worker(term, born):
    """Let an owner read the directory's record of w9; return the logged crashes."""
    with capture_events() as events:
        term.put_worker(
            WorkerInfo("w9", "service", "w9", "a", CAPACITY, (), "rack", born)
        )
    return events.named("worker_crashed")


@pytest.mark.parametrize("jobs", [(LOST, LIVE), (LIVE, LOST)])
def test_runs_of_the_live_incarnation_are_not_blamed_beside_those_of_a_former_one(jobs):
    world = StepWorld(entries=1, workers=1)
    world.run(1.0)
    term = world.owner().owner._term
    born_by_job = {LOST: BORN, LIVE: BORN + 1000}
    for job_id in jobs:
        restore_run(term, job_id, born_by_job[job_id])
    assert not list_worker(term, BORN + 1000)


@pytest.mark.parametrize("jobs", [(LOST, LIVE), (LIVE, LOST)])
def test_crash_between_two_owners_is_counted_for_runs_of_the_latest_incarnation(jobs):
    world = StepWorld(entries=1, workers=1)
    world.run(1.0)
    term = world.owner().owner._term
    # The earlier owner has counted the crash of the incarnation that had the lost run.
    born_by_job = {LOST: 0, LIVE: BORN}
    record_by_id = {
        job_id: restore_run(term, job_id, born_by_job[job_id]) for job_id in jobs
    }
    crashes = list_worker(term, BORN + 1000)
    assert [event["suspects"] for event in crashes] == [[LIVE]]
    assert not record_by_id[LOST].crashes_by_task
    assert record_by_id[LIVE].crashes_by_task


def test_one_crash_does_not_fail_a_job_when_the_owner_changes():
    """The run stays current, with the incarnation that has crashed.

    The next owner finds that incarnation beside the run, and another one in the
    directory, and counts the crash once more.
    """
    world = StepWorld(workers=2)
    world.run(8.0)
    world.submit(LOST, step(processors=16000), payload="seconds=2")
    world.run_until(lambda: world.executions(LOST), 1.0)
    (crashed,) = (w for w in world.worker_by_id.values() if w.executions)
    world.run(0.05)
    # It crashes once, soon after the start, and is out of reach when it is back.
    world.dead_workers.add(crashed.id)
    crashed.restart(world.clock.mono)
    world.add_worker(crashed.id)
    world.run(1.5)
    world.kill(world.owner())
    world.run_until(lambda: world.final_state(LOST) is not None, 30.0)
    assert world.final_state(LOST) == "completed"


# Seed 6002 of benchmarks.step_fuzz --late. The owner sees the connection close some
# milliseconds after the crash.
@pytest.mark.parametrize("offset_s", [0.0, 0.005, 0.01, 0.015])
def test_run_that_began_before_its_worker_was_seen_to_crash_is_not_blamed(offset_s):
    world = StepWorld(entries=1, workers=1)
    world.run(7.0 + offset_s)
    restart_all_workers(world)
    with capture_events() as events:
        world.submit(LOST, payload="seconds=4")
        world.run(0.5)
    assert [event["suspects"] for event in events.named("worker_crashed")] == [[]]
    assert not crashes_of(world, LOST)


# Seed 301 of benchmarks.step_fuzz --late, on 334ff90.
def test_start_without_an_answer_is_not_blamed_by_the_next_owner():
    """The worker is cut off when the start is sent, and never carries it out."""
    world = StepWorld(entries=2, workers=1)
    world.run(8.0)
    world.dead_workers.add("w0")
    with capture_events() as events:
        world.submit(LOST, payload="seconds=1")
        world.run_until(lambda: events.named("start_failed"), 1.0)
        world.run(0.5)
        world.kill(world.owner())
        restart_all_workers(world)
        world.add_worker("w0")
        world.dead_workers.clear()
        world.run(2.0)
    assert not any(event["suspects"] for event in events.named("worker_crashed"))
    world.run_until(lambda: world.final_state(LOST) == "completed", 10.0)
    assert len(world.executions(LOST)) == 1


def test_run_that_its_worker_survived_is_not_blamed_by_the_next_owner():
    world = StepWorld(entries=2, workers=1)
    world.run(8.0)
    world.submit(LOST, payload="seconds=9")
    world.run(3.0)
    world.kill(world.owner())
    restart_all_workers(world)
    world.add_worker("w0")
    with capture_events() as events:
        world.run(2.0)
    assert [event["suspects"] for event in events.named("worker_crashed")] == [[]]
