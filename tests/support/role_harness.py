"""Runs a single role without actors; the test answers the requests of the role."""

from __future__ import annotations

from typing import Any

from lagoonpulley.runtime.role import Now, Reply, Request, Tick
from lagoonpulley.settings.schema import Settings


def make_settings(**changes: Any) -> Settings:
    """Return the settings of an entry, with changed or added values."""
    values = {
        "entry_id": "timisoara-1",
        "data_centre": "timisoara",
        "data_centres": ["timisoara", "arad"],
        "store": {"url": "http://127.0.0.1:1"},
    }
    return Settings.model_validate(values | changes)


class RoleHarness:
    """A role with a manual clock, its open requests and the other messages it sent."""

    def __init__(self, role: Any) -> None:
        self.role = role
        self.time = 0.0
        self.open_requests: list[tuple[str, Request]] = []
        self.sent: list[tuple[str, Any]] = []

    def send(self, message: Any) -> None:
        """Deliver a message to the role, and record what the role sends."""
        for send in self.role.handle(message, Now(self.time, 1000.0 + self.time)):
            if isinstance(send.message, Request):
                self.open_requests.append((send.to, send.message))
            else:
                self.sent.append((send.to, send.message))

    def tick(self, seconds: float = 0.0) -> None:
        """Advance the clock and deliver a tick."""
        self.time += seconds
        self.send(Tick())

    def pop_request(self, message_type: type) -> Request:
        """Remove and return the first open request of a type.

        The type is that of the operation, or of the message in a call to a peer.
        """
        for index, (_, request) in enumerate(self.open_requests):
            operation = getattr(request.operation, "message", request.operation)
            if isinstance(operation, message_type):
                return self.open_requests.pop(index)[1]
        raise AssertionError(
            f"no open {message_type.__name__} among {self.open_requests}"
        )

    def reply(self, request: Request, result: Any) -> None:
        """Answer a request of the role."""
        self.send(Reply(request.request_id, result))

    def sent_of_type(self, message_type: type) -> list[Any]:
        """Return the recorded messages of a type, in the order of sending."""
        return [
            message for _, message in self.sent if isinstance(message, message_type)
        ]
