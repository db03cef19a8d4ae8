"""Messages of the actor runtime, and the interface that every role implements."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

__all__ = [
    "CALLERS",
    "PEERS",
    "STORE",
    "TICK_INTERVAL_S",
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

# Names of the ports to which roles send messages.
STORE = "store"
UPSTREAM = "upstream"
PEERS = "peers"
CALLERS = "callers"
WAKE = "wake"

TICK_INTERVAL_S = 0.2


class Now(NamedTuple):
    """The monotonic and the wall-clock time, read together, in seconds."""

    mono: float
    wall: float


@dataclass(frozen=True, slots=True)
class Send:
    """A message to be delivered to a role or port of the same process."""

    to: str
    message: Any


@dataclass(frozen=True, slots=True)
class Request:
    """An operation that requires exactly one :class:`Reply`.

    ``timeout_s`` is the timeout in seconds, after which a port replies with
    :class:`CallFailed`. With a ``total_timeout_s``, the call may take up to that time,
    and ``timeout_s`` limits how long no part of the answer arrives. A store call that
    another entry relays may take up to ``relayed_timeout_s``, if it is given.
    """

    request_id: str
    reply_to: str
    operation: Any
    timeout_s: float
    total_timeout_s: float | None = None
    relayed_timeout_s: float | None = None


@dataclass(frozen=True, slots=True)
class Reply:
    """The result of the request that has the same identifier."""

    request_id: str
    result: Any


@dataclass(frozen=True, slots=True)
class CallFailed:
    """Result of a call that was not sent or got no valid answer.

    ``ran`` says whether the call may have taken effect. ``partial`` means that part of
    an answer arrived, so the other side was reachable. ``closed`` means that the other
    side refused the connection or closed it. ``refused`` means that the other side has
    answered, and that the same call will be refused again.
    """

    ran: Any
    reason: str
    partial: bool = False
    closed: bool = False
    refused: bool = False


@dataclass(frozen=True, slots=True)
class Tick:
    """Message sent to a role at its interval and when a requested delay has passed.

    Roles check their timeouts and pauses when they receive it.
    """


@dataclass(frozen=True, slots=True)
class WakeAfter:
    """Request a :class:`Tick` for a role after ``delay_s`` seconds."""

    role: str
    delay_s: float


class Role(Protocol):
    """An actor: its state belongs to one thread and changes only by messages.

    ``tick_interval_s`` is the interval of its ticks in seconds; ``None`` for a single
    one at the start.
    """

    name: str
    tick_interval_s: float | None

    def handle(self, message: Any, now: Now) -> list[Send]:
        """Process one message and return the messages to send in response.

        :param message: the received message.
        :param now: clocks as read before processing.
        """
        ...

    def kind_of(self, message: Any) -> str:
        """Return the kind of a message, a name for metrics from a small set.

        Called before :meth:`handle`.
        """
        ...
