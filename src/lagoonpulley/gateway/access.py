"""Authenticates callers and checks their access to queues."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any

from ..configuration.keys import authenticate
from ..configuration.messages import ConfigurationChanged, ConfigurationConfirmed
from ..model.verdict import Ran
from .problems import Problem

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..configuration.document import ConfigurationDocument
    from ..runtime.role import Now

__all__ = ["AccessControl"]

STALE_AFTER_S = 30.0
NOT_READY_RETRY_S = 1.0


class AccessControl:
    """Checks keys and queues against the latest configuration.

    The configuration role submits changes; gateway threads read them.
    """

    def __init__(self, clocks: Callable[[], Now]) -> None:
        self._clocks = clocks
        self._lock = threading.Lock()
        self._document: ConfigurationDocument | None = None
        self._confirmed_at = float("-inf")

    def submit(self, message: Any) -> None:
        """Store a changed configuration, or the time of its last confirmation."""
        with self._lock:
            if isinstance(message, ConfigurationChanged):
                self._document = message.document
            elif isinstance(message, ConfigurationConfirmed):
                self._confirmed_at = max(self._confirmed_at, message.at)

    def close(self) -> None:
        """Do nothing: there is no resource to release; required of every port."""

    @property
    def is_ready(self) -> bool:
        """Whether a configuration has been received."""
        return self._document is not None

    @property
    def revision(self) -> int:
        """Revision of the current configuration, or 0 before the first one."""
        document = self._document
        return document.revision if document is not None else 0

    def team_for_queue(self, queue: str, key: str | None) -> str:
        """Return the team that owns jobs submitted to a queue.

        :param key: the key that the caller presented, if any.
        :raises Problem: when the queue is unknown or the key gives no access to it.
        """
        document = self._require_document()
        queue_entry = document.queues.get(queue)
        if queue_entry is None:
            raise Problem("unknown_queue", Ran.NO, f"there is no queue {queue}")
        if queue_entry.open:
            return queue_entry.team
        team = self.team_of_key(key)
        if team != queue_entry.team:
            raise Problem("wrong_team", Ran.NO, f"queue {queue} is another team's")
        return team

    def team_of_key(self, key: str | None) -> str:
        """Return the team that a key belongs to.

        :raises Problem: when the key is missing or unknown, or when the team is
            strict and the configuration of this entry is stale.
        """
        document = self._require_document()
        if not key:
            raise Problem("key_missing", Ran.NO, "a key is needed: Authorization")
        team = authenticate(document, key)
        if team is None:
            raise Problem("key_unknown", Ran.NO, "the key is not in force")
        if document.teams[team].strict and self._is_stale():
            raise Problem(
                "configuration_stale",
                Ran.NO,
                f"team {team} is strict and the configuration here is stale",
                STALE_AFTER_S,
            )
        return team

    def is_open_queue(self, queue: str) -> bool:
        """Return whether a queue accepts requests without a key."""
        queue_entry = self._require_document().queues.get(queue)
        return queue_entry is not None and queue_entry.open

    def _is_stale(self) -> bool:
        return self._clocks().mono - self._confirmed_at > STALE_AFTER_S

    def _require_document(self) -> ConfigurationDocument:
        document = self._document
        if document is None:
            raise Problem(
                "not_ready",
                Ran.NO,
                "no configuration is in force here yet",
                NOT_READY_RETRY_S,
            )
        return document
