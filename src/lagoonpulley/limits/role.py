"""Moves parts of teams' limits between data centres, through the store."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..membership.messages import PeersView
from ..observability.events import log_event
from ..ownership.record import OwnerRecord, owner_key, session_key
from ..ownership.role import groups_of
from ..peers.messages import AllotmentAnswer, AskAllotment, PeerCall
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

RETRY_PAUSE_S = 0.5
ASK_TIMEOUT_S = 6.0
SCHEDULER_TIMEOUT_S = 2.0
ASK_AGAIN_AFTER_S = 2.0
RECLAIM_MARGIN_S = 5.0


@dataclass(slots=True)
class _Stored:
    """The allotments in the store and their revision."""

    allotments: Allotments
    revision: int


class LimitsRole(FlowRole):
    """Keeps what this data centre uses at or below what the store grants it.

    A giver first does without, then writes; a taker first writes, then uses.
    Exchanges with the store are made one after another.
    """

    name = "limits"

    def __init__(self, entry_id: str, incarnation: int, settings: Settings) -> None:
        super().__init__(entry_id)
        self._writer = f"{entry_id}.{incarnation}"
        self._settings = settings
        self._view: PeersView | None = None
        self._epoch: int | None = None
        self._queue: deque[Flow] = deque()
        self._busy = False
        self._writes = 0
        self._next_ask_by_team: dict[str, float] = {}
        self._silent_since_by_data_centre: dict[str, float] = {}

    @classmethod
    def from_settings(
        cls, entry_id: str, incarnation: int, settings: Settings
    ) -> LimitsRole:
        """Create the role of one entry."""
        return cls(entry_id, incarnation, settings)

    def receive(self, message: Any) -> None:
        """Process a wish of the scheduler or of another data centre."""
        match message:
            case PeersView():
                self._view = message
            case HoldAllotments(_, epoch):
                self._epoch = epoch
                self._enqueue(self._read(epoch))
            case AllotmentNeeded(epoch, team):
                if epoch == self._epoch and self._may_ask(team):
                    self._enqueue(self._take(message))
            case Request(operation=AskAllotment() as ask):
                if self._epoch is None:
                    self.answer(message, AllotmentAnswer(0))
                else:
                    self._enqueue(self._give(message, ask, self._epoch))

    def _may_ask(self, team: str) -> bool:
        if self.now.mono < self._next_ask_by_team.get(team, float("-inf")):
            return False
        self._next_ask_by_team[team] = self.now.mono + ASK_AGAIN_AFTER_S
        return True

    # One exchange at a time.

    def _enqueue(self, flow: Flow) -> None:
        self._queue.append(flow)
        if not self._busy:
            self._busy = True
            self.start(self._work())

    def _work(self) -> Flow:
        while self._queue:
            yield from self._queue.popleft()
        self._busy = False

    def _read(self, epoch: int) -> Flow:
        """Read the allotments under a new epoch, which shuts out earlier owners."""
        own = self._settings.data_centre
        while epoch == self._epoch:
            stored = yield from self._load()
            if stored is None:
                yield Sleep(RETRY_PAUSE_S)
                continue
            if stored.allotments.epochs.get(own, 0) > epoch:
                return
            held = stored.allotments.held_under(own, epoch)
            if (yield from self._write(held, stored.revision)):
                self._tell(epoch, held)
                return

    # Taking.

    def _take(self, needed: AllotmentNeeded) -> Flow:
        stored = yield from self._load()
        if stored is None or needed.epoch != self._epoch:
            return
        wanted = needed.parts - self._held(stored.allotments, needed.team)
        if wanted <= 0:
            self._tell(needed.epoch, stored.allotments)
            return
        free = stored.allotments.free_of(needed.team, self._data_centres)
        if free < wanted:
            yield from self._ask_others(needed, wanted - free)
            stored = yield from self._load()
            if stored is None:
                return
            free = stored.allotments.free_of(needed.team, self._data_centres)
        taken = min(wanted, free)
        if taken > 0:
            yield from self._move_own(needed.epoch, needed.team, taken)

    def _ask_others(self, needed: AllotmentNeeded, wanted: int) -> Flow:
        for data_centre in self._data_centres:
            if wanted <= 0:
                return
            if data_centre == self._settings.data_centre:
                continue
            ask = AskAllotment(needed.team, wanted, needed.since)
            answer = yield from self._ask(data_centre, ask)
            if isinstance(answer, AllotmentAnswer):
                self._silent_since_by_data_centre.pop(data_centre, None)
                wanted -= answer.parts
            else:
                yield from self._reclaim(needed, data_centre, wanted)

    def _ask(self, data_centre: str, ask: AskAllotment) -> Flow:
        owners = self._view.owner_by_group if self._view is not None else {}
        owner = owners.get(groups_of(data_centre)[0])
        if owner is None or not owner.address:
            return None
        call = PeerCall(owner.address, ask)
        return (yield Call(PEERS, call, ASK_TIMEOUT_S))

    def _reclaim(self, needed: AllotmentNeeded, data_centre: str, wanted: int) -> Flow:
        """Take from a data centre once nothing started there can run any more."""
        before = yield from self._load()
        if before is None:
            return
        epoch = before.allotments.epochs.get(data_centre, 0)
        lives = yield from self._owner_may_live(data_centre)
        if lives:
            self._silent_since_by_data_centre.pop(data_centre, None)
            return
        since = self._silent_since_by_data_centre.setdefault(data_centre, self.now.mono)
        if self.now.mono - since < self._reclaim_after_s:
            return
        stored = yield from self._load()
        if stored is None:
            return
        held = stored.allotments.parts_of(needed.team, data_centre, self._data_centres)
        taken = min(held, wanted)
        if taken > 0:
            log_event("allotment_reclaimed", team=needed.team, source=data_centre)
            yield from self._move(needed.epoch, needed.team, data_centre, -taken, epoch)

    def _owner_may_live(self, data_centre: str) -> Flow:
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

    # Giving.

    def _give(self, request: Request, ask: AskAllotment, epoch: int) -> Flow:
        wish = ReleaseParts(ask.team, ask.parts, ask.since)
        gave = yield Call("scheduler", wish, SCHEDULER_TIMEOUT_S)
        if not isinstance(gave, PartsReleased) or gave.parts <= 0:
            self.answer(request, AllotmentAnswer(0))
            return
        moved = yield from self._move_own(epoch, ask.team, -gave.parts)
        self.answer(request, AllotmentAnswer(gave.parts if moved else 0))

    # Store access.

    def _move_own(self, epoch: int, team: str, change: int) -> Flow:
        own = self._settings.data_centre
        return (yield from self._move(epoch, team, own, change, epoch))

    def _move(
        self, epoch: int, team: str, data_centre: str, change: int, held_under: int
    ) -> Flow:
        """Change one data centre's parts, until that is known to have happened.

        :param epoch: this data centre's epoch, under which the result is told.
        :param held_under: the epoch under which the changed data centre holds its
            parts; once a later owner has read them, they are not changed.
        :returns: ``False`` when the change is no longer possible.
        """
        while True:
            stored = yield from self._load()
            if stored is None:
                yield Sleep(RETRY_PAUSE_S)
                continue
            if stored.allotments.epochs.get(data_centre, 0) != held_under:
                return False
            try:
                changed = stored.allotments.moved(
                    team, data_centre, change, self._data_centres
                )
            except ValueError:
                self._tell(epoch, stored.allotments)
                return False
            if (yield from self._write(changed, stored.revision)):
                self._tell(epoch, changed)
                return True

    def _write(self, allotments: Allotments, revision: int) -> Flow:
        """Write, again after a lost answer, until the outcome is certain.

        :returns: whether this write, rather than another one, took effect.
        """
        self._writes += 1
        write_id = f"{self._writer}.{self._writes}"
        put = Put(ALLOTMENTS_KEY, allotments.model_dump_json(), revision, write_id)
        while True:
            result = yield self._store(put)
            if isinstance(result, CallFailed):
                yield Sleep(RETRY_PAUSE_S)
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

    def _tell(self, epoch: int, allotments: Allotments) -> None:
        held = allotments.held_in(self._settings.data_centre, self._data_centres)
        self.emit("scheduler", AllotmentsChanged(epoch, held))

    def _held(self, allotments: Allotments, team: str) -> int:
        return allotments.parts_of(team, self._settings.data_centre, self._data_centres)

    @property
    def _data_centres(self) -> tuple[str, ...]:
        return self._settings.data_centres

    def _store(self, operation: Any) -> Call:
        return Call(STORE, operation, self._settings.store.timeout_s)
