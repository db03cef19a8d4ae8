"""Simulated workers and advisor of a cell, and what goes wrong with them."""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from lagoonpulley.model.resources import Resources
from lagoonpulley.model.verdict import Ran
from lagoonpulley.runtime.role import CallFailed, Reply, Request
from lagoonpulley.standin.task_worker import TaskWorkerState
from lagoonpulley.upstream.tasks import (
    Advice,
    AskAdvice,
    CommandRefused,
    Refusal,
    StartTask,
    SyncWorker,
)

from .lateness import LateCommand, Lateness, Permit, shift_times
from .network import WALL_CLOCK_START_S
from .step_documents import WORKERS_PREFIX
from .step_store import POLL_INTERVAL_S, StepStore

if TYPE_CHECKING:
    import random

    from .step_entry import StepEntry

LEASE_S = 6.0
# How long the advisor takes for an answer.
ADVICE_S = 0.5
# How long a worker needs to stop a run, which uses its room meanwhile.
STOP_S = 0.2
# How late a command is that a worker leaves unanswered and carries out all the same.
LATE_S = 3.0
# How soon a deadly task crashes its worker, when the worker is back, and when the
# directory drops the record of a worker that does not check in.
DEADLY_AFTER_S = 0.01
RESTART_S = 3.0
RECORD_LIFETIME_S = 4.5
CAPACITY = Resources(16000, 65536, 0)


@dataclass(frozen=True)
class _WorkerCall:
    """A command on its way to a worker; times are monotonic seconds."""

    entry: StepEntry
    request: Request
    worker: TaskWorkerState
    waits_until: float
    times_out_at: float


