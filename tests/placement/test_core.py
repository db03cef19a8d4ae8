"""Tests of placement decisions."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from tests.placement.conftest import Cell
from tests.placement.naive import NaiveCore

from lagoonpulley.model.job import JobKind
from lagoonpulley.model.resources import Resources
from lagoonpulley.placement.core import PlacementCore, PlacementSettings
from lagoonpulley.placement.events import (
    JobCancelled,
    JobSubmitted,
    Place,
    Preempt,
    PreemptReason,
    TaskEnded,
    TaskOutcome,
    TaskWithdrawn,
    TeamPolicy,
    TeamsChanged,
    WorkerChanged,
    WorkerGone,
)

PLAIN = PlacementSettings(
    share_preempt_after_s=None, reserve_after_s=1e9, max_backfill_s=1e9
)


def ended(task_id, outcome=TaskOutcome.FINISHED, **fields):
    return TaskEnded(task_id, outcome, **fields)


def test_batch_packs_onto_used_worker(cell):
    cell.workers(3)
    cell.teams(north=1)
    cell.submit(tasks=3)
    assert len({place.worker_id for place in cell.places()}) == 1


def test_service_spreads_over_racks(cell):
    cell.workers(4, racks=2)
    cell.teams(north=1)
    cell.submit(tasks=4, kind=JobKind.SERVICE)
    assert len({place.worker_id for place in cell.places()}) == 4


def test_gang_waits_until_all_fit(cell):
    cell.workers(1)
    cell.teams(north=1)
    first = cell.submit(processors=2)
    gang = cell.submit(tasks=2, processors=2, kind=JobKind.GANG)
    assert [place.job.id for place in cell.places()] == [first.id]
    cell.apply(ended(f"{first.id}/0"))
    assert [place.job.id for place in cell.places()] == [gang.id, gang.id]


def test_gang_is_not_starved_by_small_jobs():
    cell = Cell()
    cell.workers(2)
    cell.teams(north=1, south=1)
    running = []
    for _ in range(8):
        cell.submit(team="south", run_time_s=5.0)
    running += [(cell.now + 5.0, place.task_id) for place in cell.places()]
    gang = cell.submit(tasks=2, processors=4, kind=JobKind.GANG)
    placed_at = None
    for _ in range(400):
        cell.now += 0.25
        for end, task_id in [item for item in running if item[0] <= cell.now]:
            running.remove((end, task_id))
            cell.apply(ended(task_id, run_time_s=5.0))
            cell.submit(team="south", run_time_s=5.0)
        for place in cell.places():
            if place.job.id == gang.id:
                placed_at = cell.now
            running.append((cell.now + 5.0, place.task_id))
        if placed_at is not None:
            break
    assert placed_at is not None


def test_two_gangs_do_not_deadlock(cell):
    cell.workers(2)
    cell.teams(north=1, south=1)
    cell.submit(team="north", tasks=2, processors=3, kind=JobKind.GANG)
    cell.submit(team="south", tasks=2, processors=3, kind=JobKind.GANG)
    first = cell.places()
    assert len(first) == 2
    for place in first:
        cell.apply(ended(place.task_id))
    assert len(cell.places()) == 2


def test_teams_share_by_weight_when_full(cell):
    cell.workers(4)
    cell.teams(north=3, south=1)
    cell.submit(team="north", tasks=40)
    cell.submit(team="south", tasks=40)
    by_team = [place.job.team for place in cell.places()]
    assert by_team.count("north") == 12
    assert by_team.count("south") == 4


def test_idle_share_is_borrowed(cell):
    cell.workers(2)
    cell.teams(north=1, south=9)
    cell.submit(team="north", tasks=20)
    assert len(cell.places()) == 8


def test_share_of_zero_gets_only_what_is_left(cell):
    cell.workers(1)
    cell.teams(north=0, south=1)
    cell.submit(team="north", tasks=4)
    cell.submit(team="south", tasks=3)
    teams = [place.job.team for place in cell.places()]
    assert teams.count("south") == 3
    assert teams.count("north") == 1


def test_limit_is_never_exceeded(cell):
    cell.workers(4)
    limit = Resources(3000, 10**9, 10**9, 10**9, 10**9)
    cell.policies({"north": TeamPolicy(1.0, limit)})
    cell.submit(tasks=10)
    assert len(cell.places()) == 3


def test_lowered_limit_preempts_newest_repeatable_tasks(cell):
    cell.workers(4)
    cell.policies({"north": TeamPolicy(1.0)})
    kept = cell.submit(tasks=1, repeatable=False)
    cell.places()
    cell.now = 1.0
    newer = cell.submit(tasks=2)
    cell.places()
    limit = Resources(1000, 10**9, 10**9, 10**9, 10**9)
    cell.policies({"north": TeamPolicy(1.0, limit)})
    preempted = [item for item in cell.decide() if isinstance(item, Preempt)]
    assert {item.task_id for item in preempted} == {f"{newer.id}/0", f"{newer.id}/1"}
    assert {item.reason for item in preempted} == {PreemptReason.OVER_LIMIT}
    assert f"{kept.id}/0" in cell.core.placed_by_task_id


def test_withdrawn_team_gets_nothing(cell):
    cell.workers(1)
    cell.teams(north=1)
    cell.submit()
    cell.teams(south=1)
    assert cell.places() == []


def test_urgent_goes_first_by_latest_start(cell):
    cell.workers(1, processors=1)
    cell.teams(north=1)
    cell.submit(tasks=1)
    late = cell.submit(kind=JobKind.URGENT, deadline_s=9.0)
    soon = cell.submit(kind=JobKind.URGENT, deadline_s=3.0)
    order = []
    for _ in range(2):
        place = cell.places()[0]
        order.append(place.job.id)
        cell.apply(ended(place.task_id))
    assert order == [soon.id, late.id]


def test_urgent_preempts_batch_near_its_latest_start(cell):
    cell.workers(1)
    cell.teams(north=1, south=1)
    cell.submit(team="south", tasks=4)
    cell.places()
    cell.submit(team="north", kind=JobKind.URGENT, deadline_s=6.8)
    assert cell.decide() == []
    cell.now = 3.0
    (preempt,) = cell.decide()
    assert preempt.reason is PreemptReason.URGENT
    cell.apply(ended(preempt.task_id, TaskOutcome.CHECKPOINTED, requeue=True))
    assert cell.places()[0].job.kind is JobKind.URGENT


def test_urgent_does_not_preempt_teams_with_a_lower_share(cell):
    cell.workers(1)
    cell.teams(north=1, south=1)
    cell.submit(team="south", tasks=1)
    cell.submit(team="north", tasks=3)
    cell.places()
    cell.submit(team="north", kind=JobKind.URGENT, deadline_s=1.0)
    victims = [item.task_id for item in cell.decide() if isinstance(item, Preempt)]
    assert victims
    assert all(
        cell.core.placed_by_task_id[victim].job.team == "north" for victim in victims
    )


def test_worker_with_reduced_capacity_preempts_the_excess(cell):
    cell.workers(1)
    cell.teams(north=1)
    cell.submit(tasks=4)
    cell.places()
    less = Resources(2000, 16_384, 0, 8, 64)
    cell.apply(WorkerChanged("w0", "rack-0", less, True))
    preempted = [item for item in cell.decide() if isinstance(item, Preempt)]
    assert len(preempted) == 2
    assert {item.reason for item in preempted} == {PreemptReason.OVER_CAPACITY}


def test_worker_that_fails_everything_is_quarantined_then_probed(cell):
    cell.workers(2)
    cell.teams(north=1)
    for _ in range(3):
        cell.submit()
        (place,) = cell.places()
        cell.apply(ended(place.task_id, TaskOutcome.FAILED))
    suspect = place.worker_id
    assert cell.core.quarantine.quarantined(cell.now) == [suspect]
    cell.submit(tasks=6)
    assert {item.worker_id for item in cell.places()} == {"w0", "w1"} - {suspect}
    cell.now = 31.0
    probes = cell.places()
    assert [item.worker_id for item in probes] == [suspect]
    cell.apply(ended(probes[0].task_id, run_time_s=10.0))
    assert len(cell.places()) == 1


def test_one_bad_job_does_not_quarantine(cell):
    cell.workers(1)
    cell.teams(north=1)
    cell.submit(tasks=4)
    for place in cell.places():
        cell.apply(ended(place.task_id, TaskOutcome.FAILED))
    assert cell.core.quarantine.quarantined(cell.now) == []


def test_job_that_could_never_run_names_the_resource(cell):
    cell.workers(2)
    assert cell.core.find_lacking_resource(cell.job(processors=5)) == "processors_milli"
    assert cell.core.find_lacking_resource(cell.job(processors=4)) is None
    gang = cell.job(tasks=3, processors=4, kind=JobKind.GANG)
    assert cell.core.find_lacking_resource(gang) == "workers"


def test_run_time_is_learnt_from_outcomes(cell):
    cell.workers(1)
    cell.teams(north=1)
    job = cell.submit(run_time_s=100.0)
    (place,) = cell.places()
    cell.apply(ended(place.task_id, run_time_s=10.0))
    assert cell.core.estimates.run_time_s(job) == 10.0


def test_cancelled_jobs_leave_no_waiting_tasks(cell):
    cell.workers(1)
    cell.teams(north=1)
    jobs = [cell.submit(tasks=5) for _ in range(1000)]
    for job in jobs:
        cell.apply(JobCancelled(job.id))
    assert cell.core.waiting_tasks() == 0
    assert cell.places() == []


REQUESTS = st.builds(
    Resources,
    st.sampled_from([500, 1000, 2000, 3000]),
    st.sampled_from([128, 1024, 4096]),
    st.sampled_from([0, 0, 0, 1]),
    st.just(1),
    st.sampled_from([1, 2]),
)
STEPS = st.one_of(
    st.tuples(st.just("submit"), st.sampled_from("abc"), REQUESTS, st.integers(1, 4)),
    st.tuples(st.just("end"), st.integers(0, 50)),
    st.tuples(st.just("cancel"), st.integers(0, 50)),
    st.tuples(st.just("worker"), st.integers(0, 3), st.booleans()),
    st.tuples(st.just("limit"), st.sampled_from([1000, 4000, None])),
)


@settings(max_examples=150, derandomize=True, database=None, deadline=None)
@given(st.lists(STEPS, max_size=40))
def test_decisions_equal_those_of_the_naive_core(steps):
    """Plain batch jobs are placed in the same order as by the reference core.

    Guards against stale indexes and cached counters, which make the core skip a
    worker, team or job that the reference core finds.
    """
    both = (PlacementCore(PLAIN), NaiveCore())
    names = job_names()
    running, jobs = [], []
    capacity = Resources(6000, 8192, 1, 4, 8)

    def apply_to_both(event):
        for core in both:
            core.apply(event, 0.0)

    for number in range(4):
        apply_to_both(WorkerChanged(f"w{number}", "rack", capacity, True))
    apply_to_both(
        TeamsChanged({name: TeamPolicy(w) for name, w in zip("abc", (1, 2, 3))})
    )
    cell = Cell()
    for step in steps:
        match step:
            case ("submit", team, request, tasks):
                job = cell.job(team=team, tasks=tasks)
                job = type(job)(
                    **{
                        **{f: getattr(job, f) for f in job.__dataclass_fields__},
                        "id": next(names),
                        "request": request,
                    }
                )
                jobs.append(job)
                apply_to_both(JobSubmitted(job, tuple(range(tasks)), 0.0))
            case ("end", which) if running:
                apply_to_both(ended(running.pop(which % len(running))))
            case ("cancel", which) if jobs:
                apply_to_both(JobCancelled(jobs[which % len(jobs)].id))
            case ("worker", number, accepting):
                apply_to_both(WorkerChanged(f"w{number}", "rack", capacity, accepting))
            case ("limit", processors):
                limit = None
                if processors is not None:
                    limit = Resources(processors, *[10**9] * 4)
                weights = zip("abc", (1, 2, 3))
                apply_to_both(
                    TeamsChanged({name: TeamPolicy(w, limit) for name, w in weights})
                )
        fast = []
        while places := [p for p in both[0].decide(0.0) if isinstance(p, Place)]:
            fast += [(place.task_id, place.worker_id) for place in places]
        assert fast == both[1].decide(0.0)
        running += [task_id for task_id, _ in fast]
        check_conserved(both[0], jobs, running)


def job_names():
    number = 0
    while True:
        number += 1
        yield f"j{number}"


def check_conserved(core, jobs, running):
    """Check that the core's placed tasks, commitments and waiting counts agree."""
    assert set(core.placed_by_task_id) == set(running)
    for worker in core.worker_table.by_id.values():
        total = Resources()
        for task_id in worker.task_ids:
            total = total.plus(core.placed_by_task_id[task_id].job.request)
        assert total == worker.committed
    waiting = sum(len(item.indexes) for item in core.pending_by_job_id.values())
    assert waiting == core.waiting_tasks()


def test_gone_worker_is_forgotten_once_empty(cell):
    cell.workers(1)
    cell.teams(north=1)
    cell.submit()
    (place,) = cell.places()
    cell.apply(WorkerGone("w0"))
    assert "w0" in cell.core.worker_table.by_id
    cell.apply(ended(place.task_id))
    assert "w0" not in cell.core.worker_table.by_id


def test_withdrawn_task_is_not_placed_and_does_not_wait(cell):
    cell.workers(1)
    cell.teams(north=1)
    job = cell.submit(tasks=2)
    last = cell.submit()
    for withdrawn in (job, last):
        cell.apply(TaskWithdrawn(withdrawn.id, 0))
        cell.apply(TaskWithdrawn(withdrawn.id, 0))
    assert cell.core.waiting_tasks() == 1
    assert [place.task_id for place in cell.places()] == [f"{job.id}/1"]
    assert cell.core.waiting_tasks() == 0
