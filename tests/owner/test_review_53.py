"""What the review of issue 53 found: times of a former life that a worker takes."""

from __future__ import annotations

import pytest
from tests.support.recut import restart_unnoticed, world_with_one_worker
from tests.support.step_invariants import check_one_run_at_a_time
from tests.support.steps import step

from lagoonpulley.upstream.tasks import StartTask, SyncWorker

JOB = "a" * 16
# Longer than any lease in these tests.
TASK = "seconds=40"
# Until the directory has told every owner of a restart.
LISTED_S = 0.6


def delay_next_grant(world, late_s):
    """Let the next sync that extends leases get no answer, and be carried out late."""
    delayed = []

    def delay_of(worker_id, command):
        is_grant = isinstance(command, SyncWorker) and command.lease_until_ms
        if delayed or not is_grant:
            return None
        delayed.append(command)
        return late_s

    world._delay_of = delay_of
    world.run_until(lambda: delayed, 3.0)


def delay_starts(world, late_s, then=lambda: None):
    """Let the next starts get no answer, and be carried out late.

    :param then: called with the first one.
    """
    delayed = []

    def delay_of(worker_id, command):
        if worker_id != "w0" or not isinstance(command, StartTask):
            return None
        if not delayed:
            world.clock.after(0.0, then)
        delayed.append(command)
        return late_s

    world._delay_of = delay_of
    return delayed


def restart_behind_a_cut(world, worker):
    """Restart a worker that nobody reaches; only the directory tells of it."""
    world.dead_workers.add(worker.id)
    world.run(0.1)
    world.restart_worker(worker.id)
    world.add_worker(worker.id)
    world.run(LISTED_S)


def start_and_cut_off(world, worker):
    """Start a task on a worker that is reached again, and cut it off at once."""
    world.dead_workers.discard(worker.id)
    world.submit(JOB, step(), payload=TASK)
    world.run_until(lambda: worker.executions, 3.0)
    world.dead_workers.add(worker.id)


def runs_until_the_next_one(world, worker):
    """Return the runs of the task once it runs on another worker."""
    world.add_worker("w1")
    world.run_until(lambda: len(world.executions(JOB)) == 2, 60.0)
    worker.advance(world.clock.mono)
    return world.executions(JOB)


@pytest.mark.parametrize("restarts", [1, 2])
def test_late_grant_before_the_first_answer_of_a_life_outlives_the_presumed_lease(
    restarts,
):
    """The directory tells of the restart long before the worker is reached again."""
    world, worker = world_with_one_worker()
    delay_next_grant(world, 6.0)
    for _ in range(restarts):
        restart_behind_a_cut(world, worker)
    world.run_until(lambda: world.late_commands, 8.0)
    start_and_cut_off(world, worker)
    check_one_run_at_a_time(runs_until_the_next_one(world, worker))


def test_late_grant_of_the_earlier_owner_outlives_the_lease_its_successor_presumes():
    """It reaches the next life before that has answered the successor."""
    world, worker = world_with_one_worker()
    delay_next_grant(world, 8.0)
    restart_behind_a_cut(world, worker)
    world.kill(world.owner())
    world.run_until(lambda: world.late_commands, 10.0)
    start_and_cut_off(world, worker)
    check_one_run_at_a_time(runs_until_the_next_one(world, worker))


def test_second_restart_before_the_first_answer_shortens_the_presumed_lease():
    """A run that was sent to the first life is still tracked at the second restart."""
    world, worker = world_with_one_worker(permit_valid_s=2.0)
    delay_next_grant(world, 6.0)
    grant_delay_of = world._delay_of
    starts = delay_starts(world, 30.0)
    world.submit("b" * 16, step(), payload=TASK)
    world.run_until(lambda: starts, 1.0)
    world._delay_of = grant_delay_of
    for _ in range(2):
        restart_behind_a_cut(world, worker)
    world.run_until(lambda: world.late_commands, 8.0)
    start_and_cut_off(world, worker)
    check_one_run_at_a_time(runs_until_the_next_one(world, worker))


def start_late_once_listed(then=lambda world: None):
    """Start a task late on the next life, which is cut off as the directory lists it.

    :param then: called with the world as soon as that has happened.
    :returns: the runs of the task, until the next one has started elsewhere.
    """
    world, worker = world_with_one_worker(permit_valid_s=6.0)
    restart_unnoticed(world, worker)

    def list_and_cut_off():
        world.dead_workers.add(worker.id)
        world.add_worker(worker.id)
        then(world)

    delay_starts(world, 4.0, list_and_cut_off)
    world.submit(JOB, step(), payload=TASK)
    world.run_until(lambda: worker.executions, 6.0)
    return runs_until_the_next_one(world, worker)


def test_late_start_with_a_permit_begins_after_the_directory_told_of_the_restart():
    """The owner counts the longest lease from when it learned of the restart."""
    check_one_run_at_a_time(start_late_once_listed())


def test_late_start_with_a_permit_begins_after_the_election_of_the_next_owner():
    """That owner reads the progress before the directory tells it of the restart."""

    def step_down(world):
        world.owner().owner.step_down("test")

    check_one_run_at_a_time(start_late_once_listed(step_down))


def test_answer_of_an_unknown_life_to_one_start_says_nothing_of_another_start():
    """The unanswered one runs there as well, and holds the longest lease."""
    world, worker = world_with_one_worker(permit_valid_s=2.0)
    restart_unnoticed(world, worker)
    silent = []

    def delay_of(worker_id, command):
        if worker_id != worker.id or not isinstance(command, StartTask):
            return None
        if not silent:
            silent.append(command.ref)
        return 0.01 if command.ref in silent else None

    world._delay_of = delay_of
    world.submit(JOB, step(count=2), payload=TASK)
    world.run_until(lambda: len(worker.executions) == 2, 0.5)
    world.run(0.05)
    world.dead_workers.add(worker.id)
    world.add_worker("w1")
    world.run_until(lambda: len(world.executions(JOB)) == 4, 60.0)
    worker.advance(world.clock.mono)
    check_one_run_at_a_time(world.executions(JOB))


def test_answer_of_an_unlisted_life_is_unknown_to_the_next_owner():
    """Only the owner that got it knows that the run holds the longest lease."""
    world, worker = world_with_one_worker(permit_valid_s=2.0)
    restart_unnoticed(world, worker)
    world.submit(JOB, step(), payload=TASK)
    world.run_until(lambda: worker.executions, 0.5)
    world.run(0.01)
    world.dead_workers.add(worker.id)
    world.owner().owner.step_down("test")
    check_one_run_at_a_time(runs_until_the_next_one(world, worker))


def test_stored_run_without_an_incarnation_hides_the_restart_from_the_next_owner():
    """Its start got no answer, and the directory does not list the worker any more."""
    world, worker = world_with_one_worker(permit_valid_s=2.0)
    delay_next_grant(world, 6.0)
    restart_behind_a_cut(world, worker)
    world.run_until(lambda: world.late_commands, 8.0)
    world.dead_workers.clear()
    delay_starts(world, 0.01)
    world.submit(JOB, step(), payload=TASK)
    world.run_until(lambda: worker.executions, 3.0)
    world.dead_workers.add(worker.id)
    world.run(1.4)
    key, _ = world.record_of(worker.id)
    world.delete(key)
    world.owner().owner.step_down("test")
    check_one_run_at_a_time(runs_until_the_next_one(world, worker))
