"""A cell of step jobs in one thread: real roles of entries over fakes."""

from __future__ import annotations

import json
import random
from collections import deque
from dataclasses import dataclass, field, replace
from typing import Any

from expression import Ok

from lagoonpulley.intake.messages import CancelJob, SubmitJob
from lagoonpulley.intake.role import IntakeRole
from lagoonpulley.model.resources import Resources
from lagoonpulley.model.verdict import Ran
from lagoonpulley.owner.advisor_role import AdvisorRole
from lagoonpulley.owner.entries import EntryDocument
from lagoonpulley.owner.role import OwnerRole
from lagoonpulley.owner.session import SessionRole
from lagoonpulley.owner.settings import OwnerSettings
from lagoonpulley.peers.messages import AdviceAnswer, PeerCall
from lagoonpulley.peers.service import METHOD_BY_REQUEST
from lagoonpulley.peers.store_relay import StoreRelayRole
from lagoonpulley.policy.role import PolicyRole
from lagoonpulley.policy.values import AdvicePolicy, Policy, Queue, Service, TeamLimits
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
from lagoonpulley.standin.store import StoreState
from lagoonpulley.standin.task_worker import TaskWorkerState
from lagoonpulley.store.health import StoreHealthTracker
from lagoonpulley.store.messages import Transaction, WatchPrefix, Write
from lagoonpulley.store.route import STORE_RELAY, RelayCall, StoreRoute
from lagoonpulley.upstream.directory import WorkerInfo
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

from .network import Clock

TICK_S = 0.2
POLL_S = 0.02
LEASE_S = 6.0
CAPACITY = Resources(16000, 65536, 0)
POLICY_KEY = "test/policy"
WORKERS_PREFIX = "test/workers/"


class JsonPolicy:
    """Decodes the little policy document that the tests write."""

    key = POLICY_KEY

    def decode(self, entry):
        values = json.loads(entry.value)
        queues = {name: _queue(name, f) for name, f in values["queues"].items()}
        teams = {
            name: TeamLimits(name, 1.0, Resources(*limit))
            for name, limit in values["teams"].items()
        }
        return Ok(
            Policy(
                version=values["version"],
                key=entry.key,
                revision=entry.revision,
                queue_by_name=queues,
                service_by_name={"service": Service("service")},
                team_by_name=teams,
                team_by_api_key={name: name for name in teams},
            )
        )


def _queue(name: str, fields: dict) -> Queue:
    fields = dict(fields)
    if "advice" in fields:
        fields["advice"] = AdvicePolicy(*fields["advice"])
    return Queue(name, "", f"/{name}/", "service", **fields)


class JsonDirectory:
    """Decodes the worker entries that the tests write."""

    prefix = WORKERS_PREFIX

    def decode(self, entry):
        values = json.loads(entry.value)
        values["capacity"] = Resources(*values["capacity"])
        values["labels"] = tuple(values["labels"])
        return Ok(WorkerInfo(**values))


@dataclass(eq=False)
class StepEntry:
    """One entry: its roles, its mailbox and whether it runs."""

    name: str
    roles: dict[str, Any]
    store_health: StoreHealthTracker
    route: StoreRoute
    mailbox: deque = field(default_factory=deque)
    alive: bool = True
    has_store: bool = True
    has_peers: bool = True
    unreachable_workers: set[str] = field(default_factory=set)

    @property
    def owner(self) -> OwnerRole:
        return self.roles["owner"]


