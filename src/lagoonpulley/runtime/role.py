"""Messages between roles, and the interface that every role implements."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

__all__ = [
    "CALLERS",
    "PEERS",
    "STORE",
    "UPSTREAM",
    "WAKE",
    "CallFailed",
    "Now",
    "Reply",
    "Request",
    "Role",
    "Send",
    "Tick",
    "WakeAfter",
]

STORE = "store"
UPSTREAM = "upstream"
PEERS = "peers"
CALLERS = "callers"
WAKE = "wake"


class Now(NamedTuple):
    """One reading of both clocks, in seconds."""

    mono: float
    wall: float


@dataclass(frozen=True, slots=True)
class Send:
    """A message on its way to a role or port of the same process."""

    to: str
    message: Any


@dataclass(frozen=True, slots=True)
class Request:
    """An operation that wants exactly one :class:`Reply`.

    ``timeout_s`` bounds the wait in seconds; a port answers with
    :class:`CallFailed` once it has passed.
    """

    request_id: str
    reply_to: str
    operation: Any
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to the request with the same identifier."""

    request_id: str
    result: Any


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call without an answer, and whether it may have had an effect."""

    ran: Any
    reason: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic message that lets a role look at the clock."""


@dataclass(frozen=True, slots=True)
class WakeAfter:
    """Ask for a :class:`Tick` to a role after ``delay_s`` seconds."""

    role: str
    delay_s: float


class Role(Protocol):
    """State that one thread owns and that only messages change."""

    name: str

    def handle(self, message: Any, now: Now) -> list[Send]:
        """Process one message and return the messages that follow from it.

        :param message: the message received.
        :param now: clocks as read when processing began.
        """
        ...
