"""Two incarnations of a worker without a commit between them have the same token."""

from __future__ import annotations

from tests.support.steps import StepWorld, step

from lagoonpulley.upstream.tasks import SyncWorker

FIRST = "a" * 16
SECOND = "b" * 16


def record_commands(worker):
    """Record the commands that a worker executes, each with its incarnation."""
    executed = []
    apply = worker.apply

    def apply_and_record(command, now):
        executed.append((worker.born, command))
        return apply(command, now)

    worker.apply = apply_and_record
    return executed


def restart(world, worker_id="w0"):
    """Restart a worker under its identifier; the directory lists it at once."""
    world.worker_by_id[worker_id].restart(world.clock.mono)
    world.add_worker(worker_id)


def test_restart_before_the_first_commit_of_a_term_has_a_later_token():
    """A late acknowledgement passes the fence of the next incarnation."""
    world = StepWorld(workers=1)
    world.run(8.0)
    worker = world.worker_by_id["w0"]
    executed = record_commands(worker)
    world.submit(FIRST, step(count=3), payload="seconds=0.3")
    world.run(0.2)
    # The first owner records the ends, but does not acknowledge them.
    release = world.hold_commits()
    world.run_until(lambda: not worker._running_by_ref, 1.0)
    world.run(0.2)
    first = world.owner()
    first.unreachable_workers.add("w0")
    release()
    world.run(0.1)
    world.kill(first)

    def acknowledgements():
        return [c for _, c in executed if getattr(c, "acknowledged", 0) == 3]

    world.run_until(acknowledgements, 6.0)
    acknowledgement = acknowledgements()[0]
    restart(world)
    world.run(1.0)
    world.submit(SECOND, step(), payload="seconds=2")
    world.run(0.3)
    world.dead_workers.add("w0")
    world.run(2.0)
    # The call to the previous incarnation, executed late.
    worker.apply(acknowledgement, world.clock.mono)
    world.dead_workers.clear()
    world.run_until(lambda: world.final_state(SECOND) == "completed", 5.0)
    assert len(world.executions(SECOND)) == 1


def test_each_restart_has_a_later_token_while_the_store_is_away():
    world = StepWorld(workers=1)
    world.run(8.0)
    executed = record_commands(world.worker_by_id["w0"])
    world.store_up = False
    term = world.owner().owner._term
    worker = term.worker_by_id["w0"]
    tokens = [worker.token]
    for _ in range(2):
        # The worker itself reports its restart.
        world.worker_by_id["w0"].restart(world.clock.mono)
        world.run(0.7)
        assert worker.fenced
        tokens.append(worker.token)
    assert isinstance(executed[-1][1], SyncWorker)
    assert tokens == sorted(set(tokens)), tokens
