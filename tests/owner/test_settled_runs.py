"""The mark by which the next owner knows which runs their workers have survived.

A mark that is too low blames a run for a crash that it cannot have caused. One that is
too high would never find the task that ends its workers.
"""

from __future__ import annotations

import json

from tests.support.logged_events import capture_events
from tests.support.step_workers import CAPACITY
from tests.support.steps import StepWorld, step

from lagoonpulley.owner.journal import HEAD_KEY, HeadDocument, Journal
from lagoonpulley.owner.session import OWNER_KEY
from lagoonpulley.owner.settled_runs import SettledRuns
from lagoonpulley.owner.worker_leases import WorkerLeases
from lagoonpulley.owner.worker_state import TrackedRun, WorkerState
from lagoonpulley.store.messages import StoreResult, StoreStatus
from lagoonpulley.upstream.directory import WorkerInfo
from lagoonpulley.upstream.tasks import TaskRef
from lagoonpulley.workload.documents import JobKeys
from lagoonpulley.workload.record import JobRecord
from lagoonpulley.workload.spec import JobSpec, TaskKey

FIRST, SECOND = "a" * 16, "b" * 16
ONLY = TaskKey(0, 0, 0)
# Until then, the commits and reports that follow a change of the owner have ended.
QUIET_S = 8.0


def world_of(entries=2, workers=1):
    made = StepWorld(entries=entries, workers=workers)
    made.run(QUIET_S)
    return made


def head_of(world):
    return HeadDocument.from_item(world.store.key_value_by_key.get(HEAD_KEY))


def crash_between_two_owners(world):
    """Kill the owner, then let w0 restart; return the suspects that are logged."""
    world.kill(world.owner())
    world.restart_worker("w0")
    world.add_worker("w0")
    with capture_events() as events:
        world.run(2.0)
    return [event["suspects"] for event in events.named("worker_crashed")]


def test_run_that_has_just_begun_is_blamed_by_the_next_owner():
    world = world_of()
    world.submit(FIRST, payload="seconds=9")
    world.run(0.1)
    assert world.executions(FIRST)
    assert crash_between_two_owners(world) == [[FIRST]]


def test_run_that_has_just_begun_is_blamed_beside_one_that_has_settled():
    world = world_of()
    world.submit(FIRST, payload="seconds=20")
    world.run(3.0)
    world.submit(SECOND, payload="seconds=9")
    world.run(0.1)
    assert world.executions(SECOND)
    assert crash_between_two_owners(world) == [[SECOND]]


def test_commits_of_other_jobs_do_not_clear_a_run_that_has_just_begun():
    world = world_of(workers=2)
    world.submit(FIRST, step(processors=CAPACITY[0]), payload="seconds=9")
    world.run_until(lambda: world.executions(FIRST), 1.0)
    (worker,) = (w for w in world.worker_by_id.values() if w.executions)
    before = world.store.key_value_by_key[HEAD_KEY].revision
    for number in range(6):
        world.submit(f"{number:016x}", payload="seconds=0.01")
        world.run(0.03)
    assert world.store.key_value_by_key[HEAD_KEY].revision > before + 3
    world.kill(world.owner())
    world.restart_worker(worker.id)
    world.add_worker(worker.id)
    with capture_events() as events:
        world.run(2.0)
    suspects = [event["suspects"] for event in events.named("worker_crashed")]
    assert suspects == [[FIRST]]


def test_run_that_has_settled_is_not_blamed_after_an_owner_that_has_stored_nothing():
    world = world_of(entries=3)
    world.submit(FIRST, payload="seconds=30")
    world.run(3.0)
    mark = head_of(world).settled_revision
    assert mark > 0
    world.kill(world.owner())
    token = head_of(world).token
    world.run_until(lambda: head_of(world).token != token, 5.0)
    # The next owner has been elected, and has committed nothing.
    assert head_of(world) == HeadDocument(token=0, number=0, settled_revision=mark)
    elected = json.loads(world.store.key_value_by_key[OWNER_KEY].value)["name"]
    world.kill(world.entry_by_name[elected])
    world.restart_worker("w0")
    world.add_worker("w0")
    with capture_events() as events:
        world.run(6.0)
    assert [event["suspects"] for event in events.named("worker_crashed")] == [[]]


def watch_commits(world):
    """Return the rows of the owner's commits from now on, filled as they are sent."""
    owner = world.owner().owner
    send = owner._send_commit
    rows = []

    def record(term, transaction):
        rows.append([w.key for w in transaction.puts] + list(transaction.deletes))
        return (yield from send(term, transaction))

    owner._send_commit = record
    return rows


def test_mark_costs_no_commit():
    world = world_of(workers=2)
    rows = watch_commits(world)
    world.submit(FIRST, step(count=8), payload="seconds=60")
    world.run(3.0)
    stored = world.store.key_value_by_key[JobKeys(FIRST).progress].revision
    assert head_of(world).settled_revision > stored
    assert [HEAD_KEY] not in rows


class HeldRun:
    """A run on a worker of its own, in the store at revision 11."""

    def __init__(self, mark=0):
        info = WorkerInfo("w0", "service", "w0", "a", CAPACITY, (), "", 5)
        self.worker = WorkerState(info, 6.0, WorkerLeases(0.0), token=1)
        ref = TaskRef(FIRST, ONLY, 1)
        self.run = self.worker.tracked_by_ref[ref] = TrackedRun(ref, 1.0, has_run=True)
        self.run.start_resolved_at = 1.0
        self.journal = Journal(1, 10)
        self.marks = SettledRuns(mark)
        self.marks.hold(self.worker, self.run, 10)

    def mark(self):
        self.marks.refresh(self.journal, 2.0)
        return self.marks.mark(20)

    def commit(self):
        self.journal.next_commit()
        self.journal.apply_result(StoreResult(StoreStatus.OK, revision=20))

    def change_record(self):
        spec = JobSpec(FIRST, "reviews", "north", "", (step(),), 0.0)
        self.journal.enqueue(JobRecord.from_spec(spec))


def test_mark_rises_once_the_worker_has_survived_the_start():
    held = HeldRun()
    held.worker.alive_at = 1.2
    assert held.mark() == 10
    held.worker.alive_at = 1.4
    assert held.mark() == 20


def test_mark_rises_once_the_end_of_the_run_is_durable():
    held = HeldRun()
    held.change_record()
    held.worker.tracked_by_ref.clear()
    assert held.mark() == 10
    held.commit()
    assert held.mark() == 20


def test_mark_rises_once_the_crash_of_the_worker_is_durable():
    held = HeldRun()
    held.change_record()
    held.worker.begin_incarnation(6, token=2, now=1.1)
    held.worker.alive_at = 9.0
    assert held.mark() == 10
    held.commit()
    assert held.mark() == 20


def test_blame_holds_the_mark_until_it_is_durable():
    held = HeldRun()
    held.change_record()
    held.worker.alive_at = 1.1
    held.run.is_blamed = True
    assert held.mark() == 10
    held.commit()
    assert held.mark() == 20


def test_stored_run_is_held_unless_the_earlier_mark_covers_it():
    for revision, has_settled, mark in ((11, True, 20), (12, False, 11)):
        held = HeldRun()
        marks = SettledRuns(11)
        marks.restore(held.worker, held.run, revision)
        assert held.run.had_settled is has_settled
        assert marks.mark(20) == mark


def test_next_incarnation_has_not_survived_the_start():
    held = HeldRun()
    held.run.had_settled = True
    held.worker.begin_incarnation(6, token=2, now=1.1)
    assert not held.run.had_settled
