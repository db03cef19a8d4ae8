"""What the review of issue 44 found: leases and starts that the owner misjudges."""

from __future__ import annotations

import json
from itertools import permutations

from tests.support.step_documents import WORKERS_PREFIX
from tests.support.step_invariants import (
    check_no_start_after_acknowledged_end,
    check_one_run_at_a_time,
)
from tests.support.step_workers import CAPACITY
from tests.support.steps import StepWorld, step

from lagoonpulley.model.verdict import Ran
from lagoonpulley.owner.worker_leases import TimedCommand, WorkerLeases
from lagoonpulley.runtime.role import CallFailed
from lagoonpulley.upstream.tasks import StartTask, SyncWorker
from lagoonpulley.workload.documents import JobKeys
from lagoonpulley.workload.spec import TaskKey

FIRST = "a" * 16
SECOND = "b" * 16
THIRD = "c" * 16
WHOLE = CAPACITY[0]
# Longest time after which a late command is carried out.
MAX_LATE_S = 11.95
# See tests/owner/test_late_grants.py.
SETTLED_TAKEOVER_S = 15.0


def world_with_late_times(workers=2, entries=2):
    """The times of late commands count from when these are carried out."""
    made = StepWorld(workers=workers, entries=entries)
    made.late_times_count_from_arrival = True
    made.run(8.0)
    return made


