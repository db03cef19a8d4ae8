"""Random histories of a simulated cell that runs jobs with steps.

Hypothesis derives its random seed from the source of ``StepHistory``, so a change of
its code changes the histories that derandomized tests run.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from lagoonpulley.intake.messages import OutcomeKind
from lagoonpulley.model.resources import Resources
from lagoonpulley.upstream.tasks import CommandRefused, Refusal, StartTask

from .step_invariants import check_all
from .steps import CAPACITY, STRONG, WEAK, Lateness, StepWorld, step

if TYPE_CHECKING:
    from lagoonpulley.workload.spec import JobSpec

__all__ = [
    "LateCommandsHistory",
    "LateGrantsHistory",
    "LateRestartsHistory",
    "StepHistory",
    "UnequalEntriesHistory",
    "history_settings",
]

ENTRIES = ("e0", "e1", "e2")
WORKERS = ("w0", "w1", "w2")
# Room of incarnations that come back smaller; this worker never does, as some tasks
# need a whole one.
SMALLER = Resources(8000, 65536, 0)
FULL_WORKER = "w0"
TEAMS = {"north": [24000, 0, 0], "south": [0, 0, 0]}
SMALLER_TEAMS = {"north": [12000, 0, 0], "south": [0, 0, 0]}
MOST_ATTEMPTS = 2
# Time for accepted jobs to end after the last fault, in addition to their run times.
SETTLE_S = 60.0
# Processors, in thousandths, that the team with the lowest limit can always use:
# packing may leave half of its limit unusable.
SURE_PROCESSORS = TEAMS["north"][0] / 2
# A run may start at most this long after the cancellation of its job.
CANCEL_BOUND_S = 6.0
STEPS_PER_HISTORY = 25
STEPS_BY_SHAPE = {
    "wide": (step(count=5, processors=7000),),
    "gang": (step(count=3, processors=6000, gang=True),),
    "chain": (step(count=4, processors=3000), step(count=2, after=(0,))),
    "whole": (step(count=1, processors=16000),),
}
SHAPES = sorted(STEPS_BY_SHAPE)
# Not among the shapes that all histories draw: it would change them.
STEPS_BY_SHAPE["quarters"] = (step(count=3, processors=4000),)
PAYLOADS = ("seconds=0.3", "seconds=1", "seconds=4")


def history_settings(histories: int, **more: Any) -> settings:
    """Return hypothesis settings for a number of histories, without a database.

    :param more: further settings of hypothesis.
    """
    return settings(
        max_examples=histories,
        stateful_step_count=STEPS_PER_HISTORY,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
        **more,
    )


# A worker that crashes so soon after a start is presumed to have crashed because of it,
# and a task is given up at the second crash.
CRASH_AT_START_S = 0.45
CRASHES_TO_GIVE_UP = 2


class StepHistory(RuleBasedStateMachine):
    """Jobs of two teams on three entries and three workers, with faults between."""

    def __init__(self) -> None:
        super().__init__()
        self.world = StepWorld(entries=len(ENTRIES), workers=len(WORKERS))
        self.world.set_policy(2, teams=TEAMS)
        self.version = 2
        self.world.run(7.0)
        self.spec_by_id: dict[str, JobSpec] = {}
        self.outcome_by_id: dict[str, OutcomeKind] = {}
        self.cancelled_at_by_id: dict[str, float] = {}
        self.perhaps_cancelled_ids: set[str] = set()
        self.crashes_at_start_by_id: dict[str, int] = {}

    @rule(
        shape=st.sampled_from(SHAPES),
        payload=st.sampled_from(PAYLOADS),
        team=st.sampled_from(sorted(TEAMS)),
        jobs=st.integers(1, 4),
    )
    def submit(self, shape, payload, team, jobs):
        for _ in range(jobs):
            self._submit(shape, payload, team)

    @rule(shape=st.sampled_from(SHAPES))
    def submit_hopeless(self, shape):
        self._submit(shape, "fail seconds=0.3", "south")

    @precondition(lambda self: self.spec_by_id)
    @rule(data=st.data())
    def cancel(self, data):
        job_id = data.draw(st.sampled_from(sorted(self.spec_by_id)))
        if not self._can_ask():
            return
        outcome = self.world.cancel(job_id, self.spec_by_id[job_id].team)
        if outcome.kind is OutcomeKind.DONE:
            self.cancelled_at_by_id.setdefault(job_id, self.world.clock.mono)
        elif outcome.kind is OutcomeKind.UNKNOWN:
            self.perhaps_cancelled_ids.add(job_id)

    @rule(tenths=st.integers(1, 25))
    def wait(self, tenths):
        self.world.run(tenths / 10)

    @rule(smaller=st.booleans())
    def change_limits(self, smaller):
        self.version += 1
        teams = SMALLER_TEAMS if smaller else TEAMS
        self.world.set_policy(self.version, teams=teams)

    @rule(name=st.sampled_from(ENTRIES))
    def kill_entry(self, name):
        self.world.kill(self.world.entry_by_name[name])

    @rule(name=st.sampled_from(ENTRIES))
    def restart_entry(self, name):
        self.world.kill(self.world.entry_by_name[name])
        self.world.start_entry(name)

    @rule(name=st.sampled_from(ENTRIES), has_store=st.booleans())
    def cut_entry_from_store(self, name, has_store):
        self.world.entry_by_name[name].has_store = has_store

    @rule(name=st.sampled_from(ENTRIES), has_peers=st.booleans())
    def cut_entry_from_others(self, name, has_peers):
        self.world.entry_by_name[name].has_peers = has_peers

    @rule(name=st.sampled_from(ENTRIES), worker=st.sampled_from(WORKERS))
    def cut_entry_from_worker(self, name, worker):
        self.world.entry_by_name[name].unreachable_workers ^= {worker}

    @rule(up=st.booleans())
    def switch_store(self, up):
        self.world.store_up = up

    @rule(share=st.sampled_from((0.0, 0.0, 0.3)))
    def lose_store_answers(self, share):
        self.world.lose_answers = share

    @rule()
    def forget_store_history(self):
        self.world.store.compact_history()

    @rule(worker=st.sampled_from(WORKERS))
    def silence_worker(self, worker):
        self.world.dead_workers ^= {worker}

    @rule(worker=st.sampled_from(WORKERS))
    def carry_out_starts_late(self, worker):
        self.world.late_workers ^= {worker}

    @rule(worker=st.sampled_from(WORKERS))
    def restart_worker(self, worker):
        # An incarnation is identified by the millisecond of its start.
        self.world.run(0.05)
        for job_id in self._jobs_started_on(worker):
            crashes = self.crashes_at_start_by_id.get(job_id, 0)
            self.crashes_at_start_by_id[job_id] = crashes + 1
        self.world.worker_by_id[worker].restart(self.world.clock.mono)
        self.world.add_worker(worker)

    def _jobs_started_on(self, worker_id: str) -> set[str]:
        """Return the jobs of which an owner had just placed a task on a worker."""
        since = self.world.clock.mono - CRASH_AT_START_S
        terms = [entry.owner._term for entry in self.world.entry_by_name.values()]
        return {
            ref.job_id
            for term in terms
            if term is not None and worker_id in term.worker_by_id
            for ref, run in term.worker_by_id[worker_id].tracked_by_ref.items()
            if run.placed_at >= since
        }

    def teardown(self) -> None:
        self._end_faults()
        self.world.run_until(self._is_settled, SETTLE_S + self._work_s())
        check_all(self.world, self.spec_by_id, TEAMS, MOST_ATTEMPTS)
        for job_id in self.spec_by_id:
            self._check_job(job_id)

    def _submit(self, shape, payload, team) -> None:
        if not self._can_ask():
            return
        job_id = f"{len(self.spec_by_id):016x}"
        outcome = self.world.submit(
            job_id, *STEPS_BY_SHAPE[shape], payload=payload, team=team
        )
        self.spec_by_id[job_id] = self.world.last_spec
        self.outcome_by_id[job_id] = outcome.kind

    def _can_ask(self) -> bool:
        entries = self.world.entry_by_name.values()
        return any(entry.alive and entry.has_store for entry in entries)

    def _end_faults(self) -> None:
        world = self.world
        world.store_up = True
        world.lose_answers = 0.0
        world.dead_workers.clear()
        world.late_workers.clear()
        for name in ENTRIES:
            world.entry_by_name[name].has_store = True
            world.entry_by_name[name].has_peers = True
            world.entry_by_name[name].unreachable_workers.clear()
            if not world.entry_by_name[name].alive:
                world.start_entry(name)
        self.version += 1
        world.set_policy(self.version, teams=TEAMS)

    def _work_s(self) -> float:
        """Return how long all jobs take, one after the other, in the sure room."""
        work = 0.0
        for spec in self.spec_by_id.values():
            seconds = float(spec.payload.partition("seconds=")[2])
            for some in spec.steps:
                work += some.count * some.request.processors_milli * seconds
        return work / SURE_PROCESSORS

    def _is_settled(self) -> bool:
        return all(
            self.world.final_state(job_id) is not None
            for job_id, kind in self.outcome_by_id.items()
            if kind is OutcomeKind.DONE
        )

    def _check_job(self, job_id: str) -> None:
        executions = self.world.executions(job_id)
        kind = self.outcome_by_id[job_id]
        if kind not in (OutcomeKind.DONE, OutcomeKind.UNKNOWN):
            assert not executions, f"{job_id} was refused, and ran"
            return
        if kind is OutcomeKind.UNKNOWN:
            return
        state = self.world.final_state(job_id)
        cancelled_at = self.cancelled_at_by_id.get(job_id)
        if cancelled_at is None:
            if state == "cancelled":
                assert job_id in self.perhaps_cancelled_ids, f"{job_id}: {state}"
                return
            if self.crashes_at_start_by_id.get(job_id, 0) >= CRASHES_TO_GIVE_UP:
                # The job looks like the cause; see docs/design/crashes.md.
                assert state in ("completed", "failed"), f"{job_id}: {state}"
                return
            fails = self.spec_by_id[job_id].payload.startswith("fail")
            assert state == ("failed" if fails else "completed"), f"{job_id}: {state}"
            return
        for execution in executions:
            late_s = execution.started_at - cancelled_at
            assert late_s <= CANCEL_BOUND_S, f"{job_id} started after its cancellation"


class UnequalEntriesHistory(StepHistory):
    """Histories with one strong entry, to which weak owners hand over."""

    def __init__(self) -> None:
        super().__init__()
        for name in ENTRIES:
            self.world.capacity_by_name[name] = STRONG if name == "e0" else WEAK
            self.restart_entry(name)
        self.world.run(7.0)

    @rule(tenths=st.integers(50, 90))
    def replace_strong_entry(self, tenths):
        self.world.kill(self.world.entry_by_name["e0"])
        self.world.run(2.0)
        self.world.start_entry("e0")
        self.world.run(tenths / 10)


class LateCommandsHistory(StepHistory):
    """Histories with workers that carry out half of the starts and syncs late."""

    @rule(worker=st.sampled_from(WORKERS))
    def carry_out_half_of_the_commands_late(self, worker):
        self.world.partly_late_workers ^= {worker}

    def _jobs_started_on(self, worker_id: str) -> set[str]:
        """Return also the jobs of which a late start was just carried out."""
        since = self.world.clock.mono - CRASH_AT_START_S
        started = {
            execution.ref.job_id
            for execution in self.world.worker_by_id[worker_id].executions
            if execution.ended_at is None and execution.started_at >= since
        }
        return started | super()._jobs_started_on(worker_id)

    def _end_faults(self) -> None:
        super()._end_faults()
        self.world.partly_late_workers.clear()


# Of a restart behind a cut: how late commands are, and the time from the submission of
# a job until the cut, from the cut until the restart, from the last late command until
# the worker can be reached again, and from the restart until the directory lists it.
RESTART_BEHIND_A_CUT = {
    "worker": st.sampled_from(WORKERS),
    "shape": st.sampled_from(SHAPES),
    "late_s": st.integers(2, 12),
    "tenths": st.integers(1, 12),
    "silent_s": st.sampled_from((0, 1, 4)),
    "beyond_s": st.integers(-1, 3),
    "listed_after_s": st.sampled_from((0, 1, 5, 14)),
    "is_smaller": st.booleans(),
}


class LateRestartsHistory(LateCommandsHistory):
    """Histories with late commands and restarts of workers that nobody reaches.

    The directory may list the next incarnation late, and it may have less room. It
    carries out commands that were sent to the one before, also starts of which the
    owner has closed the matter.
    """

    @rule(seconds=st.integers(2, 12))
    def set_how_late_commands_are(self, seconds):
        self.world.late_s = float(seconds)

    @rule(**RESTART_BEHIND_A_CUT)
    def restart_behind_a_cut_with_late_commands(self, **drawn):
        self._restart_behind_a_cut(self.world.partly_late_workers, **drawn)

    @rule(**RESTART_BEHIND_A_CUT)
    def restart_behind_a_cut_with_late_starts(self, **drawn):
        self._restart_behind_a_cut(self.world.late_workers, **drawn)

    def reached_states(self) -> Counter[str]:
        """Count the events that these histories are meant to reach."""
        world = self.world
        reached: Counter[str] = Counter()
        for late in world.late_commands:
            incarnation = late.worker_id, late.carried_out_by
            if late.sent_to == late.carried_out_by:
                continue
            if incarnation not in world.incarnations_behind_cuts:
                continue
            if isinstance(late.result, CommandRefused):
                continue
            reached[f"late {type(late.command).__name__} behind a cut"] += 1
        for worker in world.worker_by_id.values():
            for execution in worker.executions:
                capacity = world.capacity_of(*execution.incarnation)
                reached["start on a smaller incarnation"] += capacity != CAPACITY
        return reached

    def _restart_behind_a_cut(
        self,
        late_workers: set[str],
        *,
        worker: str,
        shape: str,
        late_s: int,
        tenths: int,
        silent_s: int,
        beyond_s: int,
        listed_after_s: int,
        is_smaller: bool,
    ) -> None:
        """Restart a worker that is cut off while commands to it are on their way."""
        world = self.world
        late_workers.add(worker)
        world.late_s = float(late_s)
        self._submit(shape, "seconds=4", "south")
        world.run(tenths / 10)
        late_workers.discard(worker)
        world.dead_workers.add(worker)
        reachable_at = world.clock.mono + late_s + beyond_s
        world.clock.at(reachable_at, lambda: world.dead_workers.discard(worker))
        # An incarnation is identified by the millisecond of its start.
        world.run(silent_s + 0.05)
        for job_id in self._jobs_started_on(worker):
            crashes = self.crashes_at_start_by_id.get(job_id, 0)
            self.crashes_at_start_by_id[job_id] = crashes + 1
        is_smaller = is_smaller and worker != FULL_WORKER
        world.restart_worker(worker, SMALLER if is_smaller else CAPACITY)
        world.clock.after(listed_after_s, lambda: self._list_worker(worker))
        world.run(0.05)

    def _list_worker(self, worker_id: str) -> None:
        """Let the directory list the present incarnation of a worker."""
        born = self.world.worker_by_id[worker_id].born
        capacity = self.world.capacity_of(worker_id, born)
        self.world.add_worker(worker_id, capacity=capacity)

    def _end_faults(self) -> None:
        super()._end_faults()
        for worker_id in WORKERS:
            self._list_worker(worker_id)


# Workers of a cell in which tasks of workers that are cut off find room elsewhere.
ROOMY_WORKERS = (*WORKERS, "w3", "w4", "w5")
LATE_SHARES = (0.5, 0.8, 0.8)
# Of the jobs before a cut, in turn.
CUT_PAYLOADS = ("seconds=0.6", "seconds=1.5", "seconds=2.5", "seconds=4")
MOST_CUTS = 2
# Longer than any of these histories.
LONG_RETENTION_S = 3600.0
# Of a cut behind which late commands are carried out: the jobs submitted before it, one
# each tenth of a second, before commands are late and then, and the tenths of a second
# from the last of them until the cut.
CUT_WITH_LATE_COMMANDS = {
    "workers": st.sets(st.sampled_from(ROOMY_WORKERS), min_size=3, max_size=3),
    "shape": st.sampled_from(("chain", "quarters", "quarters", "quarters", "wide")),
    "punctual_jobs": st.integers(1, 3),
    "late_jobs": st.integers(6, 11),
    "share": st.sampled_from(LATE_SHARES),
    "spares_polls": st.booleans(),
    "tenths": st.integers(5, 20),
    "cut_s": st.integers(8, 14),
}


class LateGrantsHistory(StepHistory):
    """Histories with late commands of all kinds, whose times count from their arrival.

    Workers are cut off from all entries for longer than a lease, and owners are killed
    meanwhile. No worker restarts; see KNOWN-RED.txt, 71.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world.late_times_count_from_arrival = True
        self.world.retention_s = LONG_RETENTION_S
        self.cuts = 0
        self.owners_killed_around_cuts = 0
        for worker_id in ROOMY_WORKERS:
            self.world.add_worker(worker_id)
        for name in ENTRIES:
            self.restart_entry(name)
        self.world.run(7.0)

    def restart_worker(self, worker):
        """Leave the workers alone: this is no rule."""

    @rule(
        worker=st.sampled_from(ROOMY_WORKERS),
        share=st.sampled_from((0.0, *LATE_SHARES)),
    )
    def carry_out_commands_of_all_kinds_late(self, worker, share):
        self.world.lateness_by_worker[worker] = Lateness(share)

    @precondition(lambda self: self.cuts < MOST_CUTS)
    @rule(**CUT_WITH_LATE_COMMANDS)
    def cut_off_workers_with_late_commands(self, **drawn):
        self._cut_off_workers_with_late_commands(killed_at_tenths=None, **drawn)

    @precondition(lambda self: self.cuts < MOST_CUTS)
    @rule(
        killed_at_tenths=st.sampled_from((-1, 0, 10, 40)),
        **CUT_WITH_LATE_COMMANDS,
    )
    def cut_off_workers_with_late_commands_and_kill_the_owner(self, **drawn):
        self._cut_off_workers_with_late_commands(**drawn)

    def reached_states(self) -> Counter[str]:
        """Count the events that these histories are meant to reach."""
        reached: Counter[str] = Counter()
        reached["owner killed around a cut"] = self.owners_killed_around_cuts
        for late in self.world.late_commands:
            is_start = isinstance(late.command, StartTask)
            if late.was_cut_off and not is_start and late.kept_runs:
                reached["late grant behind a cut"] += 1
            if late.was_cut_off and late.began_run:
                reached["late start behind a cut"] += 1
            if not isinstance(late.result, CommandRefused):
                continue
            if late.result.reason is Refusal.OLD and late.kept_runs:
                reached["start refused as old that extended a lease"] += 1
            if late.result.reason is Refusal.FENCED:
                reached["late command refused under a later token"] += 1
        return reached

    def _cut_off_workers_with_late_commands(
        self,
        *,
        workers: set[str],
        shape: str,
        punctual_jobs: int,
        late_jobs: int,
        share: float,
        spares_polls: bool,
        tenths: int,
        cut_s: int,
        killed_at_tenths: int | None,
    ) -> None:
        """Cut off workers with runs, to which commands are on their way.

        :param killed_at_tenths: when in the cut the owner is killed, in tenths of a
            second; -1 just before it.
        """
        world = self.world
        self.cuts += 1
        self._restore_entries()
        for number in range(punctual_jobs + late_jobs):
            if number == punctual_jobs:
                lateness = Lateness(share, spares_polls=spares_polls)
                world.lateness_by_worker = dict.fromkeys(ROOMY_WORKERS, lateness)
            payload = CUT_PAYLOADS[number % len(CUT_PAYLOADS)]
            self._submit(shape, payload, "south")
            world.run(0.05)
        world.run(tenths / 10)
        killed = self._kill_owners() if killed_at_tenths == -1 else []
        world.lateness_by_worker.clear()
        world.dead_workers |= workers
        left_tenths = 10 * cut_s
        if killed_at_tenths is not None and killed_at_tenths >= 0:
            world.run(killed_at_tenths / 10)
            left_tenths -= killed_at_tenths
            killed = self._kill_owners()
        world.run(left_tenths / 10)
        world.dead_workers -= workers
        for name in killed:
            world.start_entry(name)

    def _restore_entries(self) -> None:
        """Start the entries that were killed, and let all use the store."""
        self.world.store_up = True
        for name in ENTRIES:
            if not self.world.entry_by_name[name].alive:
                self.world.start_entry(name)
            self.world.entry_by_name[name].has_store = True
        self.world.run(2.0)

    def _kill_owners(self) -> list[str]:
        """Kill the entries that hold the ownership, or still believe so."""
        killed = []
        for name, entry in self.world.entry_by_name.items():
            if not entry.alive or entry.owner._term is None:
                continue
            self.world.kill(entry)
            killed.append(name)
        self.owners_killed_around_cuts += len(killed)
        return killed

    def _end_faults(self) -> None:
        """End all faults, and let the last late commands be carried out."""
        super()._end_faults()
        self.world.lateness_by_worker.clear()
        self.world.run(Lateness().max_s)
