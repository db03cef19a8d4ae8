"""Elects one owner per worker group, by session leases in the store.

An entry that crashes or loses contact with the store loses its session, and
another entry then claims its groups under the next epoch.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

from pydantic import ValidationError

from ..membership.messages import OwnedGroups, PeersView
from ..model.verdict import Ran
from ..observability.events import log_event
from ..runtime.flows import Call, Flow, FlowRole
from ..runtime.role import STORE, CallFailed, Tick
from ..store.messages import (
    ABSENT,
    Get,
    GrantLease,
    KeyValue,
    Put,
    RenewLease,
    RevokeLease,
    StoreResult,
)
from .messages import (
    GroupAcquired,
    GroupDeposed,
    GroupLost,
    GroupReleased,
    LeaseExtended,
    ReleaseAll,
)
from .record import OwnerRecord, owner_key, rank_candidates, session_key

if TYPE_CHECKING:
    from ..settings.schema import Settings

__all__ = ["OwnershipRole", "groups_of"]

RENEWALS_PER_LEASE = 3
CLAIM_RETRY_S = 0.5
CLAIM_STAGGER_S = 0.3
LIVE_OWNER_CHECK_INTERVAL_S = 5.0
CLOCK_DRIFT_FRACTION = 0.1
LEASE_MARGIN_S = 0.2
STORE_RECOVERY_JITTER_S = 1.0


def groups_of(data_centre: str) -> tuple[str, ...]:
    """Return the names of the worker groups of a data centre."""
    return (f"{data_centre}/0",)


@dataclass(slots=True)
class _Session:
    """A session of this entry; its lease is trusted until ``valid_until``.

    ``valid_until`` is in monotonic seconds.
    """

    lease_id: str
    name: str
    valid_until: float


@dataclass(slots=True)
class _Owned:
    """A group that this entry owns, with the revision of its stored record."""

    epoch: int
    revision: int
    session: str


class _WriteOutcome(Enum):
    """Whether the write of an ownership record took effect."""

    WRITTEN = "written"
    LOST = "lost"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class _RecordWrite:
    """Outcome of a write, with the new revision of a record that was written."""

    outcome: _WriteOutcome
    revision: int = ABSENT


_UNKNOWN_OUTCOME = _RecordWrite(_WriteOutcome.UNKNOWN)


class OwnershipRole(FlowRole):
    """Renews one session lease, and claims and releases groups under it.

    The lease is counted from the time at which a renewal was sent, not from its
    answer. Another entry claims a group only once the owner's session is gone from
    the store.
    """

    name = "ownership"

    def __init__(
        self, entry_id: str, incarnation: int, address: str, settings: Settings
    ) -> None:
        super().__init__(entry_id)
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._address = address
        self._settings = settings
        self._random = random.Random(f"{entry_id}:{incarnation}")
        self._session: _Session | None = None
        self._session_count = 0
        self._owned_by_group: dict[str, _Owned] = {}
        self._view: PeersView | None = None
        self._is_renewing = False
        self._next_renewal_at = float("-inf")
        self._claiming_groups: set[str] = set()
        self._next_claim_at_by_group: dict[str, float] = {}
        self._store_failed = False
        self._store_recovered_at = float("-inf")
        self._is_releasing = False
        self._write_count = 0

    @classmethod
    def from_settings(
        cls, entry_id: str, incarnation: int, address: str, settings: Settings
    ) -> OwnershipRole:
        """Create the role of one entry.

        :param address: peer address as ``IP:PORT``.
        """
        return cls(entry_id, incarnation, address, settings)

    def receive(self, message: Any) -> None:
        """Process a tick, a membership view or a message about a group."""
        match message:
            case Tick():
                self._tick()
            case PeersView():
                self._view = message
                self._compare_epochs(message)
            case GroupDeposed(group, epoch):
                owned = self._owned_by_group.get(group)
                if owned is not None and owned.epoch <= epoch:
                    self._lose(group)
            case ReleaseAll():
                self._is_releasing = True
            case GroupReleased(group, epoch):
                self._release(group, epoch)

    def _compare_epochs(self, view: PeersView) -> None:
        for group, owned in list(self._owned_by_group.items()):
            owner = view.owner_by_group.get(group)
            if owner is not None and owner.epoch > owned.epoch:
                self._lose(group)

    def _tick(self) -> None:
        now = self.now.mono
        if not self._is_renewing and now >= self._next_renewal_at:
            self._is_renewing = True
            self._next_renewal_at = now + self._lease_s / RENEWALS_PER_LEASE
            self.start(self._renew())
        self._check_claims()

    @property
    def _lease_s(self) -> float:
        return self._settings.session_lease_s

    def _renew(self) -> Flow:
        try:
            if self._session is None:
                yield from self._open_session(self.now.mono)
            else:
                yield from self._renew_session(self._session, self.now.mono)
        finally:
            self._is_renewing = False

    def _renew_session(self, session: _Session, sent_at: float) -> Flow:
        result = yield self._call(RenewLease(session.lease_id))
        if isinstance(result, CallFailed):
            return
        if result.ok:
            self._extend_lease(session, sent_at)
            return
        self._session = None
        self._next_renewal_at = self.now.mono

    def _open_session(self, sent_at: float) -> Flow:
        granted = yield self._call(GrantLease(self._lease_s))
        if not isinstance(granted, StoreResult) or not granted.ok:
            return
        self._session_count += 1
        name = f"{self._entry_id}.{self._incarnation}.{self._session_count}"
        put = self._put(session_key(name), self._address, ABSENT, granted.lease_id)
        written = yield self._call(put)
        if not isinstance(written, StoreResult) or not written.ok:
            return
        session = _Session(granted.lease_id, name, float("-inf"))
        self._session = session
        yield from self._rebind_groups(session)
        self._extend_lease(session, sent_at)

    def _rebind_groups(self, session: _Session) -> Flow:
        """Write a new session into the records of owned groups.

        This entry keeps its groups and epochs if no other entry has claimed them
        since the previous lease expired.
        """
        for group in sorted(self._owned_by_group):
            owned = self._owned_by_group.get(group)
            if owned is None:
                continue
            record = self._record(owned.epoch, session.name)
            result = yield from self._write_record(group, record, owned.revision)
            if self._owned_by_group.get(group) is not owned:
                continue
            if result.outcome is _WriteOutcome.UNKNOWN:
                self._session = None
                return
            if result.outcome is _WriteOutcome.WRITTEN:
                owned.revision = result.revision
                owned.session = session.name
            else:
                self._lose(group)

    def _extend_lease(self, session: _Session, sent_at: float) -> None:
        """Trust a lease for its duration from ``sent_at``, less a safety margin."""
        if self._session is not session:
            return
        margin_s = self._lease_s * CLOCK_DRIFT_FRACTION + LEASE_MARGIN_S
        session.valid_until = sent_at + self._lease_s - margin_s
        self._publish_lease()

    def _publish_lease(self) -> None:
        if self._session is None:
            return
        valid_until = self._session.valid_until
        if self._settings.workers_fence:
            valid_until += self._settings.longest_without_store_s
        self.emit("scheduler", LeaseExtended(valid_until))

    def _check_claims(self) -> None:
        view = self._view
        if view is None or self._is_releasing or not self._lease_is_valid():
            return
        for group in groups_of(self._settings.data_centre):
            if group in self._owned_by_group or group in self._claiming_groups:
                continue
            if not self._has_no_live_owner(group, view):
                self._check_live_owner(group, view)
                continue
            if self.now.mono >= self._claim_due_at(group, view):
                self._claiming_groups.add(group)
                self.start(self._claim(group))

    def _check_live_owner(self, group: str, view: PeersView) -> None:
        """Try to claim a group at intervals although its owner seems alive.

        Such an owner may have lost its session in the store. Only the preferred
        candidate checks this.
        """
        owner = view.owner_by_group[group].entry_id
        others = [info.entry_id for info in view.local if info.entry_id != owner]
        if rank_candidates(group, others)[:1] != [self._entry_id]:
            self._next_claim_at_by_group.pop(group, None)
            return
        claim_at = self._next_claim_at_by_group.get(group)
        if claim_at is None:
            self._next_claim_at_by_group[group] = (
                self.now.mono + LIVE_OWNER_CHECK_INTERVAL_S
            )
        elif self.now.mono >= claim_at:
            self._claiming_groups.add(group)
            self.start(self._claim(group))

    def _lease_is_valid(self) -> bool:
        session = self._session
        return session is not None and self.now.mono < session.valid_until

    def _has_no_live_owner(self, group: str, view: PeersView) -> bool:
        owner = view.owner_by_group.get(group)
        if owner is None or not owner.entry_id or owner.entry_id == self._entry_id:
            return True
        if owner.entry_id in view.suspect_ids:
            return True
        return all(info.entry_id != owner.entry_id for info in view.local)

    def _claim_due_at(self, group: str, view: PeersView) -> float:
        """Return when to claim a group; higher-ranked candidates claim earlier."""
        claim_at = self._next_claim_at_by_group.get(group)
        if claim_at is not None:
            return claim_at
        live = [
            info.entry_id
            for info in view.local
            if not info.leaving and info.entry_id not in view.suspect_ids
        ]
        ranked = rank_candidates(group, live)
        rank = ranked.index(self._entry_id) if self._entry_id in ranked else len(live)
        due_at = self.now.mono + rank * CLAIM_STAGGER_S
        self._next_claim_at_by_group[group] = due_at
        return due_at

    def _claim(self, group: str) -> Flow:
        try:
            yield from self._try_claim(group)
        finally:
            self._claiming_groups.discard(group)
            view = self._view
            owner_is_live = view is not None and not self._has_no_live_owner(
                group, view
            )
            pause_s = LIVE_OWNER_CHECK_INTERVAL_S if owner_is_live else CLAIM_RETRY_S
            self._next_claim_at_by_group[group] = self.now.mono + pause_s

    def _try_claim(self, group: str) -> Flow:
        found = yield self._call(Get(owner_key(group)))
        if not isinstance(found, StoreResult):
            return
        revision, epoch, session = ABSENT, 0, ""
        if found.ok and found.entry is not None:
            record = _parse_record(found.entry)
            if record is None:
                revision = found.entry.revision
                log_event("owner_record_refused", group=group, revision=revision)
                return
            revision = found.entry.revision
            epoch, session = record.epoch, record.session
        if session and (yield from self._session_may_be_alive(session)):
            return
        if not self._lease_is_valid() or self._session is None:
            return
        record = self._record(epoch + 1, self._session.name)
        result = yield from self._write_record(group, record, revision)
        if result.outcome is not _WriteOutcome.WRITTEN:
            return
        owned = _Owned(epoch + 1, result.revision, record.session)
        self._owned_by_group[group] = owned
        self._publish_owned_groups()
        self._publish_lease()
        self.emit("scheduler", GroupAcquired(group, epoch + 1))

    def _session_may_be_alive(self, session: str) -> Flow:
        """Return whether another entry may still own groups under a session.

        A missing session counts as ended only one lease and a random delay after the
        store last recovered; until then, its owner can open a new session and write it
        into the records of its groups.
        """
        if self._session is not None and session == self._session.name:
            return False
        found = yield self._call(Get(session_key(session)))
        if not isinstance(found, StoreResult) or found.ok:
            return True
        wait_s = self._lease_s + self._random.random() * STORE_RECOVERY_JITTER_S
        return self.now.mono < self._store_recovered_at + wait_s

    def _release(self, group: str, epoch: int) -> None:
        owned = self._owned_by_group.get(group)
        if owned is None or owned.epoch != epoch:
            return
        del self._owned_by_group[group]
        self._publish_owned_groups()
        self.start(self._write_release(group, owned))

    def _write_release(self, group: str, owned: _Owned) -> Flow:
        record = OwnerRecord(epoch=owned.epoch)
        yield from self._write_record(group, record, owned.revision)
        if (
            self._is_releasing
            and not self._owned_by_group
            and self._session is not None
        ):
            yield self._call(RevokeLease(self._session.lease_id))

    def _lose(self, group: str) -> None:
        owned = self._owned_by_group.pop(group)
        self._publish_owned_groups()
        self.emit("scheduler", GroupLost(group, owned.epoch))

    def _publish_owned_groups(self) -> None:
        epochs = {group: owned.epoch for group, owned in self._owned_by_group.items()}
        self.emit("membership", OwnedGroups(epochs))

    def _record(self, epoch: int, session: str) -> OwnerRecord:
        return OwnerRecord(
            epoch=epoch,
            entry_id=self._entry_id,
            address=self._address,
            session=session,
        )

    def _put(self, key: str, value: str, expected: int, lease_id: str = "") -> Put:
        self._write_count += 1
        write_id = f"{self._entry_id}.{self._incarnation}.{self._write_count}"
        return Put(key, value, expected, write_id, lease_id)

    def _write_record(self, group: str, record: OwnerRecord, revision: int) -> Flow:
        """Write a record; after a lost answer, read it back to learn the outcome.

        :returns: a :class:`_RecordWrite`.
        """
        put = self._put(owner_key(group), record.model_dump_json(), revision)
        result = yield self._call(put)
        if isinstance(result, CallFailed):
            if result.ran is Ran.NO:
                return _UNKNOWN_OUTCOME
            result = yield self._call(Get(put.key))
            if isinstance(result, CallFailed):
                return _UNKNOWN_OUTCOME
        entry = result.entry
        if entry is not None and entry.write_id == put.write_id:
            return _RecordWrite(_WriteOutcome.WRITTEN, entry.revision)
        if (entry.revision if entry is not None else ABSENT) == revision:
            return _UNKNOWN_OUTCOME
        return _RecordWrite(_WriteOutcome.LOST)

    def _call(self, operation: Any) -> Call:
        return Call(STORE, operation, self._settings.store.timeout_s)

    def _resume(self, reply: Any) -> None:
        self._track_store_availability(reply.result)
        super()._resume(reply)

    def _track_store_availability(self, result: Any) -> None:
        if isinstance(result, CallFailed):
            self._store_failed = True
            return
        if self._store_failed:
            self._store_failed = False
            self._store_recovered_at = self.now.mono


def _parse_record(entry: KeyValue) -> OwnerRecord | None:
    try:
        return OwnerRecord.model_validate_json(entry.value)
    except ValidationError:
        return None
