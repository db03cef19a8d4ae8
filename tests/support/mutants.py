"""Faulty patches of the scheduler, one for each invariant checked during a history."""

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
    """A faulty patch, the invariant that it must violate, and a history that shows it.

    Without a scenario, random histories are run until one violates the invariant, up to
    a fixed number.
    """

    name: str
    invariant: str
    patch: Patch
    scenario: Callable[[History], None] | None = None


def _skip_capacity_accounting(monkeypatch: Any) -> None:
    def commit(self, worker, task_id, request):
        worker.task_ids[task_id] = None

    def release(self, worker, task_id, request, marks_freed=True):
        worker.task_ids.pop(task_id, None)

    monkeypatch.setattr(WorkerTable, "commit", commit)
    monkeypatch.setattr(WorkerTable, "release", release)


def _expire_leases_at_once(monkeypatch: Any) -> None:
    monkeypatch.setattr(GroupWorkers, "leases_expire_by", lambda self, link: 0.0)


def _accept_any_key(monkeypatch: Any) -> None:
    def team_for_queue(self, queue, key):
        return self._require_document().queues[queue].team

    monkeypatch.setattr(AccessControl, "team_for_queue", team_for_queue)


def _cache_keys_forever(monkeypatch: Any) -> None:
    original = AccessControl.team_of_key
    team_by_key: dict[str, str] = {}

    def team_of_key(self, key):
        if key not in team_by_key:
            team_by_key[key] = original(self, key)
        return team_by_key[key]

    monkeypatch.setattr(AccessControl, "team_of_key", team_of_key)


def _ignore_limits(monkeypatch: Any) -> None:
    monkeypatch.setattr(Team, "allows", lambda self, request: True)


def _swap_outputs(monkeypatch: Any) -> None:
    original = SchedulerRole.job_finalized
    last_output_by_role: dict[int, str] = {}

    def job_finalized(self, group, record):
        for task in record.tasks:
            previous = last_output_by_role.get(id(self), task.output)
            last_output_by_role[id(self)] = task.output
            task.output = previous
        original(self, group, record)

    monkeypatch.setattr(SchedulerRole, "job_finalized", job_finalized)


def _report_unknown_as_not_run(monkeypatch: Any) -> None:
    original = admission._not_committed

    def not_committed(result: NotCommitted):
        return replace(original(result), ran=Ran.NO)

    def give_up(self, group, attempts):
        attempts.ran = Ran.NO
        return original_give_up(self, group, attempts)

    original_give_up = RoutingRole._give_up
    monkeypatch.setattr(admission, "_not_committed", not_committed)
    monkeypatch.setattr(RoutingRole, "_give_up", give_up)


def _retry_lost_attempts(monkeypatch: Any) -> None:
    def attempt_lost(group, assignment, reason):
        if assignment.is_current:
            outcome = outcomes.TaskOutcome.LOST
            outcomes._requeue(group, assignment, outcome, reason)

    monkeypatch.setattr(outcomes, "attempt_lost", attempt_lost)


def _ignore_leaving(monkeypatch: Any) -> None:
    monkeypatch.setattr(WorkerLink, "accepting", property(lambda self: self.fenced))


def _refuse_moved_groups(monkeypatch: Any) -> None:
    monkeypatch.setattr("lagoonpulley.routing.role._TRANSIENT_CODES", frozenset())


def _accept_older_revisions(monkeypatch: Any) -> None:
    original = ConfigurationRole._apply

    def apply(self, document, source):
        if self._document is not None and document.revision > 2:
            document = document.model_copy(update={"revision": 1})
        self._document = None
        return original(self, document, source)

    monkeypatch.setattr(ConfigurationRole, "_apply", apply)


def cut_off_a_busy_worker(history: History) -> None:
    """Cut off a worker that runs an exclusive task from its owner."""
    world = history.world
    world.submit("timisoara-1", "timisoara/busy", run_time_s=20.0)
    world.advance(1.0)
    busy = next(worker for worker in world.workers.values() if worker.running())
    world.cut("timisoara", f"worker:{busy.id}")
    world.advance(20.0)


def use_a_withdrawn_key(history: History) -> None:
    """Submit with a key, withdraw it, and submit with it again."""
    world = history.world
    world.submit("arad-1", "arad/before")
    world.withdraw_key("north")
    world.advance(8.0)
    world.submit("arad-1", "arad/after")


def drain_owner(history: History) -> None:
    """Stop entries as planned, one after another, while requests arrive."""
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
        "capacity is not committed",
        "no_instance_committed_beyond_capacity",
        _skip_capacity_accounting,
    ),
    Mutant(
        "worker leases expire at once",
        "no_exclusive_task_in_two_places",
        _expire_leases_at_once,
        cut_off_a_busy_worker,
    ),
    Mutant(
        "any key is accepted", "work_accepted_only_for_the_keys_team", _accept_any_key
    ),
    Mutant(
        "keys are cached forever",
        "withdrawn_key_stops_working",
        _cache_keys_forever,
        use_a_withdrawn_key,
    ),
    Mutant("limits are ignored", "no_team_above_its_limit", _ignore_limits),
    Mutant(
        "outputs are swapped",
        "every_caller_gets_its_whole_own_answer",
        _swap_outputs,
    ),
    Mutant(
        "unknown outcome is reported as not run",
        "a_refusal_that_says_not_run_is_true",
        _report_unknown_as_not_run,
    ),
    Mutant(
        "lost attempts are retried",
        "unrepeatable_requests_run_at_most_once",
        _retry_lost_attempts,
    ),
    Mutant(
        "leaving is ignored",
        "leaving_upstream_gets_no_new_work",
        _ignore_leaving,
    ),
    Mutant(
        "moved groups are refused",
        "planned_stop_cuts_off_no_request",
        _refuse_moved_groups,
        drain_owner,
    ),
    Mutant(
        "older revisions are accepted",
        "configuration_never_reverts_and_arrives",
        _accept_older_revisions,
    ),
)
