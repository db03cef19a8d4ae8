"""Follows the owner's status in the store and logs changes of admission."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import ValidationError

from ..observability.events import log_event
from ..owner.entries import EntryDocument
from ..owner.session import OWNER_KEY
from ..owner.status import STATUS_KEY, OwnerStatus
from ..runtime.flows import Call, Flow, FlowRole, Sleep
from ..runtime.role import STORE, CallFailed
from ..store.messages import Get, ReadRange
from .admission import Admission

if TYPE_CHECKING:
    from ..store.messages import KeyValue

__all__ = ["OwnerFollower"]

READ_TIMEOUT_S = 0.8
READ_INTERVAL_S = 0.5


class OwnerFollower:
    """Reads the owner's status at intervals into an :class:`Admission`.

    Reads are stale, which is cheap, while nothing suggests a refusal.
    """

    def __init__(self, role: FlowRole, admission: Admission) -> None:
        self._role = role
        self._admission = admission
        self._closed_reason = ""

    def follow(self) -> Flow:
        """Read the status until the process ends."""
        while True:
            if self._admission.needs_consistent_read(self._role.now.mono):
                yield from self._read_consistently()
            else:
                yield from self._read_stale()
            self._log_change()
            yield Sleep(READ_INTERVAL_S)

    def _read_stale(self) -> Flow:
        read = ReadRange(STATUS_KEY, stale=True)
        result = yield Call(STORE, read, READ_TIMEOUT_S)
        if isinstance(result, CallFailed) or not result.ok:
            return
        found = [item for item in result.entries if item.key == STATUS_KEY]
        self._record(found[0] if found else None, is_stale=True)

    def _read_consistently(self) -> Flow:
        """Read the status and the owner record when a stale read is not enough."""
        status, owner = yield [
            Call(STORE, Get(STATUS_KEY), READ_TIMEOUT_S),
            Call(STORE, Get(OWNER_KEY), READ_TIMEOUT_S),
        ]
        if isinstance(status, CallFailed) or isinstance(owner, CallFailed):
            return
        self._record(status.entry, is_stale=False)
        if owner.entry is not None and not _writes_status(owner.entry):
            self._admission.record_owner_without_heartbeats(self._role.now.mono)

    def _record(self, item: KeyValue | None, is_stale: bool) -> None:
        status = _decode_status(item) if item is not None else None
        self._admission.record_read(status, self._role.now.mono, is_stale)

    def _log_change(self) -> None:
        now = self._role.now.mono
        restriction = self._admission.restriction(now)
        reason = restriction.reason if restriction else ""
        if reason == self._closed_reason:
            return
        event = "admission_closed" if reason else "admission_open"
        log_event(
            event,
            reason=reason or self._closed_reason,
            share=round(restriction.share, 3) if restriction else 0.0,
            absence_s=round(self._admission.absence_s(now), 3),
        )
        self._closed_reason = reason


def _decode_status(item: KeyValue) -> OwnerStatus | None:
    try:
        return OwnerStatus.model_validate_json(item.value)
    except ValidationError:
        log_event("owner_status_refused", revision=item.revision)
        return None


def _writes_status(item: KeyValue) -> bool:
    try:
        return EntryDocument.model_validate_json(item.value).writes_status
    except ValidationError:
        return False
