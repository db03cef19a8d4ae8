"""Whose work a request is: queues, keys and staleness."""

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
    """The configuration as gateway threads read it."""

    def __init__(self, clocks: Callable[[], Now]) -> None:
        self._clocks = clocks
        self._lock = threading.Lock()
        self._document: ConfigurationDocument | None = None
        self._confirmed_at = float("-inf")

    def submit(self, message: Any) -> None:
        """Take news of the configuration role."""
        with self._lock:
            if isinstance(message, ConfigurationChanged):
                self._document = message.document
            elif isinstance(message, ConfigurationConfirmed):
                self._confirmed_at = max(self._confirmed_at, message.at)

    def close(self) -> None:
        """Nothing to release; part of the port interface."""

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is in force here."""
        return self._document is not None

    @property
    def revision(self) -> int:
        """The revision in force, or 0."""
        document = self._document
        return document.revision if document is not None else 0

    def team_for_queue(self, queue: str, key: str | None) -> str:
        """Return the team for which work in a queue is accepted.

        :param key: the key that the caller presented, if any.
        :raises Problem: when the queue is unknown or the key does not open it.
        """
        document = self._require()
        entry = document.queues.get(queue)
        if entry is None:
            raise Problem("unknown_queue", Ran.NO, f"there is no queue {queue}")
        if entry.open:
            return entry.team
        team = self.team_of_key(key)
        if team != entry.team:
            raise Problem("wrong_team", Ran.NO, f"queue {queue} is another team's")
        return team

    def team_of_key(self, key: str | None) -> str:
        """Return the team that a key belongs to.

        :raises Problem: when there is no key, it is not in force, or the team is
            strict and the configuration here is stale.
        """
        document = self._require()
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
        """Return whether a queue needs no key."""
        entry = self._require().queues.get(queue)
        return entry is not None and entry.open

    def _is_stale(self) -> bool:
        return self._clocks().mono - self._confirmed_at > STALE_AFTER_S

    def _require(self) -> ConfigurationDocument:
        document = self._document
        if document is None:
            raise Problem(
                "not_ready",
                Ran.NO,
                "no configuration is in force here yet",
                NOT_READY_RETRY_S,
            )
        return document
