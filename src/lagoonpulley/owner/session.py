"""The entry's session at the store, and the leader election of the owner."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

from ..observability.events import log_event
from ..runtime.flows import Call, Flow, FlowRole, Sleep
from ..runtime.role import STORE, CallFailed
from ..store.messages import (
    ABSENT,
    Get,
    GrantLease,
    KeyValue,
    ReadRange,
    RenewLease,
    RevokeLease,
    StoreStatus,
    Transaction,
    WatchPrefix,
    Write,
)
from .entries import ENTRIES_PREFIX, EntryDocument, stronger_entries
from .journal import HEAD_KEY, HeadDocument
from .messages import Deposed, Elected, Resign, SessionExtended, StoodDown

__all__ = ["OWNER_KEY", "SessionRole"]

OWNER_KEY = "lagoonpulley/owner"

SESSION_TTL_S = 1.0
RENEWAL_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 0.5
WATCH_WAIT_S = 1.6
WATCH_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.15
# Candidates delay their attempts at random, so that they do not all try at once.
ELECTION_JITTER_S = 0.1
# How long a candidate lets stronger entries try first, once for each vacancy.
HEAD_START_S = 0.3
ENTRIES_TIMEOUT_S = 0.3


@dataclass(slots=True)
class _Session:
    """A store lease that expires at ``ends_at`` (monotonic seconds)."""

    lease_id: str
    ends_at: float


class SessionRole(FlowRole):
    """Maintains a store lease, registers the entry and takes part in elections.

    :param document: description of this entry, stored for the other entries.
    :param owner_role: name of the role that receives election results.
    :param rng: source of the election jitter.
    """

    name = "session"
    tick_interval_s = None

    def __init__(
        self, document: EntryDocument, owner_role: str, rng: random.Random
    ) -> None:
        super().__init__("session")
        self._document = document
        self._value = document.model_dump_json()
        self._owner_role = owner_role
        self._rng = rng
        self._session: _Session | None = None
        self._is_owner = False
        self._token = 0
        # Highest token of the terms that ended here; no later term may have it.
        self._ended_token = 0
        # Lease of the last election attempt.
        self._election_lease_id = ""
        # The head that the last attempted election replaces.
        self._earlier_head = HeadDocument(token=0, number=0)
        # Lives of the stronger entries that had a head start; ``None`` before this
        # candidate has looked for them.
        self._stronger_lives: frozenset[str] | None = None
        self._resigned = False
        self._running = False

    def receive(self, message: Any) -> None:
        """Start the flows on the first tick; process ``Resign`` and ``StoodDown``."""
        if isinstance(message, Resign):
            self._resign()
            return
        if isinstance(message, StoodDown):
            self._remove_owner_record(message.token)
            return
        if not self._running:
            self._running = True
            self.start(self._maintain_session())
            self.start(self._campaign())

    def _maintain_session(self) -> Flow:
        while not self._resigned:
            session = self._session
            if session is None:
                yield from self._open_session()
                continue
            yield Sleep(RENEWAL_INTERVAL_S)
            if self._resigned:
                return
            if self._session is not session:
                # The owner role has stepped down meanwhile.
                continue
            sent_at = self.now.mono
            renew = RenewLease(session.lease_id)
            result = yield Call(STORE, renew, CALL_TIMEOUT_S)
            if isinstance(result, CallFailed):
                log_event("session_renewal_failed", reason=result.reason)
                continue
            if result.status is StoreStatus.OK:
                session.ends_at = sent_at + SESSION_TTL_S
                self._report_session(session)
                continue
            log_event("session_lapsed", lease=session.lease_id)
            self._session = None
            self._depose("the session lease has expired")

    def _report_session(self, session: _Session) -> None:
        if self._is_owner:
            self.emit(self._owner_role, SessionExtended(session.ends_at))

    def _open_session(self) -> Flow:
        sent_at = self.now.mono
        result = yield Call(STORE, GrantLease(SESSION_TTL_S), CALL_TIMEOUT_S)
        if isinstance(result, CallFailed) or not result.ok:
            yield Sleep(RETRY_DELAY_S)
            return
        key = ENTRIES_PREFIX + self._document.name
        put = Write(key, self._value, result.lease_id)
        lease_id = result.lease_id
        result = yield Call(STORE, Transaction(puts=(put,)), CALL_TIMEOUT_S)
        if isinstance(result, CallFailed) or not result.ok:
            yield Sleep(RETRY_DELAY_S)
            return
        self._session = _Session(lease_id, sent_at + SESSION_TTL_S)
        log_event("session_open", lease=lease_id, revision=result.revision)

    def _campaign(self) -> Flow:
        while not self._resigned:
            result = yield Call(STORE, Get(OWNER_KEY), CALL_TIMEOUT_S)
            if isinstance(result, CallFailed):
                yield Sleep(RETRY_DELAY_S)
                continue
            if result.entry is None:
                yield from self._attempt_election()
                continue
            if self._is_outdated(result.entry):
                yield from self._remove_outdated_record(result.entry)
                continue
            self._check_owner_record(result.entry)
            self._stronger_lives = None
            yield from self._watch(result.revision)

    def _check_owner_record(self, item: KeyValue) -> None:
        """Become owner or lose ownership, as the stored owner record says."""
        if self._is_mine(item):
            # The response to the election's transaction may have been lost.
            self._become_owner(item.created)
        else:
            self._depose("another entry is the owner")

    def _is_outdated(self, item: KeyValue) -> bool:
        """Return whether this entry wrote a record that it may not own by any more.

        Its term has ended, or it hangs on the lease of an earlier session, which this
        entry no longer renews.
        """
        if self._is_owner or not self._is_mine(item):
            return False
        session = self._session
        if session is None or session.lease_id != self._election_lease_id:
            return True
        return item.created <= self._ended_token

    def _remove_outdated_record(self, item: KeyValue) -> Flow:
        """Remove an own record unless it has changed, so that others can be elected."""
        removal = Transaction(
            expected=((OWNER_KEY, item.revision),), deletes=(OWNER_KEY,)
        )
        result = yield Call(STORE, removal, CALL_TIMEOUT_S)
        if isinstance(result, CallFailed):
            yield Sleep(RETRY_DELAY_S)
            return
        log_event("owner_record_removed", token=item.created, ok=result.ok)
        self._stronger_lives = None

    def _become_owner(self, revision: int) -> None:
        """Become the owner, with the revision of the owner record as fencing token.

        The same transaction wrote the journal's head, so both have this revision.
        """
        session = self._session
        if self._is_owner or session is None:
            return
        self._is_owner = True
        self._token = revision
        self._log_elected(revision)
        passed_over_lives = self._stronger_lives or frozenset()
        elected = Elected(
            revision,
            revision,
            passed_over_lives,
            self._earlier_head.settled_revision,
            self._earlier_head.restarted_workers,
        )
        self.emit(self._owner_role, elected)
        self._report_session(session)

    def _log_elected(self, revision: int) -> None:
        capacity = self._document.capacity
        log_event(
            "elected",
            token=revision,
            entry=self._document.name,
            processors_milli=capacity.processors_milli if capacity else 0,
            link_mbps=capacity.link_mbps if capacity else 0.0,
            stronger_entries=len(self._stronger_lives or ()),
        )

    def _watch(self, revision: int) -> Flow:
        """Wait until the owner record may have changed.

        The caller then reads the record, also if the watch reports no change: for a
        while watches may report nothing and yet advance their revision.
        """
        watch = WatchPrefix(OWNER_KEY, revision, WATCH_WAIT_S)
        result = yield Call(STORE, watch, WATCH_TIMEOUT_S)
        if isinstance(result, CallFailed):
            yield Sleep(RETRY_DELAY_S)

    def _attempt_election(self) -> Flow:
        jitter_ends_at = self.now.mono + self._rng.random() * ELECTION_JITTER_S
        if (yield from self._give_head_start()):
            return
        yield Sleep(max(0.0, jitter_ends_at - self.now.mono))
        if (yield from self._give_head_start()):
            return
        session = self._valid_session()
        if session is None:
            yield Sleep(RETRY_DELAY_S)
            return
        head = yield Call(STORE, Get(HEAD_KEY), CALL_TIMEOUT_S)
        if isinstance(head, CallFailed):
            yield Sleep(RETRY_DELAY_S)
            return
        head_revision = head.entry.revision if head.entry else ABSENT
        self._election_lease_id = session.lease_id
        self._earlier_head = HeadDocument.from_item(head.entry)
        new_head = self._earlier_head.model_copy(update={"token": 0, "number": 0})
        change = Transaction(
            expected=((OWNER_KEY, ABSENT), (HEAD_KEY, head_revision)),
            puts=(
                Write(OWNER_KEY, self._value, session.lease_id),
                Write(HEAD_KEY, new_head.model_dump_json()),
            ),
        )
        result = yield Call(STORE, change, CALL_TIMEOUT_S)
        if isinstance(result, CallFailed):
            # The outcome is unknown; the next read of the owner record shows who won.
            yield Sleep(RETRY_DELAY_S)
        elif result.ok and self._session is session:
            self._become_owner(result.revision)

    def _valid_session(self) -> _Session | None:
        """Return the session unless it may have expired."""
        session = self._session
        if session is None or session.ends_at <= self.now.mono:
            return None
        return session

    def _give_head_start(self) -> Flow:
        """Wait once for each vacancy if there are stronger live entries.

        Does nothing before the session is open, because the entries of a cell that
        starts are registered together.

        :returns: whether the flow has waited.
        """
        capacity = self._document.capacity
        known = self._stronger_lives is not None
        if known or capacity is None or self._valid_session() is None:
            return False
        self._stronger_lives = frozenset()
        read = ReadRange(ENTRIES_PREFIX)
        result = yield Call(STORE, read, ENTRIES_TIMEOUT_S)
        if isinstance(result, CallFailed):
            return False
        stronger = stronger_entries(result.entries, self._document.name, capacity)
        if not stronger:
            return False
        self._stronger_lives = frozenset(document.life for document in stronger)
        yield Sleep(HEAD_START_S)
        return True

    def _is_mine(self, item: KeyValue) -> bool:
        try:
            document = EntryDocument.model_validate_json(item.value)
        except ValidationError:
            return False
        return document == self._document

    def _resign(self) -> None:
        self._resigned = True
        self._depose("this entry is stopping")
        self._close_session()

    def _depose(self, reason: str) -> None:
        if self._is_owner:
            self._end_term()
            self.emit(self._owner_role, Deposed(reason))

    def _end_term(self) -> None:
        self._is_owner = False
        self._ended_token = max(self._ended_token, self._token)

    def _remove_owner_record(self, token: int) -> None:
        """Remove the owner record after the owner role ended the term of ``token``."""
        if self._is_owner and self._token == token:
            self._end_term()
            self._close_session()

    def _close_session(self) -> None:
        """Revoke the session's lease, which also removes the keys stored under it."""
        if self._session is not None:
            self.start(self._revoke_lease(self._session.lease_id))
            self._session = None

    def _revoke_lease(self, lease_id: str) -> Flow:
        """Revoke a lease; repeat the call until it is answered or the lease is over."""
        expires_at = self.now.mono + SESSION_TTL_S
        while True:
            result = yield Call(STORE, RevokeLease(lease_id), CALL_TIMEOUT_S)
            failed = isinstance(result, CallFailed)
            if not failed or self.now.mono >= expires_at:
                break
            yield Sleep(RETRY_DELAY_S)
        log_event("session_ended", lease=lease_id, answered=not failed)
