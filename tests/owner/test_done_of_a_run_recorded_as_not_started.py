"""The end of a run whose start was taken for refused."""

from __future__ import annotations

from tests.support.logged_events import capture_events
from tests.support.steps import StepWorld, step

from lagoonpulley.upstream.tasks import CommandRefused, Refusal, StartTask

JOB = "a" * 16


def test_done_of_a_run_recorded_as_not_started_is_not_run_again():
    """The worker has carried out the start, and another attempt of it was refused.

    This is what a client that sends a request again leads to. The owner no longer sees
    the first attempt; it must still not acknowledge and drop the end.
    """
    world = StepWorld(workers=1)
    world.run(8.0)
    worker = world.worker_by_id["w0"]
    apply = worker.apply
    refused = []

    def carry_out_and_refuse(command, now):
        result = apply(command, now)
        if isinstance(command, StartTask) and not refused:
            refused.append(command)
            return CommandRefused(Refusal.UNHEALTHY, worker.clock_ms(now))
        return result

    worker.apply = carry_out_and_refuse
    with capture_events() as events:
        world.submit(JOB, step(), payload="seconds=0.02")
        world.run_until(lambda: world.final_state(JOB) == "completed", 5.0)
    assert [e["end"] for e in events.named("end_ignored")] in ([], ["done"])
    assert len(world.executions(JOB)) == 1
