"""Durable documents of the groups that this entry owns."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..ownership.messages import GroupDeposed
from ..runtime.flows import FlowRole
from ..runtime.role import Request, Tick
from .log import GroupLog
from .messages import Append, CloseJournal, NotCommitted, OpenJournal

if TYPE_CHECKING:
    from ..settings.schema import Settings

from ..model.verdict import Ran

__all__ = ["JournalRole"]


class JournalRole(FlowRole):
    """Runs one :class:`~.log.GroupLog` per owned group."""

    name = "journal"

    def __init__(self, entry_id: str, incarnation: int, settings: Settings) -> None:
        super().__init__(entry_id)
        self._writer = f"{entry_id}.{incarnation}"
        self._settings = settings
        self._log_by_group: dict[str, GroupLog] = {}

    @classmethod
    def from_settings(
        cls, entry_id: str, incarnation: int, settings: Settings
    ) -> JournalRole:
        """Create the role of one entry."""
        return cls(entry_id, incarnation, settings)

    def receive(self, message: Any) -> None:
        """Process a tick or a request of the scheduler."""
        match message:
            case Tick():
                for log in list(self._log_by_group.values()):
                    log.pump()
            case Request(operation=OpenJournal(group, epoch)):
                self._open(message, group, epoch)
            case Request(operation=Append() as append):
                self._append(message, append)
            case CloseJournal(group, epoch):
                log = self._log_by_group.get(group)
                if log is not None and log.epoch == epoch:
                    self._close(log, "the group was given up")

    def _open(self, request: Request, group: str, epoch: int) -> None:
        known = self._log_by_group.get(group)
        if known is not None:
            self._close(known, "the journal was opened again")
        log = GroupLog(self, self._writer, group, epoch, self._settings)
        self._log_by_group[group] = log
        self.start(log.open(request))

    def _append(self, request: Request, append: Append) -> None:
        log = self._log_by_group.get(append.group)
        if log is None or log.epoch != append.epoch:
            self.answer(request, NotCommitted(Ran.NO, "the group is not owned here"))
            return
        log.append(request, append)

    def _close(self, log: GroupLog, reason: str) -> None:
        if self._log_by_group.get(log.group) is log:
            del self._log_by_group[log.group]
        log.close(reason)

    def depose(self, log: GroupLog) -> None:
        """Give up a journal in which another owner has written.

        :param log: the journal whose segment was taken by another writer.
        """
        self._close(log, "another entry owns the group")
        for role in ("ownership", "scheduler"):
            self.emit(role, GroupDeposed(log.group, log.epoch))
