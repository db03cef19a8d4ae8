"""A simulated cell for jobs with steps: real roles in one thread over fakes."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
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
from lagoonpulley.store.health import StoreHealthTracker
from lagoonpulley.store.route import StoreRoute
from lagoonpulley.upstream.tasks import AskAdvice
from lagoonpulley.workload.documents import JobKeys, decode_final
from lagoonpulley.workload.spec import JobSpec, StepSpec

from .step_documents import POLICY_KEY, JsonDirectory, JsonPolicy, KeyDrains
from .step_entry import StepEntry
from .step_workers import LEASE_S, StepWorkers

TICK_S = 0.2
MAX_POLICY_AGE_S = 1.5
RETENTION_S = 120.0
STRONG = EntryCapacity(processors_milli=2000, link_mbps=200.0)
WEAK = EntryCapacity(processors_milli=500, link_mbps=10.0)


class StepWorld(StepWorkers):
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
        super().__init__(random.Random(seed), max_lease_s)
        self.shares = shares
        # How long the entries that are started from now on keep final states.
        self.retention_s = RETENTION_S
        self.incarnation_count = 0
        self.request_count = 0
        self.last_spec: JobSpec | None = None
        self.peer_call_by_id: dict[str, tuple[StepEntry, Request]] = {}
        self.outcome_by_request_id: dict[str, Any] = {}
        self.entry_by_name: dict[str, StepEntry] = {}
        self.name_by_peer_address: dict[str, str] = {}
        self.capacity_by_name: dict[str, EntryCapacity] = {}
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

    def _call_peer(self, entry: StepEntry, request: Request) -> None:
        if isinstance(request, PreparePeers):
            return
        call: PeerCall = request.operation
        if not isinstance(call.message, AskAdvice):
            self._call_entry(entry, request)
            return
        answer = AdviceAnswer(self._advice(call.message))
        self.clock.after(self.advice_s, lambda: self._reply(entry, request, answer))


def step(count: int = 1, processors: int = 1000, **more: Any) -> StepSpec:
    """Return a step whose tasks need 512 MB and an estimated second each.

    :param processors: what each task needs, in thousandths of a processor.
    """
    return StepSpec(count, Resources(processors, 512), 1.0, **more)
