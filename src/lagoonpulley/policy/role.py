"""Follows the operators' policy document in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from ..observability.events import log_event
from ..observability.prometheus import set_policy_confirmed, set_policy_version
from ..runtime.flows import Call, Flow, FlowRole, Sleep
from ..runtime.role import STORE, CallFailed
from ..store.messages import Get, KeyValue, StoreStatus, WatchPrefix
from .messages import POLICY_ROLE, PolicyChanged, PolicySeen

if TYPE_CHECKING:
    from expression import Result

    from ..store.messages import StoreResult
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
# An entry that has not confirmed its policy for this long writes a log line.
UNCONFIRMED_LOG_S = 2.0


class PolicyDecoder(Protocol):
    """Decodes the stored form of a policy."""

    key: str

    def decode(self, item: KeyValue) -> Result[Policy, str]:
        """Return the policy, or why the document is invalid."""
        ...


class PolicyRole(FlowRole):
    """Reads and watches the document, and publishes each higher version.

    :param listeners: roles and ports that receive each version.
    """

    name = POLICY_ROLE

    def __init__(self, decoder: PolicyDecoder, listeners: tuple[str, ...]) -> None:
        super().__init__(self.name)
        self._decoder = decoder
        self._listeners = listeners
        self._version = 0
        self._running = False
        # When the applied version was certainly the newest, in monotonic seconds.
        self._confirmed_at: float | None = None
        self._is_unconfirmed = False
        self._silence_factor = 1

    def receive(self, message: Any) -> None:
        """Start at the first tick; apply a document that another role has read."""
        if isinstance(message, PolicySeen):
            self._apply(message.item)
            return
        self._log_age()
        if not self._running:
            self._running = True
            self.start(self._follow())

    def _follow(self) -> Flow:
        revision = 0
        while True:
            if not revision:
                revision = yield from self._read()
                continue
            watch = WatchPrefix(self._decoder.key, revision, WATCH_WAIT_S)
            sent_at = self.now.mono
            silence_s = WATCH_WAIT_S + WATCH_SILENCE_S * self._silence_factor
            result = yield Call(STORE, watch, silence_s, TOTAL_TIMEOUT_S)
            if isinstance(result, CallFailed):
                log_event("policy_watch_failed", reason=result.reason)
                self._record_failure()
                revision = 0
                continue
            self._silence_factor = 1
            if result.status is not StoreStatus.OK:
                revision = 0
                continue
            revision = max(revision, result.revision)
            for item in result.entries:
                self._apply(item)
            self._confirm(sent_at)

    def _read(self) -> Flow:
        """Read the document; return the store revision, or 0 after a failure."""
        result: StoreResult | CallFailed
        sent_at = self.now.mono
        silence_s = READ_SILENCE_S * self._silence_factor
        read = Get(self._decoder.key)
        result = yield Call(STORE, read, silence_s, TOTAL_TIMEOUT_S)
        if isinstance(result, CallFailed):
            log_event("policy_read_failed", reason=result.reason)
            self._record_failure()
            yield Sleep(RETRY_DELAY_S)
            return 0
        self._silence_factor = 1
        if result.entry is not None:
            self._apply(result.entry)
        self._confirm(sent_at)
        return result.revision

    def _record_failure(self) -> None:
        """Wait longer for the next answers."""
        self._silence_factor = min(MAX_SILENCE_FACTOR, 2 * self._silence_factor)

    def _confirm(self, at: float) -> None:
        """Record that every version stored before a monotonic time is applied."""
        self._confirmed_at = at
        set_policy_confirmed(at)

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

    def _apply(self, item: KeyValue) -> None:
        if item.key != self._decoder.key:
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
