"""Random histories of a simulated cell that runs jobs with steps.

Hypothesis derives its random seed from the source of ``StepHistory``, so a change of
its code changes the histories that derandomized tests run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from lagoonpulley.intake.messages import OutcomeKind
from lagoonpulley.model.resources import Resources

from .step_invariants import check_all
from .steps import STRONG, WEAK, StepWorld, step

if TYPE_CHECKING:
    from lagoonpulley.workload.spec import JobSpec

__all__ = [
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
