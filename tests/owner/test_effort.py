"""Effort of the owner for each commit as the number of workers grows."""

from __future__ import annotations

from tests.support.steps import StepWorld, step

from lagoonpulley.owner.workers import WorkerMonitor

WORKERS = 40


def record_sync_checks(monkeypatch):
    """Return a list that gets the id of each worker checked for a due sync."""
    checked = []
    original = WorkerMonitor.sync

    def sync(self, term, worker):
        checked.append(worker.info.id)
        original(self, term, worker)

    monkeypatch.setattr(WorkerMonitor, "sync", sync)
    return checked


def record_commits(world):
    """Return a list that gets each transaction that the owner's journal sends."""
    commits = []
    journal = world.owner().owner._term.journal
    original = journal.next_commit

    def next_commit():
        commit = original()
        if commit is not None:
            commits.append(commit.transaction)
        return commit

    journal.next_commit = next_commit
    return commits


def test_commit_visits_only_workers_without_a_sync_in_flight(monkeypatch):
    world = StepWorld(entries=1, workers=WORKERS)
    world.run(3.0)
    commits = record_commits(world)
    checked = record_sync_checks(monkeypatch)
    world.run(2.0)
    without_load = len(checked)
    checked.clear()
    for number in range(20):
        world.submit(f"{number:016x}", step(count=1), payload="seconds=0.5")
        world.run(0.1)
    assert len(commits) > 20
    visits = len(checked) - without_load
    # The long polls that ended meanwhile are among the visits.
    assert visits < len(commits) * WORKERS / 2


def test_worker_whose_first_sync_fails_is_synced_again_after_the_next_commit():
    world = StepWorld(entries=1, workers=3)
    world.run(1.0)
    term = world.owner().owner._term
    world.dead_workers.add("w0")
    world.run_until(lambda: term.worker_by_id["w0"].failures, 3.0)
    world.dead_workers.clear()
    world.submit("a" * 16, step(count=4))
    world.run_until(lambda: not term.worker_by_id["w0"].failures, 0.5)
    assert term.worker_by_id["w0"].is_available
