"""Reasons for which steps wait, and the events that let them start."""

from __future__ import annotations

import pytest
from tests.support.logged_events import capture_events
from tests.support.steps import StepWorld, step

from lagoonpulley.runtime.flows import Sleep
from lagoonpulley.workload.documents import JobKeys, encode_submission
from lagoonpulley.workload.spec import JobSpec


@pytest.fixture
def world():
    made = StepWorld()
    made.run(1.0)
    return made


def set_policy_with_advice(world, version):
    queue = {"max_attempts": 2, "target_s": 1.0, "advice": [0.5, 0.01, 2.0]}
    world.set_policy(version, queues={"reviews": queue})


def test_step_starts_when_the_policy_changes_while_its_advisor_is_asked(world):
    set_policy_with_advice(world, 2)
    world.run(1.0)
    world.submit("a" * 16)
    set_policy_with_advice(world, 3)
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 6.0)


def test_step_waits_for_room_and_starts_when_it_appears(world):
    world.submit("a" * 16, step(count=3, processors=16000))
    world.run(0.5)
    world.submit("b" * 16, step(count=3, processors=16000))
    world.run(0.2)
    assert not world.executions("b" * 16)
    world.run_until(lambda: world.final_state("b" * 16) == "completed", 5.0)


def test_gang_waits_until_all_fit(world):
    world.submit("a" * 16, step(count=2, processors=16000), payload="seconds=2")
    world.run(0.5)
    world.submit("b" * 16, step(count=3, processors=16000, gang=True))
    world.run(1.0)
    assert not world.executions("b" * 16)
    world.run_until(lambda: world.final_state("b" * 16) == "completed", 6.0)
    starts = {execution.started_at for execution in world.executions("b" * 16)}
    assert max(starts) - min(starts) < 0.1


def test_team_stays_within_its_limit(world):
    world.set_policy(2, teams={"north": [2000, 0, 0]})
    world.run(1.0)
    world.submit("a" * 16, step(count=6))
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 10.0)
    executions = world.executions("a" * 16)
    for execution in executions:
        at = execution.started_at
        beside = [e for e in executions if e.started_at <= at < e.ended_at]
        assert len(beside) <= 2


def test_job_fails_after_its_attempts(world):
    world.submit("a" * 16, payload="fail seconds=0.2")
    world.run_until(lambda: world.final_state("a" * 16) == "failed", 5.0)
    assert len(world.executions("a" * 16)) == 2


def test_step_starts_after_a_failed_advice_request_without_other_events():
    world = StepWorld(entries=1)
    set_policy_with_advice(world, 2)
    world.run(2.0)
    world.advice_failures = 1
    world.submit("a" * 16)
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 8.0)


def test_step_finds_other_workers_when_the_only_allowed_one_is_gone():
    world = StepWorld(entries=1, workers=2)
    world.forbidden_workers.add("w1")
    set_policy_with_advice(world, 2)
    world.run(2.0)
    world.submit("a" * 16, payload="seconds=20")
    world.run(2.0)
    assert [e.ref.run for e in world.executions("a" * 16)] == [1]
    for number in range(2, 5):
        world.add_worker(f"w{number}")
    world.dead_workers.add("w0")
    world.run_until(lambda: len(world.executions("a" * 16)) == 2, 12.0)


def test_jobs_that_fail_everywhere_leave_the_workers_to_the_others():
    world = StepWorld()
    world.run(7.0)
    for number in range(12):
        world.submit(f"{number:016x}", step(count=4), payload="fail seconds=0.2")
    world.run(2.0)
    world.submit("f" * 16, step(count=3))
    world.run_until(lambda: world.final_state("f" * 16) == "completed", 3.0)


def test_gang_that_failed_on_most_workers_is_tried_there_again():
    world = StepWorld()
    world.run(7.0)
    gang = step(count=3, processors=6000, gang=True)
    world.submit("a" * 16, gang, payload="fail seconds=0.2")
    world.run_until(lambda: world.final_state("a" * 16) == "failed", 6.0)


def test_submission_is_noticed_soon_while_watches_report_nothing():
    world = StepWorld()
    world.run(7.0)
    world.submit("a" * 16, step())
    world.delivers_watch_events = False
    world.submit("b" * 16, step())
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 2.0)
    world.run_until(lambda: world.executions("b" * 16), 0.8)


def test_start_is_not_sent_when_its_permit_ran_out_before_it_was_durable(world):
    set_policy_with_advice(world, 2)
    world.permit_valid_s = 0.6
    world.run(6.0)
    world.submit("a" * 16, step(count=2))
    world.run(0.3)
    world.store_up = False
    world.run(0.9)
    world.store_up = True
    world.run_until(lambda: world.final_state("a" * 16) == "completed", 6.0)
    assert world.refused_permits == 0


PERMIT_VALID_S = 2.0


def slow_down_commits(world, commit_s):
    """Let each commit of the present owner take longer."""
    owner = world.owner().owner
    send = owner._send_commit

    def send_later(term, transaction):
        yield Sleep(commit_s)
        yield from send(term, transaction)

    owner._send_commit = send_later


def record_commit_waits(world):
    """Record how long each placement waits until it is durable."""
    owner = world.owner().owner
    start_committed = owner._start_committed
    dispatch = owner._dispatch
    placed_at_by_job_id = {}
    waits = []

    def dispatch_and_record(term, start):
        placed_at_by_job_id[start.record.spec.id] = world.clock.mono
        dispatch(term, start)

    def start_and_record(term, start):
        placed_at = placed_at_by_job_id[start.record.spec.id]
        waits.append(world.clock.mono - placed_at)
        start_committed(term, start)

    owner._dispatch = dispatch_and_record
    owner._start_committed = start_and_record
    return waits


def test_placements_are_durable_before_permits_expire_though_commits_are_slow():
    world = StepWorld()
    world.run(8.0)
    slow_down_commits(world, 0.5)
    world.submit("f" * 16, step(count=5, processors=10), payload="seconds=0.1")
    world.run_until(lambda: world.final_state("f" * 16), 10.0)
    waits = record_commit_waits(world)
    jobs = [f"{number:016x}" for number in range(300)]
    for job_id in jobs:
        spec = JobSpec(job_id, "reviews", "north", "seconds=0.1", (step(1, 10),), 0.0)
        world.put(JobKeys(job_id).submission, encode_submission(spec))
    world.run_until(lambda: all(map(world.final_state, jobs)), 60.0)
    assert max(waits) < PERMIT_VALID_S


def test_line_of_a_waiting_step_hides_that_there_is_room(world):
    set_policy_with_advice(world, 2)
    world.run(1.0)
    world.advice_s = 8.0
    with capture_events() as events:
        world.submit("a" * 16, step(count=2, processors=8000))
        world.run(4.0)
    line = events.named("step_waits")[0]
    assert (line["blocked"], line["asking"], line["tasks"]) == ("advice", True, 2)
    assert (line["room_allowed"], line["room_unknown"]) == (0, 6)
