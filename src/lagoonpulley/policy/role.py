"""Follows the operators' policy document in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from ..observability.events import log_event
from ..observability.prometheus import set_policy_confirmed, set_policy_version
from ..runtime.flows import Call, Flow, FlowRole, Sleep
from ..runtime.role import STORE, CallFailed
from ..store.messages import (
    ABSENT,
    Get,
    KeyValue,
    StoreStatus,
    Transaction,
    WatchPrefix,
)
from .messages import PolicyChanged, PolicyConfirmed

if TYPE_CHECKING:
    from collections.abc import Iterable

    from expression import Result

    from ..store.messages import StoreOperation, StoreResult
    from .values import Policy

__all__ = ["PolicyDecoder", "PolicyRole"]

WATCH_WAIT_S = 0.8
# How long nothing of an answer may arrive, beyond the wait of a watch. Both grow after
# failures, up to the factor below: the store or the link may be slow.
WATCH_SILENCE_S = 0.4
READ_SILENCE_S = 0.8
MAX_SILENCE_FACTOR = 4
# The document may be long and the link slow.
TOTAL_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.1
# One check after each watch: changes that watches do not report are found by it.
CHECK_INTERVAL_S = 0.8
# An entry that has not confirmed its policy for this long writes a log line.
UNCONFIRMED_LOG_S = 2.0
AGE_CHECK_INTERVAL_S = 1.0


class PolicyDecoder(Protocol):
    """Decodes the stored form of a policy."""

    key: str

    def decode(self, item: KeyValue) -> Result[Policy, str]:
        """Return the policy, or why the document is invalid."""
        ...


class PolicyRole(FlowRole):
    """Reads and watches the document, and publishes each higher version.

    :param listeners: roles and ports that receive each version.
    :param confirmation_listeners: those of them that also receive each confirmation.
    """

    name = "policy"
    tick_interval_s = AGE_CHECK_INTERVAL_S

    def __init__(
        self,
        decoder: PolicyDecoder,
        listeners: tuple[str, ...],
        confirmation_listeners: tuple[str, ...] = (),
    ) -> None:
        super().__init__(self.name)
        self._decoder = decoder
        self._listeners = listeners
        self._confirmation_listeners = confirmation_listeners
        self._version = 0
        self._running = False
        # When the applied version was certainly the newest, in monotonic seconds.
        self._confirmed_at: float | None = None
        self._is_unconfirmed = False
        self._silence_factor = 1
        # Revision of the document as last seen, ``None`` if it has to be read.
        self._document_revision: int | None = None
        self._watched_revision = 0
        self._check_due_at = 0.0

    def receive(self, message: Any) -> None:
        """Follow the document from the first tick on."""
        self._log_age()
        if not self._running:
            self._running = True
            self.start(self._follow())

    def _follow(self) -> Flow:
        while True:
            if self._document_revision is None:
                yield from self._read()
            elif self.now.mono >= self._check_due_at:
                yield from self._check(self._document_revision)
            else:
                yield from self._watch()

    def _read(self) -> Flow:
        """Read the document, whatever is known of it."""
        result: StoreResult | CallFailed
        sent_at = self.now.mono
        result = yield self._call(Get(self._decoder.key), READ_SILENCE_S)
        if isinstance(result, CallFailed):
            yield from self._recover("policy_read_failed", result)
            return
        self._document_revision = ABSENT
        if result.entry is not None:
            self._apply(result.entry)
        self._watched_revision = result.revision
        self._confirm(sent_at)
        self._check_due_at = self.now.mono + CHECK_INTERVAL_S

    def _check(self, revision: int) -> Flow:
        """Check that the document still has a revision; apply it if it has changed.

        Unlike a watch that ends without events, this proves that no change is missing,
        and unlike a read, it does not return an unchanged document.
        """
        sent_at = self.now.mono
        check = Transaction(expected=((self._decoder.key, revision),))
        result = yield self._call(check, READ_SILENCE_S)
        if isinstance(result, CallFailed):
            yield from self._recover("policy_check_failed", result)
            return
        if result.ok:
            self._watched_revision = max(self._watched_revision, result.revision)
        elif result.entries:
            self._apply_all(result.entries)
        else:
            self._document_revision = ABSENT
        self._confirm(sent_at)
        self._check_due_at = self.now.mono + CHECK_INTERVAL_S

    def _watch(self) -> Flow:
        """Wait for the next change.

        The watch does not continue from the store's revision that an answer without
        events has: the store may have left out a change for a while.
        """
        sent_at = self.now.mono
        watch = WatchPrefix(self._decoder.key, self._watched_revision, WATCH_WAIT_S)
        result = yield self._call(watch, WATCH_SILENCE_S)
        if isinstance(result, CallFailed):
            yield from self._recover("policy_watch_failed", result)
            return
        if result.status is not StoreStatus.OK:
            self._document_revision = None
            return
        if result.entries:
            self._apply_all(result.entries)
            self._check_due_at = self.now.mono
            self._confirm(sent_at)
            return
        self._confirm(min(self.now.mono, sent_at + WATCH_WAIT_S))

    def _call(self, operation: StoreOperation, silence_s: float) -> Call:
        """Return a store call that fails when no data arrives for too long."""
        wait_s = operation.wait_s if isinstance(operation, WatchPrefix) else 0.0
        timeout_s = wait_s + silence_s * self._silence_factor
        return Call(STORE, operation, timeout_s, TOTAL_TIMEOUT_S)

    def _recover(self, event: str, failed: CallFailed) -> Flow:
        """Pause after a failed call; then check the document, with more time."""
        log_event(event, reason=failed.reason)
        self._silence_factor = min(MAX_SILENCE_FACTOR, 2 * self._silence_factor)
        self._check_due_at = self.now.mono
        yield Sleep(RETRY_DELAY_S)

    def _confirm(self, at: float) -> None:
        """Record that every version stored before a monotonic time is applied."""
        self._silence_factor = 1
        self._confirmed_at = at
        set_policy_confirmed(at)
        for listener in self._confirmation_listeners:
            self.emit(listener, PolicyConfirmed(at))

    def _age_s(self) -> float:
        """Return for how long no newer version has been ruled out, in seconds."""
        if self._confirmed_at is None:
            return 0.0
        return self.now.mono - self._confirmed_at

    def _log_age(self) -> None:
        """Log when the policy becomes too old to rely on, and when it is confirmed."""
        age_s = self._age_s()
        if (age_s > UNCONFIRMED_LOG_S) is self._is_unconfirmed:
            return
        self._is_unconfirmed = not self._is_unconfirmed
        event = "policy_unconfirmed" if self._is_unconfirmed else "policy_confirmed"
        log_event(event, version=self._version, age_s=round(age_s, 3))

    def _apply_all(self, items: Iterable[KeyValue]) -> None:
        for item in items:
            self._watched_revision = max(self._watched_revision, item.revision)
            self._apply(item)

    def _apply(self, item: KeyValue) -> None:
        if item.key != self._decoder.key:
            return
        self._document_revision = ABSENT if item.deleted else item.revision
        if item.deleted:
            return
        decoded = self._decoder.decode(item)
        if decoded.is_error():
            log_event("policy_refused", revision=item.revision, reason=decoded.error)
            return
        policy = decoded.ok
        if policy.version <= self._version:
            return
        self._version = policy.version
        set_policy_version(policy.version)
        log_event(
            "policy_in_force",
            version=policy.version,
            revision=policy.revision,
            characters=len(item.value),
            age_s=round(self._age_s(), 3),
        )
        for listener in self._listeners:
            self.emit(listener, PolicyChanged(policy))
