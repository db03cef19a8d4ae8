"""Drives a single role by hand, with every call it makes in sight."""

from __future__ import annotations

from typing import Any

from lagoonpulley.runtime.role import Now, Reply, Request, Tick
from lagoonpulley.settings.schema import Settings


def make_settings(**changes: Any) -> Settings:
    values = {
        "entry_id": "timisoara-1",
        "data_centre": "timisoara",
        "data_centres": ["timisoara", "arad"],
        "store": {"url": "http://127.0.0.1:1"},
    }
    return Settings.model_validate(values | changes)


class RoleHarness:
    """A role, a clock, the requests it has open and what else it sent."""

    def __init__(self, role: Any) -> None:
        self.role = role
        self.time = 0.0
        self.open_requests: list[tuple[str, Request]] = []
        self.sent: list[tuple[str, Any]] = []

    def send(self, message: Any) -> None:
        for send in self.role.handle(message, Now(self.time, 1000.0 + self.time)):
            if isinstance(send.message, Request):
                self.open_requests.append((send.to, send.message))
            else:
                self.sent.append((send.to, send.message))

    def tick(self, seconds: float = 0.0) -> None:
        self.time += seconds
        self.send(Tick())

    def pop_request(self, kind: type) -> Request:
        """Return the first open request for an operation of a kind."""
        for index, (_, request) in enumerate(self.open_requests):
            operation = getattr(request.operation, "message", request.operation)
            if isinstance(operation, kind):
                return self.open_requests.pop(index)[1]
        raise AssertionError(f"no open {kind.__name__} in {self.open_requests}")

    def reply(self, request: Request, result: Any) -> None:
        self.send(Reply(request.request_id, result))

    def sent_of_type(self, kind: type) -> list[Any]:
        return [message for _, message in self.sent if isinstance(message, kind)]
