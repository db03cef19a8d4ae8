"""Deliberately broken variants of the product, one for each invariant."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from lagoonpulley.configuration.role import ConfigurationRole
from lagoonpulley.gateway.access import AccessControl
from lagoonpulley.journal.messages import NotCommitted
from lagoonpulley.model.verdict import Ran
from lagoonpulley.placement.teams import Team
from lagoonpulley.placement.workers import WorkerTable
from lagoonpulley.routing.role import RoutingRole
from lagoonpulley.scheduler import admission, outcomes
from lagoonpulley.scheduler.link import WorkerLink
from lagoonpulley.scheduler.role import SchedulerRole
from lagoonpulley.scheduler.workers import GroupWorkers

from .history import History

Patch = Callable[[Any], None]


@dataclass(frozen=True)
class Mutant:
    """A patch, the invariant that has to notice it, and a history that shows it.

    Without a scenario of its own, random histories are searched.
    """

    name: str
    invariant: str
    patch: Patch
    scenario: Callable[[History], None] | None = None


def _capacity_is_not_taken(monkeypatch: Any) -> None:
    def commit(self, worker, task_id, request):
        worker.task_ids[task_id] = None

    def release(self, worker, task_id, request, marks_freed=True):
        worker.task_ids.pop(task_id, None)

    monkeypatch.setattr(WorkerTable, "commit", commit)
    monkeypatch.setattr(WorkerTable, "release", release)


def _silence_means_end(monkeypatch: Any) -> None:
    monkeypatch.setattr(GroupWorkers, "leases_expire_by", lambda self, link: 0.0)


def _any_key_opens(monkeypatch: Any) -> None:
    def team_for_queue(self, queue, key):
        return self._require_document().queues[queue].team

    monkeypatch.setattr(AccessControl, "team_for_queue", team_for_queue)


def _keys_are_remembered(monkeypatch: Any) -> None:
    original = AccessControl.team_of_key
    seen: dict[str, str] = {}

    def team_of_key(self, key):
        if key not in seen:
            seen[key] = original(self, key)
        return seen[key]

    monkeypatch.setattr(AccessControl, "team_of_key", team_of_key)


def _limits_are_ignored(monkeypatch: Any) -> None:
    monkeypatch.setattr(Team, "allows", lambda self, request: True)


def _answers_are_crossed(monkeypatch: Any) -> None:
    original = SchedulerRole.job_finalized
    last: dict[int, str] = {}

    def job_finalized(self, group, record):
        for task in record.tasks:
            kept = last.get(id(self), task.output)
            last[id(self)] = task.output
            task.output = kept
        original(self, group, record)

    monkeypatch.setattr(SchedulerRole, "job_finalized", job_finalized)


def _doubt_reads_as_not_run(monkeypatch: Any) -> None:
    original = admission._not_committed

    def not_committed(result: NotCommitted):
        return replace(original(result), ran=Ran.NO)

    def give_up(self, group, attempts):
        attempts.ran = Ran.NO
        return original_give_up(self, group, attempts)

    original_give_up = RoutingRole._give_up
    monkeypatch.setattr(admission, "_not_committed", not_committed)
    monkeypatch.setattr(RoutingRole, "_give_up", give_up)


def _lost_attempts_run_again(monkeypatch: Any) -> None:
    def attempt_lost(group, assignment, reason):
        if assignment.is_current:
            outcome = outcomes.TaskOutcome.LOST
            outcomes._requeue(group, assignment, outcome, reason)

    monkeypatch.setattr(outcomes, "attempt_lost", attempt_lost)


def _leaving_is_overlooked(monkeypatch: Any) -> None:
    monkeypatch.setattr(WorkerLink, "accepting", property(lambda self: self.fenced))


def _moved_groups_are_refused(monkeypatch: Any) -> None:
    monkeypatch.setattr("lagoonpulley.routing.role._TRANSIENT_CODES", frozenset())


def _any_revision_is_taken(monkeypatch: Any) -> None:
    original = ConfigurationRole._apply

    def apply(self, document, source):
        if self._document is not None and document.revision > 2:
            document = document.model_copy(update={"revision": 1})
        self._document = None
        return original(self, document, source)

    monkeypatch.setattr(ConfigurationRole, "_apply", apply)


def cut_off_a_busy_worker(history: History) -> None:
    """A worker that runs an exclusive task is cut off from its owner."""
    world = history.world
    world.submit("timisoara-1", "timisoara/busy", run_time_s=20.0)
    world.advance(1.0)
    busy = next(worker for worker in world.workers.values() if worker.running())
    world.cut("timisoara", f"worker:{busy.id}")
    world.advance(20.0)


def use_a_withdrawn_key(history: History) -> None:
    """A key is used, withdrawn, and used again."""
    world = history.world
    world.submit("arad-1", "arad/before")
    world.withdraw_key("north")
    world.advance(8.0)
    world.submit("arad-1", "arad/after")


def drain_owner(history: History) -> None:
    """Entries stop as planned, one after another, while requests arrive."""
    world = history.world
    world.advance(20.0)
    for entry_id in ("timisoara-1", "timisoara-2"):
        for number in range(4):
            world.submit(
                "arad-1", f"timisoara/{entry_id}-{number}", queue="enquiries", team=""
            )
            if number == 1:
                world.drain(entry_id)
            world.advance(0.1)
        world.advance(5.0)
        world.start_entry(entry_id, "timisoara")
        world.advance(10.0)


MUTANTS = (
    Mutant(
        "capacity is not taken",
        "no_instance_committed_beyond_capacity",
        _capacity_is_not_taken,
    ),
    Mutant(
        "silence means the end",
        "no_exclusive_task_in_two_places",
        _silence_means_end,
        cut_off_a_busy_worker,
    ),
    Mutant("any key opens", "work_accepted_only_for_the_keys_team", _any_key_opens),
    Mutant(
        "keys are remembered",
        "withdrawn_key_stops_working",
        _keys_are_remembered,
        use_a_withdrawn_key,
    ),
    Mutant("limits are ignored", "no_team_above_its_limit", _limits_are_ignored),
    Mutant(
        "answers are crossed",
        "every_caller_gets_its_whole_own_answer",
        _answers_are_crossed,
    ),
    Mutant(
        "doubt reads as not run",
        "a_refusal_that_says_not_run_is_true",
        _doubt_reads_as_not_run,
    ),
    Mutant(
        "lost attempts run again",
        "unrepeatable_requests_run_at_most_once",
        _lost_attempts_run_again,
    ),
    Mutant(
        "leaving is overlooked",
        "leaving_upstream_gets_no_new_work",
        _leaving_is_overlooked,
    ),
    Mutant(
        "moved groups are refused",
        "planned_stop_cuts_off_no_request",
        _moved_groups_are_refused,
        drain_owner,
    ),
    Mutant(
        "any revision is taken",
        "configuration_never_reverts_and_arrives",
        _any_revision_is_taken,
    ),
)
