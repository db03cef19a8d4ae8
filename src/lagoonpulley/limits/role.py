"""Transfers parts of teams' limits between data centres through the store.

The order of steps keeps a team's usage in all data centres together within its
limit, also when owners change or answers are lost.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..membership.messages import PeersView
from ..observability.events import log_event
from ..ownership.record import OwnerRecord, owner_key, session_key
from ..ownership.role import groups_of
from ..peers.calls import PeerCall
from ..peers.messages import AllotmentAnswer, AskAllotment
from ..runtime.flows import Call, Flow, FlowRole, Sleep
from ..runtime.role import PEERS, STORE, CallFailed, Request
from ..store.messages import ABSENT, Get, Put, StoreResult
from .allotments import ALLOTMENTS_KEY, Allotments, parse_allotments
from .messages import (
    AllotmentNeeded,
    AllotmentsChanged,
    HoldAllotments,
    PartsReleased,
    ReleaseParts,
)

if TYPE_CHECKING:
    from ..settings.schema import Settings

__all__ = ["LimitsRole"]

RETRY_DELAY_S = 0.5
PEER_TIMEOUT_S = 6.0
SCHEDULER_TIMEOUT_S = 2.0
REQUEST_INTERVAL_S = 2.0
RECLAIM_MARGIN_S = 5.0


@dataclass(slots=True)
class _Stored:
    """Allotments as read from the store, with their revision."""

    allotments: Allotments
    revision: int


class LimitsRole(FlowRole):
    """Keeps the parts in use in this data centre at or below the stored ones.

    A data centre that releases parts stops using them before it writes; one that
    acquires parts writes before it uses them. Transfers run one at a time.
    """

    name = "limits"

    def __init__(self, entry_id: str, incarnation: int, settings: Settings) -> None:
        super().__init__(entry_id)
        self._writer_id = f"{entry_id}.{incarnation}"
        self._settings = settings
        self._view: PeersView | None = None
        self._epoch: int | None = None
        self._queue: deque[Flow] = deque()
        self._is_running = False
        self._write_count = 0
        self._next_request_at_by_team: dict[str, float] = {}
        self._ownerless_since_by_data_centre: dict[str, float] = {}

    @classmethod
    def from_settings(
        cls, entry_id: str, incarnation: int, settings: Settings
    ) -> LimitsRole:
        """Create the role of one entry."""
        return cls(entry_id, incarnation, settings)

    def receive(self, message: Any) -> None:
        """Process a membership view, a new epoch or a request for parts.

        Requests come from the scheduler and from other data centres.
        """
        match message:
            case PeersView():
                self._view = message
            case HoldAllotments(_, epoch):
                self._epoch = epoch
                self._enqueue(self._load_under_epoch(epoch))
            case AllotmentNeeded(epoch, team):
                if epoch == self._epoch and self._may_request(team):
                    self._enqueue(self._acquire(message))
            case Request(operation=AskAllotment() as parts_request):
                if self._epoch is None:
                    self.answer(message, AllotmentAnswer(0))
                else:
                    self._enqueue(self._release(message, parts_request, self._epoch))

    def _may_request(self, team: str) -> bool:
        if self.now.mono < self._next_request_at_by_team.get(team, float("-inf")):
            return False
        self._next_request_at_by_team[team] = self.now.mono + REQUEST_INTERVAL_S
        return True

    def _enqueue(self, flow: Flow) -> None:
        self._queue.append(flow)
        if not self._is_running:
            self._is_running = True
            self.start(self._run_queue())

    def _run_queue(self) -> Flow:
        while self._queue:
            yield from self._queue.popleft()
        self._is_running = False

    def _load_under_epoch(self, epoch: int) -> Flow:
        """Load the allotments and record the new epoch, which fences earlier owners."""
        own = self._settings.data_centre
        while epoch == self._epoch:
            stored = yield from self._load()
            if stored is None:
                yield Sleep(RETRY_DELAY_S)
                continue
            if stored.allotments.epochs.get(own, 0) > epoch:
                return
            held = stored.allotments.with_epoch(own, epoch)
            if (yield from self._write(held, stored.revision)):
                self._publish(epoch, held)
                return

    def _acquire(self, needed: AllotmentNeeded) -> Flow:
        stored = yield from self._load()
        if stored is None or needed.epoch != self._epoch:
            return
        missing = needed.parts - self._held_parts(stored.allotments, needed.team)
        if missing <= 0:
            self._publish(needed.epoch, stored.allotments)
            return
        free = stored.allotments.free_parts(needed.team, self._data_centres)
        if free < missing:
            yield from self._request_from_peers(needed, missing - free)
            stored = yield from self._load()
            if stored is None:
                return
            free = stored.allotments.free_parts(needed.team, self._data_centres)
        taken = min(missing, free)
        if taken > 0:
            yield from self._move_own_parts(needed.epoch, needed.team, taken)

    def _request_from_peers(self, needed: AllotmentNeeded, missing: int) -> Flow:
        for data_centre in self._data_centres:
            if missing <= 0:
                return
            if data_centre == self._settings.data_centre:
                continue
            parts_request = AskAllotment(needed.team, missing, needed.since)
            answer = yield from self._request_release(data_centre, parts_request)
            if isinstance(answer, AllotmentAnswer):
                self._ownerless_since_by_data_centre.pop(data_centre, None)
                missing -= answer.parts
            else:
                yield from self._reclaim(needed, data_centre, missing)

    def _request_release(self, data_centre: str, parts_request: AskAllotment) -> Flow:
        owners = self._view.owner_by_group if self._view is not None else {}
        owner = owners.get(groups_of(data_centre)[0])
        if owner is None or not owner.address:
            return None
        call = PeerCall(owner.address, parts_request)
        return (yield Call(PEERS, call, PEER_TIMEOUT_S))

    def _reclaim(self, needed: AllotmentNeeded, data_centre: str, missing: int) -> Flow:
        """Free parts of a data centre that has had no live owner for long enough.

        The wait ensures that no task started there can still be running.
        """
        before = yield from self._load()
        if before is None:
            return
        epoch = before.allotments.epochs.get(data_centre, 0)
        may_be_alive = yield from self._owner_may_be_alive(data_centre)
        if may_be_alive:
            self._ownerless_since_by_data_centre.pop(data_centre, None)
            return
        since = self._ownerless_since_by_data_centre.setdefault(
            data_centre, self.now.mono
        )
        if self.now.mono - since < self._reclaim_after_s:
            return
        stored = yield from self._load()
        if stored is None:
            return
        held = stored.allotments.parts_of(needed.team, data_centre, self._data_centres)
        taken = min(held, missing)
        if taken > 0:
            log_event("allotment_reclaimed", team=needed.team, source=data_centre)
            yield from self._move_parts(
                needed.epoch, needed.team, data_centre, -taken, epoch
            )

    def _owner_may_be_alive(self, data_centre: str) -> Flow:
        """Return whether the owner's session may exist; ``True`` if the store fails."""
        found = yield self._store(Get(owner_key(groups_of(data_centre)[0])))
        if isinstance(found, CallFailed):
            return True
        if found.entry is None:
            return False
        record = OwnerRecord.model_validate_json(found.entry.value)
        if not record.session:
            return False
        session = yield self._store(Get(session_key(record.session)))
        return isinstance(session, CallFailed) or session.ok

    @property
    def _reclaim_after_s(self) -> float:
        settings = self._settings
        waits_s = settings.session_lease_s + settings.task_lease_s + RECLAIM_MARGIN_S
        if settings.workers_fence:
            waits_s += settings.longest_without_store_s
        return waits_s

    def _release(
        self, request: Request, parts_request: AskAllotment, epoch: int
    ) -> Flow:
        release_parts = ReleaseParts(
            parts_request.team, parts_request.parts, parts_request.since
        )
        released = yield Call("scheduler", release_parts, SCHEDULER_TIMEOUT_S)
        if not isinstance(released, PartsReleased) or released.parts <= 0:
            self.answer(request, AllotmentAnswer(0))
            return
        moved = yield from self._move_own_parts(
            epoch, parts_request.team, -released.parts
        )
        self.answer(request, AllotmentAnswer(released.parts if moved else 0))

    def _move_own_parts(self, epoch: int, team: str, change: int) -> Flow:
        own = self._settings.data_centre
        return (yield from self._move_parts(epoch, team, own, change, epoch))

    def _move_parts(
        self, epoch: int, team: str, data_centre: str, change: int, holder_epoch: int
    ) -> Flow:
        """Change a data centre's parts, retrying until the write is confirmed.

        :param epoch: this data centre's epoch, with which the result is published.
        :param holder_epoch: the epoch under which ``data_centre`` last loaded its
            parts; nothing is changed once a later owner has loaded them.
        :returns: ``False`` if the change is no longer possible.
        """
        while True:
            stored = yield from self._load()
            if stored is None:
                yield Sleep(RETRY_DELAY_S)
                continue
            if stored.allotments.epochs.get(data_centre, 0) != holder_epoch:
                return False
            try:
                changed = stored.allotments.with_parts_changed(
                    team, data_centre, change, self._data_centres
                )
            except ValueError:
                self._publish(epoch, stored.allotments)
                return False
            if (yield from self._write(changed, stored.revision)):
                self._publish(epoch, changed)
                return True

    def _write(self, allotments: Allotments, revision: int) -> Flow:
        """Write the allotments, retrying lost answers until the outcome is known.

        :returns: whether this write took effect rather than a concurrent one.
        """
        self._write_count += 1
        write_id = f"{self._writer_id}.{self._write_count}"
        put = Put(ALLOTMENTS_KEY, allotments.model_dump_json(), revision, write_id)
        while True:
            result = yield self._store(put)
            if isinstance(result, CallFailed):
                yield Sleep(RETRY_DELAY_S)
                continue
            entry = result.entry
            return entry is not None and entry.write_id == write_id

    def _load(self) -> Flow:
        found = yield self._store(Get(ALLOTMENTS_KEY))
        if not isinstance(found, StoreResult):
            return None
        if found.entry is None:
            return _Stored(Allotments(), ABSENT)
        parsed = parse_allotments(found.entry.value)
        if parsed.is_error():
            log_event("allotments_unreadable", reason=parsed.error)
            return None
        return _Stored(parsed.ok, found.entry.revision)

    def _publish(self, epoch: int, allotments: Allotments) -> None:
        held = allotments.parts_by_team(self._settings.data_centre, self._data_centres)
        self.emit("scheduler", AllotmentsChanged(epoch, held))

    def _held_parts(self, allotments: Allotments, team: str) -> int:
        return allotments.parts_of(team, self._settings.data_centre, self._data_centres)

    @property
    def _data_centres(self) -> tuple[str, ...]:
        return self._settings.data_centres

    def _store(self, operation: Any) -> Call:
        return Call(STORE, operation, self._settings.store.timeout_s)
