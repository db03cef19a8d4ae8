"""A simulated cell for jobs with steps: real roles in one thread over fakes."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from lagoonpulley.intake.messages import CancelJob, SubmitJob
from lagoonpulley.intake.readiness import EntryReadiness
from lagoonpulley.intake.role import IntakeRole
from lagoonpulley.model.resources import Resources
from lagoonpulley.model.verdict import Ran
from lagoonpulley.owner.advisor_role import AdvisorRole
from lagoonpulley.owner.entries import EntryCapacity, EntryDocument
from lagoonpulley.owner.role import OwnerRole
from lagoonpulley.owner.session import SessionRole
from lagoonpulley.owner.settings import OwnerSettings, ShareSettings
from lagoonpulley.peers.calls import AdviceAnswer, PeerCall
from lagoonpulley.peers.on_demand import PreparePeers
from lagoonpulley.peers.service import METHOD_BY_REQUEST
from lagoonpulley.peers.store_relay import StoreRelayRole
from lagoonpulley.policy.role import PolicyRole
from lagoonpulley.runtime.role import (
    PEERS,
    STORE,
    UPSTREAM,
    WAKE,
    CallFailed,
    Reply,
    Request,
    Tick,
)
from lagoonpulley.standin.task_worker import TaskWorkerState
from lagoonpulley.store.health import StoreHealthTracker
from lagoonpulley.store.messages import Transaction, Write
from lagoonpulley.store.route import StoreRoute
from lagoonpulley.upstream.tasks import (
    Advice,
    AskAdvice,
    CommandRefused,
    Refusal,
    StartTask,
    SyncWorker,
)
from lagoonpulley.workload.documents import JobKeys, decode_final
from lagoonpulley.workload.spec import JobSpec, StepSpec

from .lateness import LateCommand, Lateness, Permit, shift_times
from .network import WALL_CLOCK_START_S
from .step_documents import (
    POLICY_KEY,
    WORKERS_PREFIX,
    JsonDirectory,
    JsonPolicy,
    KeyDrains,
)
from .step_entry import StepEntry
from .step_store import POLL_INTERVAL_S, StepStore

TICK_S = 0.2
MAX_POLICY_AGE_S = 1.5
LEASE_S = 6.0
# How long the advisor takes for an answer.
ADVICE_S = 0.5
RETENTION_S = 120.0
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
STRONG = EntryCapacity(processors_milli=2000, link_mbps=200.0)
WEAK = EntryCapacity(processors_milli=500, link_mbps=10.0)


class StepWorld(StepStore):
    """Entries, workers and the store of a small simulated cell.

    The capacity of an entry that is not in ``capacity_by_name`` is unknown.

    :param max_lease_s: longest lease that the workers grant, in seconds.
    """

    def __init__(
        self,
        entries: int = 2,
        workers: int = 3,
        seed: int = 1,
        shares: ShareSettings | None = None,
        max_lease_s: float = LEASE_S,
    ) -> None:
        super().__init__(random.Random(seed))
        self.shares = shares
        self.max_lease_s = max_lease_s
        # How long the entries that are started from now on keep final states.
        self.retention_s = RETENTION_S
        self.incarnation_count = 0
        self.request_count = 0
        self.last_spec: JobSpec | None = None
        self.peer_call_by_id: dict[str, tuple[StepEntry, Request]] = {}
        self.outcome_by_request_id: dict[str, Any] = {}
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
        self.silent_starts: set[str] = set()
        self.entry_by_name: dict[str, StepEntry] = {}
        self.name_by_peer_address: dict[str, str] = {}
        self.capacity_by_name: dict[str, EntryCapacity] = {}
        # How many of the next direct calls to the advisor fail.
        self.advice_failures = 0
        # Workers for which the advisor gives no permit.
        self.forbidden_workers: set[str] = set()
        self.permit_valid_s = 2.0
        self.advice_s = ADVICE_S
        self.permit_by_text: dict[str, Permit] = {}
        self.refused_permits = 0
        self.set_policy(1)
        for number in range(workers):
            self.add_worker(f"w{number}")
        for number in range(entries):
            self.start_entry(f"e{number}")

    def set_policy(self, version, queues=None, teams=None, size=0) -> None:
        """Write a version of the policy to the store.

        :param size: number of characters that pad the document.
        """
        document = {
            "version": version,
            "queues": queues or {"reviews": {"max_attempts": 2, "target_s": 1.0}},
            "teams": teams or {"north": [0, 0, 0]},
            "padding": " " * size,
        }
        self.put(POLICY_KEY, json.dumps(document))

    def put(self, key: str, value: str) -> None:
        """Write a key to the store."""
        change = Transaction(puts=(Write(key, value),))
        self.store.apply(change, self.clock.mono)

    def delete(self, key: str) -> None:
        """Delete a key of the store."""
        self.store.apply(Transaction(deletes=(key,)), self.clock.mono)

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
        record = Transaction(deletes=(WORKERS_PREFIX + worker_id,))
        self.clock.after(
            RECORD_LIFETIME_S - RESTART_S,
            lambda: self.store.apply(record, self.clock.mono),
        )
        address = self.address_by_worker_id[worker_id]
        self.add_worker(f"{worker_id}+", address=address)

    def _peer_address_of(self, name: str) -> str:
        """Return the address of an entry, which it keeps when it starts again."""
        for address, known in self.name_by_peer_address.items():
            if known == name:
                return address
        address = f"10.0.0.1:{len(self.name_by_peer_address) + 1}"
        self.name_by_peer_address[address] = name
        return address

    def start_entry(self, name: str) -> StepEntry:
        """Start a new process of an entry."""
        self.incarnation_count += 1
        document = EntryDocument(
            name=name,
            life=str(self.incarnation_count),
            peer_address=self._peer_address_of(name),
            data_centre="a",
            capacity=self.capacity_by_name.get(name),
            writes_status=True,
        )
        settings = OwnerSettings(
            name,
            self.max_lease_s,
            retention_s=self.retention_s,
            capacity=document.capacity,
            shares=self.shares,
        )
        store_health = StoreHealthTracker(lambda: self.clock.now)
        rng = random.Random(self.incarnation_count)
        roles = (
            StoreRelayRole(name, store_health, rng),
            PolicyRole(JsonPolicy(), ("owner", "standing"), ("standing",)),
            SessionRole(document, "owner", rng),
            IntakeRole(store_health, rng),
            AdvisorRole(),
            OwnerRole(settings, JsonDirectory(), store_health, drains=KeyDrains()),
        )
        role_by_name = {role.name: role for role in roles}
        entry = StepEntry(
            name,
            role_by_name,
            store_health,
            StoreRoute(store_health),
            EntryReadiness(store_health, lambda: self.clock.now, MAX_POLICY_AGE_S),
        )
        self.entry_by_name[name] = entry
        self._tick(entry)
        return entry

    def kill(self, entry: StepEntry) -> None:
        """End the process of an entry without warning."""
        entry.alive = False

    def owner(self) -> StepEntry:
        """Return a live entry that holds the ownership.

        :raises AssertionError: if there is none.
        """
        for entry in self.entry_by_name.values():
            if entry.alive and entry.owner._term is not None:
                return entry
        raise AssertionError("no entry is the owner")

    def run(self, seconds: float) -> None:
        """Let time pass and deliver all messages."""
        self.clock.advance(seconds, self._deliver_all)

    def run_until(self, condition, within_s: float) -> float:
        """Let time pass until a condition holds, and return how many seconds passed.

        :raises AssertionError: if it does not hold within the given time.
        """
        started_at = self.clock.mono
        while not condition():
            assert self.clock.mono - started_at < within_s, "not within the time"
            self.run(0.05)
        return self.clock.mono - started_at

    def submit(self, job_id: str, *steps: StepSpec, payload="seconds=1", **more):
        """Submit a job through an entry with access to the store.

        Returns the outcome of the intake role.

        :param steps: one step of one task if left out.
        :param more: further fields of the job specification.
        """
        spec = JobSpec(
            id=job_id,
            queue=more.pop("queue", "reviews"),
            team=more.pop("team", "north"),
            payload=payload,
            steps=steps or (step(),),
            submitted_at=self.clock.now.wall,
            **more,
        )
        self.last_spec = spec
        revision = self.store.key_value_by_key[POLICY_KEY].revision
        entry = next(e for e in self.entry_by_name.values() if e.alive and e.has_store)
        return self.call_intake(entry, SubmitJob(spec, revision))

    def send_submission(self, entry: StepEntry, job_id: str) -> None:
        """Send a submission under the entry's policy, without waiting for its outcome.

        As for callers, nothing is sent while the entry would refuse it.
        """
        policy = entry.readiness.current_policy()
        if policy is None:
            return
        now = self.clock.now.wall
        spec = JobSpec(job_id, "reviews", "north", "seconds=1", (step(),), now)
        operation = SubmitJob(spec, policy.revision)
        self.request_count += 1
        request = Request(f"test:{self.request_count}", "test", operation, 3.0)
        entry.mailbox.append(("intake", request))

    def cancel(self, job_id: str, team: str = "north"):
        """Cancel a job through an entry with access to the store."""
        entry = next(e for e in self.entry_by_name.values() if e.alive and e.has_store)
        return self.call_intake(entry, CancelJob(job_id, team))

    def call_intake(
        self, entry: StepEntry, operation: Any, within_s: float = 5.0
    ) -> Any:
        """Send a request to the intake role of an entry, and return its outcome."""
        self.request_count += 1
        request_id = f"test:{self.request_count}"
        request = Request(request_id, "test", operation, 3.0)
        entry.mailbox.append(("intake", request))
        self._deliver_all()
        self.run_until(lambda: request_id in self.outcome_by_request_id, within_s)
        return self.outcome_by_request_id.pop(request_id)

    def final_state(self, job_id: str) -> str | None:
        """Return the stored terminal state of a job, if it has one."""
        entry = self.store.key_value_by_key.get(JobKeys(job_id).final)
        return decode_final(entry.value).ok.state.value if entry else None

    def hold_commits(self) -> Callable[[], None]:
        """Hold the commits of the present owner; return what sends them after all."""
        owner = self.owner().owner
        send = owner._send_commit
        held = []

        def hold(term, transaction):
            held.append((term, transaction))
            yield from ()

        def release() -> None:
            owner._send_commit = send
            for term, transaction in held:
                owner.start(send(term, transaction))

        owner._send_commit = hold
        return release

    def executions(self, job_id: str) -> list:
        """Return all runs of a job on any worker."""
        return [
            execution
            for worker in self.worker_by_id.values()
            for execution in worker.executions
            if execution.ref.job_id == job_id
        ]

    def _tick(self, entry: StepEntry) -> None:
        if not entry.alive:
            return
        for name in entry.roles:
            entry.mailbox.append((name, Tick()))
        self.clock.after(TICK_S, lambda: self._tick(entry))

    def _deliver_all(self) -> None:
        busy = True
        while busy:
            busy = False
            for entry in list(self.entry_by_name.values()):
                while entry.mailbox and entry.alive:
                    busy = True
                    self._deliver(entry, *entry.mailbox.popleft())

    def _deliver(self, entry: StepEntry, to: str, message: Any) -> None:
        for send in entry.roles[to].handle(message, self.clock.now):
            self._route(entry, send.to, send.message)

    def _route(self, entry: StepEntry, to: str, message: Any) -> None:
        if to in entry.roles:
            entry.mailbox.append((to, message))
        elif to == STORE:
            self._call_store(entry, message)
        elif to == UPSTREAM:
            self._call_worker(entry, message)
        elif to == PEERS and isinstance(message, Reply):
            self._answer_peer(message)
        elif to == PEERS:
            self._call_peer(entry, message)
        elif to == WAKE:
            role = message.role
            self.clock.after(
                message.delay_s, lambda: entry.mailbox.append((role, Tick()))
            )
        elif to == "standing":
            entry.readiness.submit(message)
        elif to == "test":
            self.outcome_by_request_id[message.request_id] = message.result

    def _reply(self, entry: StepEntry, request: Request, result: Any) -> None:
        role = request.reply_to
        entry.mailbox.append((role, Reply(request.request_id, result)))

    def _call_worker(self, entry: StepEntry, request: Request) -> None:
        command = request.operation
        if isinstance(command, AskAdvice) and self.advice_failures:
            self.advice_failures -= 1
            failed = CallFailed(Ran.NO, "the advisor is busy")
            self.clock.after(0.1, lambda: self._reply(entry, request, failed))
            return
        if isinstance(command, AskAdvice):
            advice = self._advice(command)
            self.clock.after(self.advice_s, lambda: self._reply(entry, request, advice))
            return
        worker = self.worker_by_address[command.to.address]
        worker_id = worker.id
        until = self.clock.mono + getattr(command, "wait_s", 0.0)
        times_out_at = self.clock.mono + request.timeout_s

        def answer_long_poll(born: int) -> None:
            """Answer once a run has ended or the wait is over.

            A restart of the worker resets the connection.
            """
            if worker.born != born or worker_id in self.crashed_workers:
                reason = "the connection was reset"
                failed = CallFailed(Ran.MAYBE, reason, closed=True)
                self._reply(entry, request, failed)
                return
            if self._is_cut(entry, worker_id):
                failed = CallFailed(Ran.MAYBE, "no answer")
                self.clock.at(times_out_at, lambda: self._reply(entry, request, failed))
                return
            worker.advance(self.clock.mono)
            if self.clock.mono < until and not worker.has_ends():
                self.clock.after(POLL_INTERVAL_S, lambda: answer_long_poll(born))
                return
            unacknowledged = replace(command, acknowledged=0, lease_until_ms=None)
            result = worker.apply(unacknowledged, self.clock.mono)
            self.clock.after(0.001, lambda: self._reply(entry, request, result))

        def perform() -> None:
            nonlocal command
            if self._is_cut(entry, worker_id):
                failed = CallFailed(Ran.MAYBE, "no answer")
                self.clock.at(times_out_at, lambda: self._reply(entry, request, failed))
                return
            if worker_id in self.crashed_workers:
                refused = CallFailed(Ran.NO, "connection refused", closed=True)
                self._reply(entry, request, refused)
                return
            late_s = self._delay_of(worker_id, command)
            if late_s is not None:
                self._execute_late(entry, request, worker, late_s)
                return
            if worker_id in self.failing_workers and isinstance(command, StartTask):
                command = replace(command, payload="fail " + command.payload)
            result = self._apply(worker, command)
            if isinstance(result, CommandRefused) and result.reason is Refusal.PERMIT:
                self._reply(entry, request, result)
                return
            if isinstance(command, StartTask) and "deadly" in command.payload:
                self.clock.after(DEADLY_AFTER_S, lambda: self.crash_worker(worker_id))
            if isinstance(command, SyncWorker) and self.clock.mono < until:
                answer_long_poll(worker.born)
                return
            self.clock.after(0.001, lambda: self._reply(entry, request, result))

        self.clock.after(0.001, perform)

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

    def _call_entry(self, entry: StepEntry, request: Request) -> None:
        """Deliver a message to another entry, and its answer to the sender."""
        call: PeerCall = request.operation
        other = self.entry_by_name[self.name_by_peer_address[call.address]]
        if not entry.has_peers or not other.has_peers:
            failed = CallFailed(Ran.MAYBE, "no answer")
            self.clock.after(
                request.timeout_s, lambda: self._reply(entry, request, failed)
            )
            return
        if not other.alive:
            failed = CallFailed(Ran.NO, "connection refused")
            self.clock.after(0.002, lambda: self._reply(entry, request, failed))
            return
        self.request_count += 1
        request_id = f"peer:{self.request_count}"
        self.peer_call_by_id[request_id] = (entry, request)
        role = METHOD_BY_REQUEST[type(call.message)].role
        forwarded = Request(request_id, PEERS, call.message, request.timeout_s)
        # The other entry may stop before it answers. The role ignores the later reply.
        timed_out = CallFailed(Ran.MAYBE, "no answer")
        self.clock.after(
            request.timeout_s, lambda: self._reply(entry, request, timed_out)
        )
        self.clock.after(0.001, lambda: other.mailbox.append((role, forwarded)))

    def _answer_peer(self, reply: Reply) -> None:
        entry, request = self.peer_call_by_id.pop(reply.request_id)
        self.clock.after(0.001, lambda: self._reply(entry, request, reply.result))

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

    def _call_peer(self, entry: StepEntry, request: Request) -> None:
        if isinstance(request, PreparePeers):
            return
        call: PeerCall = request.operation
        if not isinstance(call.message, AskAdvice):
            self._call_entry(entry, request)
            return
        operation = AskAdvice(*[getattr(call.message, f) for f in _ADVICE_FIELDS])
        answer = AdviceAnswer(self._advice(operation))
        self.clock.after(self.advice_s, lambda: self._reply(entry, request, answer))


_ADVICE_FIELDS = ("job_id", "occurrence", "step", "worker_ids")


def step(count: int = 1, processors: int = 1000, **more: Any) -> StepSpec:
    """Return a step whose tasks need 512 MB and an estimated second each.

    :param processors: what each task needs, in thousandths of a processor.
    """
    return StepSpec(count, Resources(processors, 512), 1.0, **more)