def start_first(world, seconds=40, processors=WHOLE // 2):
    """Start a long task; return its worker and the other one."""
    world.submit(FIRST, step(processors=processors), payload=f"seconds={seconds}")
    world.run(0.5)
    (worker,) = (w for w in world.worker_by_id.values() if w.executions)
    (other,) = (w for w in world.worker_by_id.values() if w is not worker)
    return worker, other


def fill(world, seconds=5):
    """Fill the worker without a task, so that further tasks go to the other one."""
    world.submit(THIRD, step(processors=WHOLE), payload=f"seconds={seconds}")
    world.run(0.3)


def cut_off_until_the_next_run(world, worker):
    """Cut a worker off until its task runs elsewhere, and for a while longer."""
    world.dead_workers.add(worker.id)
    world.run_until(lambda: len(world.executions(FIRST)) == 2, 30.0)
    world.run(4.0)
    worker.advance(world.clock.mono)


def latest_end(certain_until, commands):
    """Return the latest end of the leases over all orders of carrying out commands."""
    latest = certain_until
    for order in permutations(commands):
        until, earliest_at = certain_until, 0.0
        for command in order:
            at = min(until, command.latest_at)
            if at < earliest_at:
                break
            earliest_at = at
            until = max(until, at + command.lease_s)
            latest = max(latest, until)
    return latest


def test_leases_expire_later_than_presumed_if_a_later_command_is_carried_out_first():
    sync = TimedCommand(1, 0, latest_at=7.0, lease_s=5.0, answered_until=5.0)
    start = TimedCommand(1, 0, latest_at=8.0, lease_s=1.5, answered_until=1.5)
    leases = WorkerLeases(6.0, unanswered=[sync, start])
    assert latest_end(6.0, [sync, start]) == 12.0
    assert leases.expire_at >= 12.0


def test_late_grant_after_late_starts_keeps_a_run_alive_beside_its_successor():
    """The starts, sent later, are carried out first and bridge the time until then."""
    world = world_with_late_times()
    worker, _ = start_first(world)
    fill(world)
    granted_at = []
    starts = []

    def delay_of(worker_id, command):
        now = world.clock.mono
        if worker_id != worker.id:
            return None
        if isinstance(command, SyncWorker):
            if command.lease_until_ms is not None and not granted_at:
                granted_at.append(now)
            return MAX_LATE_S if granted_at else None
        if not granted_at:
            return None
        starts.append(command)
        # Further copies have a later token, and would void the sync.
        in_time = len(starts) <= 8 and isinstance(command, StartTask)
        return granted_at[0] + 0.9 + 1.3 * len(starts) - now if in_time else MAX_LATE_S

    world._delay_of = delay_of
    world.run_until(lambda: granted_at, 3.0)
    world.submit(SECOND, step(count=8, processors=WHOLE // 16), payload="seconds=1")
    world.run(1.0)
    assert len(starts) >= 8
    del world._delay_of
    cut_off_until_the_next_run(world, worker)
    check_one_run_at_a_time(world.executions(FIRST))


def test_late_starts_of_the_earlier_owner_keep_a_run_alive_beside_its_successor():
    """They are of other tasks, and extend the leases of all runs on the worker."""
    world = world_with_late_times()
    worker, _ = start_first(world)
    # Falls silent for a moment, so that it is stored that the run has started.
    world.dead_workers.add(worker.id)
    world.run(1.5)
    world.dead_workers.clear()
    world.run(2.0)
    fill(world)
    owner = world.owner()
    first_token = owner.owner._term.worker_by_id[worker.id].token
    for entry in world.entry_by_name.values():
        if entry is not owner:
            entry.unreachable_workers.add(worker.id)
    starts, sent_at = [], []

    def delay_of(worker_id, command):
        now = world.clock.mono
        if worker_id != worker.id or not isinstance(command, StartTask):
            return None
        # The owner loses the store just after the commit of these starts.
        owner.has_store = owner.has_peers = False
        if not sent_at:
            sent_at.append(now)
        if command.token > first_token:
            starts.append(command)
        if 1 <= len(starts) <= 8:
            return sent_at[0] + 0.9 + 1.3 * len(starts) - now
        return MAX_LATE_S

    world._delay_of = delay_of
    world.submit(SECOND, step(count=2, processors=WHOLE // 8), payload="seconds=1")
    world.run(1.3)
    # Three of each run; more are not sent into the silence.
    assert len(starts) >= 4
    del world._delay_of
    cut_off_until_the_next_run(world, worker)
    check_one_run_at_a_time(world.executions(FIRST))


def test_worker_that_is_back_under_its_id_counts_as_replaced_for_ever():
    world = world_with_late_times()
    world.restart_worker("w0")
    world.add_worker("w0+", address="w0")
    world.run(1.0)
    # That one has left, and a worker with the first id is at the address again.
    world.delete(WORKERS_PREFIX + "w0+")
    world.restart_worker("w0")
    world.add_worker("w0")
    world.run(1.0)
    world.submit(FIRST, step(count=2, processors=WHOLE), payload="seconds=3")
    world.run_until(lambda: world.final_state(FIRST) == "completed", 12.0)
    assert len(world.executions(FIRST)) == 2


def test_live_worker_counts_as_replaced_by_the_record_of_one_before_it():
    """The clock of its machine was put back, and a new owner reads both records."""
    world = world_with_late_times()
    key, value = world.record_of("w0")
    document = json.loads(value)
    ahead = {"id": "w0-before", "born": document["born"] + 60_000}
    world.put(WORKERS_PREFIX + "w0-before", json.dumps(document | ahead))
    world.kill(world.owner())
    world.run(3.0)
    world.delete(WORKERS_PREFIX + "w0-before")
    world.run(6.0)
    world.submit(FIRST, step(count=2, processors=WHOLE), payload="seconds=3")
    world.run_until(lambda: world.final_state(FIRST) == "completed", 12.0)
    assert len(world.executions(FIRST)) == 2


def test_second_copy_of_a_start_of_the_earlier_owner_runs_beside_its_successor():
    """The list of the worker shows that one copy has arrived, and not the other one.

    The worker restarts behind a cut, so that it has seen no token.
    """
    world = world_with_late_times()
    sent = []

    def delay_of(worker_id, command):
        if not isinstance(command, StartTask):
            return None
        sent.append(worker_id)
        return 0.25 if len(sent) == 1 else MAX_LATE_S

    world._delay_of = delay_of
    world.submit(FIRST, step(processors=WHOLE), payload="seconds=40")
    while len(sent) < 2:
        world.run(0.01)
    del world._delay_of
    world.kill(world.owner())
    worker = world.worker_by_id[sent[0]]
    world.run(2.5)
    owner = world.owner().owner
    (tracked,) = owner._term.worker_by_id[worker.id].tracked_by_ref.values()
    assert tracked.listed
    world.dead_workers.add(worker.id)
    world.restart_worker(worker.id)
    world.run(20.0)
    worker.advance(world.clock.mono)
    check_one_run_at_a_time(world.executions(FIRST))


def test_run_that_began_long_ago_is_held_up_if_its_worker_dies_with_the_owner():
    """As with a machine or a data centre; nothing has stored that it has started."""
    world = world_with_late_times()
    worker, _ = start_first(world, processors=WHOLE)
    world.run(16.0)
    world.dead_workers.add(worker.id)
    world.kill(world.owner())
    world.run_until(lambda: len(world.executions(FIRST)) == 2, SETTLED_TAKEOVER_S)


def test_run_of_a_replaced_worker_waits_for_its_leases_if_the_later_one_is_read_first():
    world = world_with_late_times(workers=3)
    world.submit(FIRST, step(processors=WHOLE), payload="seconds=40")
    world.run(0.5)
    (worker,) = (w for w in world.worker_by_id.values() if w.executions)
    world.run(2.0)
    world.kill(world.owner())
    # The next worker at the address, whose id sorts before that of the one before.
    world.worker_by_id[worker.id].restart(world.clock.mono)
    world.add_worker("a-later", address=worker.id)
    world.run_until(lambda: len(world.executions(FIRST)) == 2, 5.0)


def test_policy_with_advice_hides_a_start_that_was_sent_without_a_permit():
    """A new owner takes it for one that is refused once its permit has expired."""
    world = world_with_late_times()
    sent = []

    def delay_of(worker_id, command):
        if not isinstance(command, StartTask):
            return None
        sent.append(worker_id)
        return MAX_LATE_S

    world._delay_of = delay_of
    world.submit(FIRST, step(processors=WHOLE), payload="seconds=40")
    world.run(0.3)
    del world._delay_of
    world.dead_workers.add(sent[0])
    advice = {"max_attempts": 2, "target_s": 1.0, "advice": [0.5, 0.01, 2.0]}
    world.set_policy(2, {"reviews": advice})
    world.kill(world.owner())
    # Its machine starts again behind the cut.
    worker = world.restart_worker(sent[0])
    world.run(25.0)
    worker.advance(world.clock.mono)
    check_one_run_at_a_time(world.executions(FIRST))


def test_start_that_a_frozen_owner_sends_late_runs_beside_its_successor():
    """None is sent any more four seconds after the session has expired.

    The worker has restarted meanwhile, behind a cut.
    """
    world = world_with_late_times()
    first = world.owner()
    release = world.hold_commits()
    world.submit(FIRST, step(processors=WHOLE), payload="seconds=40")
    world.run(0.1)
    task = first.owner._term.record_by_id[FIRST].task_by_key[TaskKey(0, 0, 0)]
    worker = world.worker_by_id[task.run.worker_id]
    for entry in world.entry_by_name.values():
        if entry is not first:
            entry.unreachable_workers.add(worker.id)
    release()
    while JobKeys(FIRST).progress not in world.store.key_value_by_key:
        world.run(0.0005)
    first.alive = False
    world.run(4.7)
    sent = []

    def delay_of(worker_id, command):
        if not isinstance(command, StartTask):
            return None
        sent.append(command)
        return MAX_LATE_S

    world._delay_of = delay_of
    first.alive = True
    world._tick(first)
    world.run(0.05)
    assert not sent
    del world._delay_of
    world.dead_workers.add(worker.id)
    world.restart_worker(worker.id)
    world.run(25.0)
    worker.advance(world.clock.mono)
    check_one_run_at_a_time(world.executions(FIRST))


def test_start_that_an_unknown_incarnation_accepts_runs_beside_its_successor():
    """Its time is of the clock before, and is worth the longest lease there.

    The cut hides that the connections of the one before are closed.
    """
    world = world_with_late_times()
    reply = world._reply

    def reply_later(entry, request, result):
        if isinstance(result, CallFailed) and result.closed:
            silent = CallFailed(Ran.MAYBE, "no answer")
            timeout_s = request.timeout_s
            world.clock.after(timeout_s, lambda: reply(entry, request, silent))
            return
        reply(entry, request, result)

    world._reply = reply_later
    world.submit(THIRD, step(processors=WHOLE), payload="seconds=3")
    world.run(0.2)
    (busy,) = (w for w in world.worker_by_id.values() if w.executions)
    (worker,) = (w for w in world.worker_by_id.values() if w is not busy)
    world.dead_workers.add(worker.id)
    world.restart_worker(worker.id)
    world.run(0.1)
    world.dead_workers.clear()
    world.submit(FIRST, step(processors=WHOLE), payload="seconds=40")
    while not world.executions(FIRST):
        world.run(0.001)
    world.run(0.002)
    world.dead_workers.add(worker.id)
    world.run(12.0)
    worker.advance(world.clock.mono)
    check_one_run_at_a_time(world.executions(FIRST))


def test_late_acknowledgement_reaches_ends_of_the_next_incarnation_behind_a_cut():
    """A sync that grants nothing raises no token when it goes unanswered."""
    world = world_with_late_times()
    fill(world, seconds=4)
    (busy,) = (w for w in world.worker_by_id.values() if w.executions)
    (worker,) = (w for w in world.worker_by_id.values() if w is not busy)
    late = []

    def delay_of(worker_id, command):
        is_sync = worker_id == worker.id and isinstance(command, SyncWorker)
        if not is_sync or not command.acknowledged or command.lease_until_ms:
            return None
        late.append(command)
        return 3.0

    world._delay_of = delay_of
    known = world.owner().owner._term.worker_by_id[worker.id]
    granted_at = known.granted_at
    world.run_until(lambda: known.granted_at > granted_at, 2.0)
    world.submit(SECOND, payload="seconds=0.2")
    while not late:
        world.run(0.001)
    del world._delay_of
    world.dead_workers.add(worker.id)
    world.restart_worker(worker.id)
    world.run(0.1)
    world.dead_workers.clear()
    world.submit(FIRST, step(processors=WHOLE), payload="seconds=0.5")
    while not world.executions(FIRST):
        world.run(0.001)
    world.run(0.002)
    world.dead_workers.add(worker.id)
    world.run(12.0)
    worker.advance(world.clock.mono)
    check_no_start_after_acknowledged_end(world.executions(FIRST))
