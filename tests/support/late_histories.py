"""Random histories with workers that carry out commands late.

As for ``StepHistory``, a change of their code changes what derandomized tests run.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

from lagoonpulley.upstream.tasks import CommandRefused, Refusal, StartTask

from .lateness import Lateness
from .step_history import (
    CRASH_AT_START_S,
    ENTRIES,
    FULL_WORKER,
    SHAPES,
    SMALLER,
    WORKERS,
    StepHistory,
)
from .step_workers import CAPACITY

if TYPE_CHECKING:
    pass

__all__ = ["LateCommandsHistory", "LateGrantsHistory", "LateRestartsHistory"]


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
