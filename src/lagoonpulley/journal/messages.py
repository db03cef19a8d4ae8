"""Requests to the journal and their results."""

from __future__ import annotations

from dataclasses import dataclass

from ..model.verdict import Ran

__all__ = [
    "Append",
    "CloseJournal",
    "Committed",
    "JournalOpened",
    "JournalRefused",
    "NotCommitted",
    "OpenJournal",
]


@dataclass(frozen=True, slots=True)
class OpenJournal:
    """Fence the journal of a group under an epoch and read all documents."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class JournalOpened:
    """All documents of the group by key."""

    document_by_key: dict[str, str]


@dataclass(frozen=True, slots=True)
class JournalRefused:
    """The journal cannot be used; ``is_permanent`` asks for an operator."""

    reason: str
    is_permanent: bool


@dataclass(frozen=True, slots=True)
class Append:
    """Write and remove documents in one commit.

    A ``fail_fast`` append is refused at once while the store cannot be written;
    any other waits for it.
    """

    group: str
    epoch: int
    puts: tuple[tuple[str, str], ...]
    deletes: tuple[str, ...] = ()
    fail_fast: bool = False


@dataclass(frozen=True, slots=True)
class Committed:
    """The documents are durable."""


@dataclass(frozen=True, slots=True)
class NotCommitted:
    """The documents are not known to be durable."""

    ran: Ran
    reason: str


@dataclass(frozen=True, slots=True)
class CloseJournal:
    """Forget the journal of a group that this entry no longer owns."""

    group: str
    epoch: int
