"""Requests to the journal role and their results."""

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
    """Open the journal of a group: fence lower epochs and read all documents."""

    group: str
    epoch: int


@dataclass(frozen=True, slots=True)
class JournalOpened:
    """All documents of the group by key."""

    document_by_key: dict[str, str]


@dataclass(frozen=True, slots=True)
class JournalRefused:
    """The journal could not be opened.

    ``is_permanent`` means that retrying is of no use and an operator has to act.
    """

    reason: str
    is_permanent: bool


@dataclass(frozen=True, slots=True)
class Append:
    """Write and remove documents in one commit.

    A ``fail_fast`` append is refused at once while store writes fail; any other
    append stays queued until the store can be written again.
    """

    group: str
    epoch: int
    puts: tuple[tuple[str, str], ...]
    deletes: tuple[str, ...] = ()
    fail_fast: bool = False


@dataclass(frozen=True, slots=True)
class Committed:
    """The documents of an append are durable."""


@dataclass(frozen=True, slots=True)
class NotCommitted:
    """The documents of an append are not known to be durable.

    ``ran`` says whether they may have been written all the same.
    """

    ran: Ran
    reason: str


@dataclass(frozen=True, slots=True)
class CloseJournal:
    """Close the journal of a group that this entry no longer owns."""

    group: str
    epoch: int