class StepWorkers(StepStore):
    """Performs the calls to workers and to the advisor; tests set what goes wrong.

    :param rng: chooses the answers that are lost and the commands that are late.
    :param max_lease_s: longest lease that the workers grant, in seconds.
    """

    def __init__(self, rng: random.Random, max_lease_s: float = LEASE_S) -> None:
        super().__init__(rng)
        self.max_lease_s = max_lease_s
        self.worker_by_id: dict[str, TaskWorkerState] = {}
        self.worker_by_address: dict[str, TaskWorkerState] = {}
        self.address_by_worker_id: dict[str, str] = {}
        # Of incarnations, by worker and ``born``, that have another than ``CAPACITY``.
        self.capacity_by_incarnation: dict[tuple[str, int], Resources] = {}
        # Incarnations, by worker and ``born``, that began while nobody reached them.
        self.incarnations_behind_cuts: set[tuple[str, int]] = set()
        # Workers that no entry can reach; their tasks run on until the lease ends.
        self.dead_workers: set[str] = set()
        # Workers that leave a start unanswered and execute it ``late_s`` later.
        self.late_s = LATE_S
        self.late_commands: list[LateCommand] = []
        self.late_workers: set[str] = set()
        self.late_start_probability = 0.0
        # Workers that do so with half of the starts and syncs.
        self.partly_late_workers: set[str] = set()
        # Workers that do so with commands of any kind, each by a drawn delay.
        self.lateness_by_worker: dict[str, Lateness] = {}
        # Whether the times in late commands are shifted by as much as these are late.
        self.late_times_count_from_arrival = False
        # Workers on which every task fails.
        self.failing_workers: set[str] = set()
        # Workers whose process does not run: connections to them are refused.
        self.crashed_workers: set[str] = set()
        # Whether a worker has another id after a crash, at the same address.
        self.crash_changes_id = True
        self.crashes: list[tuple[float, str]] = []
        # How many of the next direct calls to the advisor fail.
        self.advice_failures = 0
        # Workers for which the advisor gives no permit.
        self.forbidden_workers: set[str] = set()
        self.permit_valid_s = 2.0
        self.advice_s = ADVICE_S
        self.permit_by_text: dict[str, Permit] = {}
        self.refused_permits = 0

    def add_worker(
        self,
        worker_id: str,
        draining: bool = False,
        address: str = "",
        capacity: Resources = CAPACITY,
        data_centre: str = "a",
    ) -> None:
        """List a worker, and start it if it does not run yet."""
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            worker = TaskWorkerState(
                worker_id, self.max_lease_s, self.clock.mono, WALL_CLOCK_START_S
            )
            worker.stop_s = STOP_S
            self.worker_by_id[worker_id] = worker
            self.address_by_worker_id[worker_id] = address or worker_id
        self.worker_by_address[self.address_by_worker_id[worker_id]] = worker
        document = {
            "id": worker_id,
            "service": "service",
            "address": self.address_by_worker_id[worker_id],
            "data_centre": data_centre,
            "capacity": list(capacity[:3]),
            "labels": ["kind", "rack"],
            "rack": "rack",
            "born": worker.born,
            "draining": draining,
        }
        self.put(WORKERS_PREFIX + worker_id, json.dumps(document))

    def record_of(self, worker_id: str) -> tuple[str, str]:
        """Return key and value of a worker's record in the directory."""
        key = WORKERS_PREFIX + worker_id
        return key, self.store.key_value_by_key[key].value

    def capacity_of(self, worker_id: str, born: int) -> Resources:
        """Return the capacity of an incarnation of a worker."""
        return self.capacity_by_incarnation.get((worker_id, born), CAPACITY)

    def restart_worker(
        self, worker_id: str, capacity: Resources = CAPACITY
    ) -> TaskWorkerState:
        """Begin an incarnation of a worker, which the directory does not list yet."""
        worker = self.worker_by_id[worker_id]
        worker.restart(self.clock.mono)
        self.capacity_by_incarnation[worker_id, worker.born] = capacity
        if worker_id in self.dead_workers:
            self.incarnations_behind_cuts.add((worker_id, worker.born))
        return worker

    def crash_worker(self, worker_id: str) -> None:
        """End a worker's process with all runs; it is back after some seconds."""
        if worker_id in self.crashed_workers:
            return
        self.crashes.append((self.clock.mono, worker_id))
        self.crashed_workers.add(worker_id)
        self.worker_by_id[worker_id].restart(self.clock.mono)
        self.clock.after(RESTART_S, lambda: self._restart_worker(worker_id))

    def _restart_worker(self, worker_id: str) -> None:
        if not self.crash_changes_id:
            self.crashed_workers.discard(worker_id)
            self.worker_by_id[worker_id].restart(self.clock.mono)
            self.add_worker(worker_id)
            return
        key = WORKERS_PREFIX + worker_id
        self.clock.after(RECORD_LIFETIME_S - RESTART_S, lambda: self.delete(key))
        address = self.address_by_worker_id[worker_id]
        self.add_worker(f"{worker_id}+", address=address)

    def executions(self, job_id: str) -> list:
        """Return all runs of a job on any worker."""
        return [
            execution
            for worker in self.worker_by_id.values()
            for execution in worker.executions
            if execution.ref.job_id == job_id
        ]

    def _call_worker(self, entry: StepEntry, request: Request) -> None:
        command = request.operation
        if isinstance(command, AskAdvice):
            self._call_advisor(entry, request)
            return
        now = self.clock.mono
        call = _WorkerCall(
            entry,
            request,
            self.worker_by_address[command.to.address],
            waits_until=now + getattr(command, "wait_s", 0.0),
            times_out_at=now + request.timeout_s,
        )
        self.clock.after(0.001, lambda: self._carry_out(call))

    def _call_advisor(self, entry: StepEntry, request: Request) -> None:
        if self.advice_failures:
            self.advice_failures -= 1
            failed = CallFailed(Ran.NO, "the advisor is busy")
            self.clock.after(0.1, lambda: self._reply(entry, request, failed))
            return
        advice = self._advice(request.operation)
        self.clock.after(self.advice_s, lambda: self._reply(entry, request, advice))

    def _carry_out(self, call: _WorkerCall) -> None:
        """Let a worker carry out a command that has arrived."""
        worker, command = call.worker, call.request.operation
        if self._is_cut(call.entry, worker.id):
            self._let_time_out(call)
            return
        if worker.id in self.crashed_workers:
            refused = CallFailed(Ran.NO, "connection refused", closed=True)
            self._reply(call.entry, call.request, refused)
            return
        late_s = self._delay_of(worker.id, command)
        if late_s is not None:
            self._execute_late(call.entry, call.request, worker, late_s)
            return
        if worker.id in self.failing_workers and isinstance(command, StartTask):
            command = replace(command, payload="fail " + command.payload)
        result = self._apply(worker, command)
        if isinstance(result, CommandRefused) and result.reason is Refusal.PERMIT:
            self._reply(call.entry, call.request, result)
            return
        if isinstance(command, StartTask) and "deadly" in command.payload:
            self.clock.after(DEADLY_AFTER_S, lambda: self.crash_worker(worker.id))
        if isinstance(command, SyncWorker) and self.clock.mono < call.waits_until:
            self._answer_long_poll(call, worker.born)
            return
        self._reply_soon(call, result)

    def _answer_long_poll(self, call: _WorkerCall, born: int) -> None:
        """Answer once a run has ended or the wait is over.

        A restart of the worker resets the connection.
        """
        worker = call.worker
        if worker.born != born or worker.id in self.crashed_workers:
            reason = "the connection was reset"
            failed = CallFailed(Ran.MAYBE, reason, closed=True)
            self._reply(call.entry, call.request, failed)
            return
        if self._is_cut(call.entry, worker.id):
            self._let_time_out(call)
            return
        worker.advance(self.clock.mono)
        if self.clock.mono < call.waits_until and not worker.has_ends():
            self.clock.after(
                POLL_INTERVAL_S, lambda: self._answer_long_poll(call, born)
            )
            return
        command = call.request.operation
        unacknowledged = replace(command, acknowledged=0, lease_until_ms=None)
        self._reply_soon(call, worker.apply(unacknowledged, self.clock.mono))

    def _reply_soon(self, call: _WorkerCall, result: Any) -> None:
        self.clock.after(0.001, lambda: self._reply(call.entry, call.request, result))

    def _let_time_out(self, call: _WorkerCall) -> None:
        failed = CallFailed(Ran.MAYBE, "no answer")
        self.clock.at(
            call.times_out_at, lambda: self._reply(call.entry, call.request, failed)
        )

    def _apply(self, worker: TaskWorkerState, command: Any) -> Any:
        """Let a worker carry out a command, unless it does not accept its permit."""
        if self._refuses_permit(worker, command):
            self.refused_permits += 1
            return CommandRefused(Refusal.PERMIT, worker.clock_ms(self.clock.mono))
        return worker.apply(command, self.clock.mono)

    def _execute_late(
        self,
        entry: StepEntry,
        request: Request,
        worker: TaskWorkerState,
        late_s: float,
    ) -> None:
        """Leave a command unanswered and execute it some seconds later.

        It outlives the incarnation of the worker that it was sent to.
        """
        failed = CallFailed(Ran.MAYBE, "no answer")
        self.clock.after(request.timeout_s, lambda: self._reply(entry, request, failed))
        command = request.operation
        if self.late_times_count_from_arrival:
            command = shift_times(command, late_s)
        born = worker.born

        def perform() -> None:
            if worker.id in self.crashed_workers:
                return
            worker.advance(self.clock.mono)
            lease_until_ms = worker._lease_until_ms
            runs_before = len(worker.executions)
            result = self._apply(worker, command)
            is_longer = worker._lease_until_ms > lease_until_ms
            late = LateCommand(
                command,
                worker.id,
                born,
                worker.born,
                result,
                was_cut_off=worker.id in self.dead_workers,
                began_run=len(worker.executions) > runs_before,
                kept_runs=is_longer and bool(worker._running_by_ref),
            )
            self.late_commands.append(late)

        self.clock.after(late_s, perform)

    def _delay_of(self, worker_id: str, command: object) -> float | None:
        """Return how late a worker executes a command, ``None`` if it does at once."""
        lateness = self.lateness_by_worker.get(worker_id)
        if lateness is not None and not lateness.is_spared(command):
            if self.random.random() >= lateness.share:
                return None
            return self.random.uniform(lateness.min_s, lateness.max_s)
        return self.late_s if self._delays(worker_id, command) else None

    def _delays(self, worker_id: str, command: object) -> bool:
        is_start = isinstance(command, StartTask)
        if worker_id in self.partly_late_workers:
            is_late = is_start or isinstance(command, SyncWorker)
            return is_late and self.random.random() < 0.5
        if not is_start:
            return False
        is_drawn = self.random.random() < self.late_start_probability
        return is_drawn or worker_id in self.late_workers

    def _is_cut(self, entry: StepEntry, worker_id: str) -> bool:
        return worker_id in self.dead_workers or worker_id in entry.unreachable_workers

    def _advice(self, request: AskAdvice) -> Advice:
        step_id = (request.job_id, request.occurrence, request.step)
        expires_at = self.clock.mono + self.permit_valid_s
        text_by_worker_id = {}
        for worker_id in request.worker_ids:
            worker = self.worker_by_id.get(worker_id)
            if worker is None or worker_id in self.forbidden_workers:
                continue
            text = f"permit-{len(self.permit_by_text)}"
            permit = Permit(step_id, worker_id, worker.born, expires_at)
            self.permit_by_text[text] = permit
            text_by_worker_id[worker_id] = text
        return Advice(text_by_worker_id, self.permit_valid_s)

    def _refuses_permit(self, worker: TaskWorkerState, command: Any) -> bool:
        """Return whether a start has a permit that its worker does not accept now."""
        if not isinstance(command, StartTask) or not command.permit:
            return False
        permit = self.permit_by_text[command.permit]
        key = command.ref.key
        step_id = (command.ref.job_id, key.occurrence, key.step)
        allowed = (permit.step, permit.worker_id, permit.born)
        is_other = allowed != (step_id, worker.id, worker.born)
        return is_other or permit.expires_at < self.clock.mono

    def _reply(self, entry: StepEntry, request: Request, result: Any) -> None:
        role = request.reply_to
        entry.mailbox.append((role, Reply(request.request_id, result)))