class StepWorld:
    """Entries, workers and the store of a small cell."""

    def __init__(self, entries: int = 2, workers: int = 3, seed: int = 1) -> None:
        self.clock = Clock()
        self.random = random.Random(seed)
        self.store = StoreState()
        self.store_up = True
        self.lose_answers = 0.0
        self.watches_hear = True
        self.life = 0
        self.request_count = 0
        self.last_spec: JobSpec | None = None
        self.peer_call_by_id: dict[str, tuple[StepEntry, Request]] = {}
        self.outcome_by_request_id: dict[str, Any] = {}
        self.worker_by_id: dict[str, TaskWorkerState] = {}
        self.dead_workers: set[str] = set()
        self.late_workers: set[str] = set()
        self.late_share = 0.0
        self.failing_workers: set[str] = set()
        self.silent_starts: set[str] = set()
        self.entry_by_name: dict[str, StepEntry] = {}
        self.advice_failures = 0
        self.forbidden_workers: set[str] = set()
        self.permit_valid_s = 2.0
        self.permit_until: dict[tuple[str, str], float] = {}
        self.refused_permits = 0
        self.set_policy(1)
        for number in range(workers):
            self.add_worker(f"w{number}")
        for number in range(entries):
            self.start_entry(f"e{number}")

    # What tests do.

    def set_policy(self, version, queues=None, teams=None) -> None:
        document = {
            "version": version,
            "queues": queues or {"reviews": {"max_attempts": 2, "target_s": 1.0}},
            "teams": teams or {"north": [0, 0, 0]},
        }
        self.put(POLICY_KEY, json.dumps(document))

    def put(self, key: str, value: str) -> None:
        change = Transaction(puts=(Write(key, value),))
        self.store.apply(change, self.clock.mono)

    def add_worker(self, worker_id: str, draining: bool = False) -> None:
        worker = self.worker_by_id.get(worker_id)
        if worker is None:
            worker = TaskWorkerState(worker_id, LEASE_S, self.clock.mono)
            self.worker_by_id[worker_id] = worker
        entry = {
            "id": worker_id,
            "service": "service",
            "address": worker_id,
            "data_centre": "a",
            "capacity": list(CAPACITY[:3]),
            "labels": ["kind", "rack"],
            "rack": "rack",
            "born": worker.born,
            "draining": draining,
        }
        self.put(WORKERS_PREFIX + worker_id, json.dumps(entry))

    def start_entry(self, name: str) -> StepEntry:
        self.life += 1
        document = EntryDocument(
            name=name, life=str(self.life), peer_address=name, data_centre="a"
        )
        store_health = StoreHealthTracker(lambda: self.clock.now)
        rng = random.Random(self.life)
        roles = (
            StoreRelayRole(name, store_health, rng),
            PolicyRole(JsonPolicy(), ("owner", "standing")),
            SessionRole(document, "owner", rng),
            IntakeRole(store_health),
            AdvisorRole(),
            OwnerRole(OwnerSettings(name, LEASE_S), JsonDirectory(), store_health),
        )
        role_by_name = {role.name: role for role in roles}
        entry = StepEntry(name, role_by_name, store_health, StoreRoute(store_health))
        self.entry_by_name[name] = entry
        self._tick(entry)
        return entry

    def kill(self, entry: StepEntry) -> None:
        entry.alive = False

    def owner(self) -> StepEntry:
        for entry in self.entry_by_name.values():
            if entry.alive and entry.owner._term is not None:
                return entry
        raise AssertionError("no entry is the owner")

    def run(self, seconds: float) -> None:
        self.clock.advance(seconds, self._deliver_all)

    def run_until(self, condition, within_s: float) -> float:
        began = self.clock.mono
        while not condition():
            assert self.clock.mono - began < within_s, "not within the time"
            self.run(0.05)
        return self.clock.mono - began

    def submit(self, job_id: str, *steps: StepSpec, payload="seconds=1", **more):
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
        return self.ask(entry, SubmitJob(spec, POLICY_KEY, revision))

    def cancel(self, job_id: str, team: str = "north"):
        entry = next(e for e in self.entry_by_name.values() if e.alive and e.has_store)
        return self.ask(entry, CancelJob(job_id, team))

    def ask(self, entry: StepEntry, operation: Any, within_s: float = 5.0) -> Any:
        self.request_count += 1
        request_id = f"test:{self.request_count}"
        request = Request(request_id, "test", operation, 3.0)
        entry.mailbox.append(("intake", request))
        self._deliver_all()
        self.run_until(lambda: request_id in self.outcome_by_request_id, within_s)
        return self.outcome_by_request_id.pop(request_id)

    def final_state(self, job_id: str) -> str | None:
        entry = self.store.key_value_by_key.get(JobKeys(job_id).final)
        return decode_final(entry.value).ok.state.value if entry else None

    def executions(self, job_id: str) -> list:
        return [
            execution
            for worker in self.worker_by_id.values()
            for execution in worker.executions
            if execution.ref.job_id == job_id
        ]

    # How messages travel.

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
        elif to == "test":
            self.outcome_by_request_id[message.request_id] = message.result

    def _reply(self, entry: StepEntry, request: Request, result: Any) -> None:
        role = request.reply_to
        entry.mailbox.append((role, Reply(request.request_id, result)))

    def _reply_store(self, entry: StepEntry, request: Request, result: Any) -> None:
        entry.mailbox.append(entry.route.route_result(request, result))

    def _call_store(self, entry: StepEntry, request: Request) -> None:
        if not entry.route.should_call_directly(request):
            entry.mailbox.append((STORE_RELAY, RelayCall(request)))
            return
        if not entry.has_store or not self.store_up:
            failed = CallFailed(Ran.NO, "the store is away")
            self.clock.after(0.005, lambda: self._reply_store(entry, request, failed))
            return
        until = self.clock.mono + getattr(request.operation, "wait_s", 0.0)
        lost = self.random.random() < self.lose_answers

        def perform() -> None:
            result = self.store.apply(request.operation, self.clock.mono)
            waits = isinstance(request.operation, WatchPrefix)
            if waits and not self.watches_hear:
                result = replace(result, entries=(), revision=request.operation.after)
            waits = waits and result.ok and not result.entries
            if waits and self.clock.mono < until:
                self.clock.after(POLL_S, perform)
                return
            if not lost:
                self.clock.after(
                    0.002, lambda: self._reply_store(entry, request, result)
                )

        if lost:
            failed = CallFailed(Ran.MAYBE, "the answer was lost")
            self.clock.after(
                request.timeout_s, lambda: self._reply_store(entry, request, failed)
            )
        self.clock.after(0.003, perform)

    def _call_worker(self, entry: StepEntry, request: Request) -> None:
        command = request.operation
        if isinstance(command, AskAdvice) and self.advice_failures:
            self.advice_failures -= 1
            failed = CallFailed(Ran.NO, "the advisor is busy")
            self.clock.after(0.1, lambda: self._reply(entry, request, failed))
            return
        if isinstance(command, AskAdvice):
            advice = self._advice(command)
            self.clock.after(0.5, lambda: self._reply(entry, request, advice))
            return
        worker_id = command.to.address
        worker = self.worker_by_id[worker_id]
        until = self.clock.mono + getattr(command, "wait_s", 0.0)
        times_out_at = self.clock.mono + request.timeout_s

        def answer_once_ended(born: int) -> None:
            """Answer a question that waits, within the worker's present life."""
            if worker.born != born:
                failed = CallFailed(Ran.MAYBE, "the connection was reset")
                self._reply(entry, request, failed)
                return
            worker.advance(self.clock.mono)
            if self.clock.mono < until and not worker.has_ends():
                self.clock.after(POLL_S, lambda: answer_once_ended(born))
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
            if isinstance(command, StartTask) and self._is_late(worker_id):
                self._carry_out_late(entry, request, worker)
                return
            if worker_id in self.failing_workers and isinstance(command, StartTask):
                command = replace(command, payload="fail " + command.payload)
            if self._refuses_permit(worker_id, command):
                self.refused_permits += 1
                refused = CommandRefused(Refusal.PERMIT, worker.clock_ms(0.0))
                self._reply(entry, request, refused)
                return
            result = worker.apply(command, self.clock.mono)
            if isinstance(command, SyncWorker) and self.clock.mono < until:
                answer_once_ended(worker.born)
                return
            self.clock.after(0.001, lambda: self._reply(entry, request, result))

        self.clock.after(0.001, perform)

    def _carry_out_late(self, entry, request, worker) -> None:
        """Leave a start unanswered and carry it out three seconds later."""
        failed = CallFailed(Ran.MAYBE, "no answer")
        self.clock.after(request.timeout_s, lambda: self._reply(entry, request, failed))
        command, born = request.operation, worker.born

        def perform() -> None:
            # An order that a worker has put off ends with its process.
            if worker.born == born:
                worker.apply(command, self.clock.mono)

        self.clock.after(3.0, perform)

    def _is_late(self, worker_id: str) -> bool:
        by_chance = self.random.random() < self.late_share
        return by_chance or worker_id in self.late_workers

    def _is_cut(self, entry: StepEntry, worker_id: str) -> bool:
        return worker_id in self.dead_workers or worker_id in entry.unreachable_workers

    def _call_entry(self, entry: StepEntry, request: Request) -> None:
        """Carry a message to another entry, and its answer back."""
        call: PeerCall = request.operation
        other = self.entry_by_name[call.address]
        if not entry.has_peers or not other.has_peers:
            failed = CallFailed(Ran.MAYBE, "no answer")
            self.clock.after(
                request.timeout_s, lambda: self._reply(entry, request, failed)
            )
            return
        if not other.alive:
            failed = CallFailed(Ran.NO, "nobody listens")
            self.clock.after(0.002, lambda: self._reply(entry, request, failed))
            return
        self.request_count += 1
        request_id = f"peer:{self.request_count}"
        self.peer_call_by_id[request_id] = (entry, request)
        role = METHOD_BY_REQUEST[type(call.message)].role
        passed = Request(request_id, PEERS, call.message, 3.0)
        # The other entry may stop before it answers; the first reply counts.
        late = CallFailed(Ran.MAYBE, "no answer")
        self.clock.after(request.timeout_s, lambda: self._reply(entry, request, late))
        self.clock.after(0.001, lambda: other.mailbox.append((role, passed)))

    def _answer_peer(self, reply: Reply) -> None:
        entry, request = self.peer_call_by_id.pop(reply.request_id)
        self.clock.after(0.001, lambda: self._reply(entry, request, reply.result))

    def _advice(self, question: AskAdvice) -> Advice:
        allowed = [w for w in question.worker_ids if w not in self.forbidden_workers]
        for worker_id in allowed:
            until = self.clock.mono + self.permit_valid_s
            self.permit_until[question.job_id, worker_id] = until
        return Advice({w: f"permit-{w}" for w in allowed}, self.permit_valid_s)

    def _refuses_permit(self, worker_id: str, command: Any) -> bool:
        if not isinstance(command, StartTask) or not command.permit:
            return False
        return self.permit_until[command.ref.job_id, worker_id] < self.clock.mono

    def _call_peer(self, entry: StepEntry, request: Request) -> None:
        call: PeerCall = request.operation
        if not isinstance(call.message, AskAdvice):
            self._call_entry(entry, request)
            return
        operation = AskAdvice(*[getattr(call.message, f) for f in _ADVICE_FIELDS])
        answer = AdviceAnswer(self._advice(operation))
        self.clock.after(0.5, lambda: self._reply(entry, request, answer))


_ADVICE_FIELDS = ("job_id", "occurrence", "step", "worker_ids")


def step(count: int = 1, processors: int = 1000, **more: Any) -> StepSpec:
    return StepSpec(count, Resources(processors, 512), 1.0, **more)
