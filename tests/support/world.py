"""A simulated cell in one thread: the real roles of entries over a fake network."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from lagoonpulley.configuration.document import (
    CONFIGURATION_KEY,
    ConfigurationDocument,
    LimitEntry,
    QueueEntry,
    TeamEntry,
)
from lagoonpulley.configuration.keys import NewKey, create_key
from lagoonpulley.configuration.role import ConfigurationRole
from lagoonpulley.gateway.access import AccessControl
from lagoonpulley.gateway.problems import Problem
from lagoonpulley.journal.role import JournalRole
from lagoonpulley.limits.role import LimitsRole
from lagoonpulley.membership.messages import Leave
from lagoonpulley.membership.role import MembershipRole
from lagoonpulley.model.job import Job, JobKind
from lagoonpulley.model.resources import Resources
from lagoonpulley.model.verdict import Ran
from lagoonpulley.observability.metrics import NoMetrics
from lagoonpulley.ownership.messages import ReleaseAll
from lagoonpulley.ownership.role import OwnershipRole
from lagoonpulley.peers.calls import PeerCall
from lagoonpulley.peers.messages import PeerInfo
from lagoonpulley.peers.service import METHOD_BY_REQUEST
from lagoonpulley.routing.home import job_id_of
from lagoonpulley.routing.messages import RouteCancel, RouteSubmit, RouteSubmitResult
from lagoonpulley.routing.role import RoutingRole
from lagoonpulley.runtime.role import (
    CALLERS,
    PEERS,
    STORE,
    UPSTREAM,
    WAKE,
    CallFailed,
    Reply,
    Request,
    Tick,
)
from lagoonpulley.scheduler.role import SchedulerRole
from lagoonpulley.settings.schema import Settings
from lagoonpulley.standin.worker import WorkerState
from lagoonpulley.store.messages import Instance, Put
from lagoonpulley.upstream.lease_check import check_sender_lease

from .network import Clock, Network

TICK_S = 0.25
CAPACITY = Resources(4000, 8192, 0, 8, 64)
DRAIN_DEADLINE_S = 20.0
DATA_CENTRES = ("timisoara", "arad")


@dataclass(eq=False)
class Caller:
    """One submission of a job and its outcome, as the invariants check them.

    ``outcome`` and ``done_at`` are ``None`` until the caller has an answer.
    """

    job: Job
    expected_answer: str
    entry_id: str
    sent_at: float
    outcome: Any = None
    done_at: float | None = None
    wait_s: float = 0.0
    incarnation: int = 0

    @property
    def accepted(self) -> bool:
        return (
            isinstance(self.outcome, RouteSubmitResult)
            and self.outcome.verdicts[0].refusal is None
        )


@dataclass
class Acceptance:
    """A submission that the access control of an entry accepted for a team."""

    entry_id: str
    queue: str
    key_id: str
    team: str
    at: float


@dataclass(eq=False)
class SimEntry:
    """A simulated entry process: its roles, its mailbox and its state.

    ``pause_after`` is how many more messages it processes before it pauses, ``None`` if
    no pause is due. ``revisions`` lists the configuration revisions that its access
    control had after each message to it.
    """

    id: str
    data_centre: str
    incarnation: int
    address: str
    roles: dict[str, Any] = field(default_factory=dict)
    access: AccessControl | None = None
    mailbox: deque = field(default_factory=deque)
    alive: bool = True
    paused: bool = False
    pause_after: int | None = None
    draining: bool = False
    started_at: float = 0.0
    revisions: list[int] = field(default_factory=list)


class World:
    """Entries, workers, store and callers of a small simulated cell."""

    def __init__(
        self, seed: int, workers_fence: bool = True, entries_per_data_centre: int = 2
    ) -> None:
        self.clock = Clock()
        self.network = Network(self.clock, seed)
        self.workers_fence = workers_fence
        self.entries: dict[str, SimEntry] = {}
        self.workers: dict[str, WorkerState] = {}
        self.leaving_at: dict[str, float] = {}
        self.callers: list[Caller] = []
        self.acceptances: list[Acceptance] = []
        self.withdrawn_at: dict[str, float] = {}
        # Times of change and limits of team north in thousandths of a processor.
        self.limit_history: list[tuple[float, int]] = []
        self.last_fault_at = float("-inf")
        self.active_faults: set[str] = set()
        self.unanswered_after_drain: list[Caller] = []
        # Planned stops after which the data centre still has another entry, and those
        # after which it has none.
        self.drained_at: list[float] = []
        self.emptied_data_centres: list[tuple[float, str]] = []
        self.keys: dict[str, NewKey] = {}
        self.document = ConfigurationDocument()
        self.last_write_at = 0.0
        self._write_count = 0
        self._caller_by_request_id: dict[str, Caller] = {}
        self._peer_reply_by_request_id: dict[str, Any] = {}
        self._request_count = 0
        self._incarnation_count = 0
        for data_centre in DATA_CENTRES:
            self._add_workers(data_centre)
        self._write_first_configuration()
        for data_centre in DATA_CENTRES:
            for number in range(entries_per_data_centre):
                self.start_entry(f"{data_centre}-{number + 1}", data_centre)
        self.after_event: Any = lambda: None

    def _add_workers(self, data_centre: str) -> None:
        for number in range(2):
            worker_id = f"{data_centre}-w{number}"
            worker = WorkerState(worker_id, CAPACITY, fencing=self.workers_fence)
            worker.enforce_capacity = False
            address = f"worker:{worker_id}"
            self.workers[worker_id] = worker
            self.network.worker_by_address[address] = worker
            self.network.data_centre_by_address[address] = data_centre
            self._register_worker(worker_id, data_centre, address)

    def _register_worker(self, worker_id: str, data_centre: str, address: str, **state):
        self.network.store.set_instance(
            Instance(
                id=worker_id,
                role="worker",
                data_centre=data_centre,
                address=address,
                rack=f"{data_centre}-rack{worker_id[-1]}",
                processors_milli=CAPACITY.processors_milli,
                memory_mb=CAPACITY.memory_mb,
                slots=CAPACITY.slots,
                connections=CAPACITY.connections,
                **state,
            )
        )

    def _write_first_configuration(self) -> None:
        self.keys = {team: create_key(team) for team in ("north", "south")}
        self.write_configuration(
            teams={
                "north": TeamEntry(share=2, limit=LimitEntry(processors_milli=8000)),
                "south": TeamEntry(share=1),
            },
            queues={
                "reviews": QueueEntry(team="north"),
                "packets": QueueEntry(team="south"),
                "enquiries": QueueEntry(team="south", open=True),
            },
            keys={key.id: key.entry for key in self.keys.values()},
        )
        self.limit_history.append((self.clock.mono, 8000))

    def write_configuration(self, **changes: Any) -> None:
        """Write a changed configuration to the store, as an operator does."""
        self.document = self.document.model_copy(
            update={"revision": self.document.revision + 1, **changes}
        )
        stored = self.network.store.key_value_by_key.get(CONFIGURATION_KEY)
        self._write_count += 1
        put = Put(
            CONFIGURATION_KEY,
            self.document.model_dump_json(),
            stored.revision if stored else 0,
            f"operator.{self._write_count}",
        )
        assert self.network.store.apply(put, self.clock.mono).ok
        self.last_write_at = self.clock.mono

    def settings_of(self, entry_id: str, data_centre: str) -> Settings:
        """Return the settings of an entry."""
        return Settings.model_validate(
            {
                "entry_id": entry_id,
                "data_centre": data_centre,
                "data_centres": DATA_CENTRES,
                "store": {"url": "http://127.0.0.1:1"},
                "workers_fence": self.workers_fence,
                "task_lease_s": 6.0,
                "longest_without_store_s": 20.0,
            }
        )

    def start_entry(self, entry_id: str, data_centre: str) -> SimEntry:
        """Start a new process of an entry, with a new incarnation."""
        self._incarnation_count += 1
        incarnation = self._incarnation_count
        address = f"127.0.0.1:{incarnation}"
        entry = SimEntry(entry_id, data_centre, incarnation, address)
        entry.started_at = self.clock.mono
        settings = self.settings_of(entry_id, data_centre)
        me = PeerInfo(entry_id, incarnation, data_centre, address)
        roles = (
            MembershipRole.from_settings(me, settings, incarnation),
            OwnershipRole.from_settings(entry_id, incarnation, address, settings),
            JournalRole.from_settings(entry_id, incarnation, settings),
            LimitsRole.from_settings(entry_id, incarnation, settings),
            ConfigurationRole.from_settings(entry_id, settings),
            SchedulerRole.from_settings(entry_id, settings, NoMetrics()),
            RoutingRole.from_settings(entry_id, settings, incarnation),
        )
        entry.roles = {role.name: role for role in roles}
        entry.access = AccessControl(lambda: self.clock.now)
        self.entries[entry_id] = entry
        self.network.data_centre_by_address[address] = data_centre
        self.network.store.set_instance(
            Instance(entry_id, "entry", data_centre, address)
        )
        self._tick(entry)
        return entry

    def _tick(self, entry: SimEntry) -> None:
        if not entry.alive:
            return
        if not entry.paused:
            for name in entry.roles:
                entry.mailbox.append((name, Tick()))
            self._drain_mailbox(entry)
        self.clock.after(TICK_S, lambda: self._tick(entry))

    def post(self, entry: SimEntry, to: str, message: Any) -> None:
        """Put a message into the mailbox of an entry and process the mailbox."""
        if not entry.alive:
            return
        entry.mailbox.append((to, message))
        self._drain_mailbox(entry)

    def _drain_mailbox(self, entry: SimEntry) -> None:
        while entry.mailbox and entry.alive and not entry.paused:
            to, message = entry.mailbox.popleft()
            self._process(entry, to, message)
            if entry.pause_after is not None:
                entry.pause_after -= 1
                if entry.pause_after <= 0:
                    entry.pause_after = None
                    entry.paused = True

    def _process(self, entry: SimEntry, to: str, message: Any) -> None:
        if to in entry.roles:
            for send in entry.roles[to].handle(message, self.clock.now):
                entry.mailbox.append((send.to, send.message))
        elif to == STORE:
            self.network.call_store(
                entry.data_centre, message, self._reply_to(entry, message)
            )
        elif to == UPSTREAM:
            self._call_worker(entry, message)
        elif to == PEERS:
            self._call_peer(entry, message)
        elif to == CALLERS:
            self._answer_caller(message)
        elif to == WAKE:
            wake = (message.role, Tick())
            self.clock.after(message.delay_s, lambda: self.post(entry, *wake))
        elif to == "gateway":
            entry.access.submit(message)
            entry.revisions.append(entry.access.revision)

    def _reply_to(self, entry: SimEntry, request: Request) -> Any:
        return lambda reply: self.post(entry, request.reply_to, reply)

    def _call_worker(self, entry: SimEntry, request: Request) -> None:
        refused = check_sender_lease(request.operation, self.clock.now)
        reply = self._reply_to(entry, request)
        if refused is not None:
            reply(Reply(request.request_id, refused))
            return
        self.network.call_worker(entry.data_centre, request, reply)

    def _call_peer(self, entry: SimEntry, message: Any) -> None:
        if isinstance(message, Reply):
            reply = self._peer_reply_by_request_id.pop(message.request_id, None)
            if reply is not None:
                reply(message.result)
            return
        call: PeerCall = message.operation
        done = []

        def finish(result: Any) -> None:
            if not done:
                done.append(result)
                self.post(entry, message.reply_to, Reply(message.request_id, result))

        target = self._entry_at(call.address)
        if target is None:
            self.clock.after(
                0.002, lambda: finish(CallFailed(Ran.NO, "connection refused"))
            )
            return
        lost = CallFailed(Ran.MAYBE, "no answer from the peer")
        self.clock.after(message.timeout_s, lambda: finish(lost))
        if self.network.is_cut(entry.data_centre, target.data_centre):
            return
        self._request_count += 1
        request_id = f"peer:{self._request_count}"

        def answer(result: Any) -> None:
            if not self.network.is_cut(entry.data_centre, target.data_centre):
                self.clock.after(self.network.small_delay_s(), lambda: finish(result))

        self._peer_reply_by_request_id[request_id] = answer
        role = METHOD_BY_REQUEST[type(call.message)].role
        incoming = Request(request_id, PEERS, call.message, 30.0)
        self.clock.after(
            self.network.small_delay_s(), lambda: self.post(target, role, incoming)
        )

    def _entry_at(self, address: str) -> SimEntry | None:
        for entry in self.entries.values():
            if entry.address == address and entry.alive:
                return entry
        return None

    def submit(
        self,
        entry_id: str,
        key: str,
        queue: str = "reviews",
        team: str = "north",
        wait_s: float = 0.0,
        **fields: Any,
    ) -> Caller | None:
        """Submit a job through an entry.

        :param key: idempotency key.
        :param team: the team whose API key is sent; no key is sent if empty.
        :param wait_s: how long the caller waits for the end of the job, in seconds.
        :param fields: fields of the job that differ from the default.
        :returns: ``None`` if the entry cannot be called or refuses the key.
        """
        entry = self.entries[entry_id]
        if not entry.alive or entry.paused or entry.draining:
            return None
        key_text = self.keys[team].text if team else None
        try:
            owner_team = entry.access.team_for_queue(queue, key_text)
        except Problem:
            return None
        key_id = self.keys[team].id if team else ""
        self.acceptances.append(
            Acceptance(entry_id, queue, key_id, owner_team, self.clock.mono)
        )
        caller = self._new_caller(entry, key, owner_team, queue, wait_s, fields)
        self.callers.append(caller)
        self._request_count += 1
        request_id = f"caller:{self._request_count}"
        self._caller_by_request_id[request_id] = caller
        route = RouteSubmit((caller.job,), 10.0, wait_s)
        self.post(entry, "routing", Request(request_id, CALLERS, route, 60.0))
        return caller

    def _new_caller(self, entry, key, team, queue, wait_s, fields) -> Caller:
        values = {
            "kind": JobKind.BATCH,
            "tasks": 1,
            "request": Resources(1000, 512, 0, 1, 1),
            "run_time_s": 2.0,
            "deadline_s": None,
            "repeatable": True,
            "exclusive": True,
            "task_class": "default",
        } | fields
        answer = f"answer-to-{key}"
        payload = f'{{"answer":"{answer}"}}'
        durable = not (wait_s and values["repeatable"] and values["tasks"] == 1)
        job = Job(
            id=job_id_of(team, key, DATA_CENTRES),
            team=team,
            queue=queue,
            durable=values.pop("durable", durable),
            payload=payload,
            digest=repr((queue, payload, sorted(values.items(), key=str))),
            **values,
        )
        return Caller(
            job,
            answer,
            entry.id,
            self.clock.mono,
            wait_s=wait_s,
            incarnation=entry.incarnation,
        )

    def cancel(self, entry_id: str, job: Job) -> None:
        """Cancel a job through an entry."""
        entry = self.entries[entry_id]
        if entry.alive and not entry.paused:
            self._request_count += 1
            cancel = RouteCancel(job.id, job.team)
            request_id = f"cancel:{self._request_count}"
            self.post(entry, "routing", Request(request_id, CALLERS, cancel, 60.0))

    def _answer_caller(self, reply: Reply) -> None:
        caller = self._caller_by_request_id.pop(reply.request_id, None)
        if caller is not None:
            caller.outcome = reply.result
            caller.done_at = self.clock.mono

    def kill(self, entry_id: str) -> None:
        """End the process of an entry without warning."""
        self.entries[entry_id].alive = False
        self.active_faults.discard(f"pause {entry_id}")
        self._record_fault_change()

    def pause(self, entry_id: str, after_messages: int = 0) -> None:
        """Stop an entry from processing messages.

        :param after_messages: how many more messages it processes before it stops.
        """
        entry = self.entries[entry_id]
        self.active_faults.add(f"pause {entry_id}")
        if after_messages:
            entry.pause_after = after_messages
        else:
            entry.paused = True

    def unpause(self, entry_id: str) -> None:
        """Let a paused entry process its mailbox."""
        entry = self.entries[entry_id]
        self.active_faults.discard(f"pause {entry_id}")
        self._record_fault_change()
        entry.pause_after = None
        entry.paused = False
        self._drain_mailbox(entry)

    def set_store_up(self, up: bool) -> None:
        """Make the store reachable or unreachable."""
        self.network.conditions.store_up = up
        self._set_fault("store", not up)

    def cut(self, one: str, other: str) -> None:
        """Cut the link between two endpoints, see ``Network.is_cut``."""
        self.network.cut_pairs.add(frozenset((one, other)))
        self._set_fault(f"cut {one} {other}", True)

    def heal_cuts(self) -> None:
        """Restore every cut link."""
        self.network.cut_pairs.clear()
        for name in list(self.active_faults):
            if name.startswith("cut"):
                self._set_fault(name, False)

    def stop_worker(self, worker_id: str) -> None:
        """Make a worker unreachable; calls to it fail at once."""
        self.network.dead_addresses.add(f"worker:{worker_id}")
        self._set_fault(f"worker {worker_id}", True)

    def restart_worker(self, worker_id: str) -> None:
        """Restart a worker with a new boot id and without its tasks."""
        worker = self.workers[worker_id]
        worker.advance(self.clock.mono)
        worker.restart()
        self.network.dead_addresses.discard(f"worker:{worker_id}")
        self._set_fault(f"worker {worker_id}", False)

    def mark_worker_leaving(self, worker_id: str) -> None:
        """List a worker as leaving, so that it gets no new tasks."""
        data_centre = worker_id.rpartition("-")[0]
        self._register_worker(
            worker_id, data_centre, f"worker:{worker_id}", leaving=True
        )
        self.leaving_at.setdefault(worker_id, self.clock.mono)

    def readmit_worker(self, worker_id: str) -> None:
        """List a leaving worker as available again."""
        data_centre = worker_id.rpartition("-")[0]
        self._register_worker(worker_id, data_centre, f"worker:{worker_id}")
        self.leaving_at.pop(worker_id, None)

    def set_limit(self, processors_milli: int) -> None:
        """Set the limit of team north."""
        teams = dict(self.document.teams)
        limit = LimitEntry(processors_milli=processors_milli)
        teams["north"] = TeamEntry(share=2, limit=limit)
        self.write_configuration(teams=teams)
        self.limit_history.append((self.clock.mono, processors_milli))

    def withdraw_key(self, team: str) -> None:
        """Remove the key of a team from the configuration."""
        key = self.keys[team]
        keys = {
            key_id: entry
            for key_id, entry in self.document.keys.items()
            if key_id != key.id
        }
        self.write_configuration(keys=keys)
        self.withdrawn_at.setdefault(key.id, self.clock.mono)

    def drain(self, entry_id: str) -> None:
        """Begin the planned stop of an entry.

        The process ends when its callers have answers, or after the deadline.
        """
        entry = self.entries[entry_id]
        if entry.draining or not entry.alive:
            return
        entry.draining = True
        remaining_entries = [
            other
            for other in self.entries.values()
            if other.data_centre == entry.data_centre
            and other.alive
            and not other.draining
        ]
        if remaining_entries:
            self.drained_at.append(self.clock.mono)
        else:
            self.emptied_data_centres.append((self.clock.mono, entry.data_centre))
        self.post(entry, "membership", Leave())
        self.post(entry, "ownership", ReleaseAll())
        self.post(entry, "scheduler", ReleaseAll())
        self.clock.after(
            0.5, lambda: self._end_drain(entry, self.clock.mono + DRAIN_DEADLINE_S)
        )

    def _end_drain(self, entry: SimEntry, deadline: float) -> None:
        waiting = [
            caller
            for caller in self._caller_by_request_id.values()
            if caller.entry_id == entry.id
        ]
        if waiting and self.clock.mono < deadline:
            self.clock.after(0.1, lambda: self._end_drain(entry, deadline))
            return
        if entry.alive:
            entry.alive = False
            self.active_faults.discard(f"pause {entry.id}")
            self.unanswered_after_drain.extend(waiting)

    def _set_fault(self, name: str, present: bool) -> None:
        if present:
            self.active_faults.add(name)
        else:
            self.active_faults.discard(name)
        self._record_fault_change()

    def _record_fault_change(self) -> None:
        self.last_fault_at = self.clock.mono

    def fault_free_since(self) -> float:
        """Return the time of the last fault change, or infinity while one is active."""
        if self.active_faults:
            return float("inf")
        return self.last_fault_at

    def advance(self, duration_s: float) -> None:
        """Let time pass, and call ``after_event`` after every event."""
        self.clock.advance(duration_s, self.after_event)

    def heal(self) -> None:
        """End every fault: restart, unpause or readmit entries and workers."""
        conditions = self.network.conditions
        conditions.store_answer_loss_rate = conditions.worker_answer_loss_rate = 0.0
        conditions.duplication_rate = conditions.slow_command_rate = 0.0
        conditions.store_delay_s = 0.01
        self._set_fault("network", False)
        self.set_store_up(True)
        self.heal_cuts()
        for entry_id, entry in list(self.entries.items()):
            if not entry.alive:
                self.start_entry(entry_id, entry.data_centre)
            elif entry.paused or entry.pause_after is not None:
                self.unpause(entry_id)
        for worker_id in self.workers:
            if f"worker:{worker_id}" in self.network.dead_addresses:
                self.restart_worker(worker_id)
            if worker_id in self.leaving_at:
                self.readmit_worker(worker_id)
