"""Forwards advice requests that the owner sends through this entry."""

from __future__ import annotations

from typing import Any

from ..peers.calls import AdviceAnswer
from ..runtime.flows import Call, Flow, FlowRole
from ..runtime.role import UPSTREAM, Request
from ..upstream.tasks import Advice, AskAdvice

__all__ = ["AdvisorRole"]

ADVISOR_TIMEOUT_S = 8.0


class AdvisorRole(FlowRole):
    """Sends each request to the advisor and returns its answer."""

    name = "advisor"
    tick_interval_s = None

    def __init__(self) -> None:
        super().__init__("advisor")

    def receive(self, message: Any) -> None:
        """Start a flow for each advice request."""
        if isinstance(message, Request) and isinstance(message.operation, AskAdvice):
            self.start(self._forward(message))

    def _forward(self, request: Request) -> Flow:
        result = yield Call(UPSTREAM, request.operation, ADVISOR_TIMEOUT_S)
        if isinstance(result, Advice):
            self.answer(request, AdviceAnswer(result))
        else:
            self.answer(request, AdviceAnswer(reason=str(result.reason)))
