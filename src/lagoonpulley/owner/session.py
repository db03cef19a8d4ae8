"""The entry's session at the store, and the election of the owner."""

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
    RenewLease,
    RevokeLease,
    StoreStatus,
    Transaction,
    WatchPrefix,
    Write,
)
from .entries import ENTRIES_PREFIX, EntryDocument
from .journal import HEAD_KEY
from .messages import Deposed, Elected, Resign, SessionExtended, StoodDown

__all__ = ["OWNER_KEY", "SessionRole"]

OWNER_KEY = "lagoonpulley/owner"

SESSION_S = 1.0
RENEW_EVERY_S = 0.25
CALL_TIMEOUT_S = 0.5
WATCH_WAIT_S = 0.8
WATCH_TIMEOUT_S = 1.2
RETRY_PAUSE_S = 0.15
# Candidates spread their attempts, so that most of them see the first one's success.
ELECTION_SPREAD_S = 0.1


@dataclass(slots=True)
class _Session:
    """A store lease; ``ends_at`` is on the monotonic clock, in seconds."""

    lease_id: str
    ends_at: float


class SessionRole(FlowRole):
    """Keeps a lease at the store, registers the entry and stands for election.

    :param document: what the entry tells the others.
    :param owner_role: role that is told of an election and of its end.
    """

    name = "session"

    def __init__(
        self, document: EntryDocument, owner_role: str, chance: random.Random
    ) -> None:
        super().__init__("session")
        self._document = document
        self._value = document.model_dump_json()
        self._owner_role = owner_role
        self._chance = chance
        self._session: _Session | None = None
        self._is_owner = False
        self._token = 0
        self._resigned = False
        self._running = False

    def receive(self, message: Any) -> None:
        """Begin at the first tick; give up ownership when asked to."""
        if isinstance(message, Resign):
            self._resign()
            return
        if isinstance(message, StoodDown):
            self._take_back_record(message.token)
            return
        if not self._running:
            self._running = True
            self.start(self._keep_session())
            self.start(self._stand())

    # Session.

    def _keep_session(self) -> Flow:
        while not self._resigned:
            session = self._session
            if session is None:
                yield from self._open_session()
                continue
            yield Sleep(RENEW_EVERY_S)
            if self._resigned:
                return
            sent_at = self.now.mono
            renew = RenewLease(session.lease_id)
            result = yield Call(STORE, renew, CALL_TIMEOUT_S)
            if isinstance(result, CallFailed):
                log_event("session_renewal_failed", reason=result.reason)
                continue
            if result.status is StoreStatus.OK:
                session.ends_at = sent_at + SESSION_S
                self._tell_session(session)
                continue
            log_event("session_lapsed", lease=session.lease_id)
            self._session = None
            self._depose("the session has lapsed")

    def _tell_session(self, session: _Session) -> None:
        if self._is_owner:
            self.emit(self._owner_role, SessionExtended(session.ends_at))

    def _open_session(self) -> Flow:
        sent_at = self.now.mono
        result = yield Call(STORE, GrantLease(SESSION_S), CALL_TIMEOUT_S)
        if isinstance(result, CallFailed) or not result.ok:
            yield Sleep(RETRY_PAUSE_S)
            return
        key = ENTRIES_PREFIX + self._document.name
        put = Write(key, self._value, result.lease_id)
        lease_id = result.lease_id
        result = yield Call(STORE, Transaction(puts=(put,)), CALL_TIMEOUT_S)
        if isinstance(result, CallFailed) or not result.ok:
            yield Sleep(RETRY_PAUSE_S)
            return
        self._session = _Session(lease_id, sent_at + SESSION_S)
        log_event("session_open", lease=lease_id, revision=result.revision)

    # Election.

    def _stand(self) -> Flow:
        while not self._resigned:
            result = yield Call(STORE, Get(OWNER_KEY), CALL_TIMEOUT_S)
            if isinstance(result, CallFailed):
                yield Sleep(RETRY_PAUSE_S)
                continue
            if result.entry is None:
                yield from self._try_to_own()
                continue
            self._look_at(result.entry)
            yield from self._watch(result.revision)

    def _look_at(self, entry: KeyValue) -> None:
        """Compare the owner's record with what this entry believes."""
        if self._is_mine(entry):
            # The answer to the election may have been lost.
            self._take_office(entry.created)
        else:
            self._depose("another entry is the owner")

    def _take_office(self, revision: int) -> None:
        """Be the owner, under the revision that the election was won with."""
        session = self._session
        if self._is_owner or session is None:
            return
        self._is_owner = True
        self._token = revision
        log_event("elected", token=revision, entry=self._document.name)
        self.emit(self._owner_role, Elected(revision, revision))
        self._tell_session(session)

    def _watch(self, revision: int) -> Flow:
        """Wait until the owner's record may have changed."""
        while not self._resigned:
            watch = WatchPrefix(OWNER_KEY, revision, WATCH_WAIT_S)
            result = yield Call(STORE, watch, WATCH_TIMEOUT_S)
            if isinstance(result, CallFailed):
                yield Sleep(RETRY_PAUSE_S)
                return
            if not result.ok or result.entries:
                return
            revision = max(revision, result.revision)

    def _try_to_own(self) -> Flow:
        yield Sleep(self._chance.random() * ELECTION_SPREAD_S)
        session = self._session
        if session is None or session.ends_at <= self.now.mono:
            yield Sleep(RETRY_PAUSE_S)
            return
        head = yield Call(STORE, Get(HEAD_KEY), CALL_TIMEOUT_S)
        if isinstance(head, CallFailed):
            yield Sleep(RETRY_PAUSE_S)
            return
        head_revision = head.entry.revision if head.entry else ABSENT
        change = Transaction(
            expected=((OWNER_KEY, ABSENT), (HEAD_KEY, head_revision)),
            puts=(
                Write(OWNER_KEY, self._value, session.lease_id),
                Write(HEAD_KEY, self._value),
            ),
        )
        result = yield Call(STORE, change, CALL_TIMEOUT_S)
        if isinstance(result, CallFailed):
            # The record tells who has won.
            yield Sleep(RETRY_PAUSE_S)
        elif result.ok:
            self._take_office(result.revision)

    def _is_mine(self, entry: KeyValue) -> bool:
        try:
            document = EntryDocument.model_validate_json(entry.value)
        except ValidationError:
            return False
        return document == self._document

    def _resign(self) -> None:
        self._resigned = True
        self._depose("this entry stops")
        self._give_up_session()

    def _depose(self, reason: str) -> None:
        if self._is_owner:
            self._is_owner = False
            self.emit(self._owner_role, Deposed(reason))

    def _take_back_record(self, token: int) -> None:
        """Have the owner's record removed after the owner stood down."""
        if self._is_owner and self._token == token:
            self._is_owner = False
            self._give_up_session()

    def _give_up_session(self) -> None:
        """End the session, and with it what stands under its lease."""
        if self._session is not None:
            self.start(self._end_session(self._session.lease_id))
            self._session = None

    def _end_session(self, lease_id: str) -> Flow:
        result = yield Call(STORE, RevokeLease(lease_id), CALL_TIMEOUT_S)
        failed = isinstance(result, CallFailed)
        log_event("session_ended", lease=lease_id, answered=not failed)
