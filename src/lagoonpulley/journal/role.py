"""Role that writes the journals of the worker groups that this entry owns."""

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
        """Return the journal role of one process.

        :param incarnation: number that differs between restarts of the process.
        """
        return cls(entry_id, incarnation, settings)

    def receive(self, message: Any) -> None:
        """Process a tick or a request from the scheduler."""
        match message:
            case Tick():
                for log in list(self._log_by_group.values()):
                    log.start_due_work()
            case Request(operation=OpenJournal(group, epoch)):
                self._open(message, group, epoch)
            case Request(operation=Append() as append):
                self._append(message, append)
            case CloseJournal(group, epoch):
                log = self._log_by_group.get(group)
                if log is not None and log.epoch == epoch:
                    self._close(log, "the group was given up")

    def _open(self, request: Request, group: str, epoch: int) -> None:
        previous = self._log_by_group.get(group)
        if previous is not None:
            self._close(previous, "the journal was opened again")
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

    def handle_lost_ownership(self, log: GroupLog) -> None:
        """Close a journal that another owner has fenced, and report the lost group.

        :param log: the journal whose next segment number another writer has used.
        """
        self._close(log, "another entry owns the group")
        for role in ("ownership", "scheduler"):
            self.emit(role, GroupDeposed(log.group, log.epoch))
