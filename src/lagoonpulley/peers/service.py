"""The gRPC service between entries: one method per kind of message."""

from __future__ import annotations

from dataclasses import dataclass

from ..intake import messages as intake
from ..policy.messages import AskPolicy, PolicyAnswer
from ..upstream.tasks import AskAdvice
from .messages import (
    AdviceAnswer,
    AllotmentAnswer,
    AskAllotment,
    CancelJob,
    ConfigurationAnswer,
    ConfigurationOffer,
    FetchConfiguration,
    FetchJob,
    Heartbeat,
    HeartbeatAnswer,
    JobAnswer,
    SubmitAnswer,
    SubmitJobs,
)

__all__ = ["METHOD_BY_REQUEST", "PeerMethod"]

SERVICE = "lagoonpulley.v1.Peer"


@dataclass(frozen=True, slots=True)
class PeerMethod:
    """A method, its types and the role that answers it."""

    path: str
    request_type: type
    answer_type: type
    role: str


def _method(name: str, request_type: type, answer_type: type, role: str) -> PeerMethod:
    return PeerMethod(f"/{SERVICE}/{name}", request_type, answer_type, role)


_METHODS = (
    _method("Heartbeat", Heartbeat, HeartbeatAnswer, "membership"),
    _method("Submit", SubmitJobs, SubmitAnswer, "scheduler"),
    _method("Fetch", FetchJob, JobAnswer, "scheduler"),
    _method("Cancel", CancelJob, JobAnswer, "scheduler"),
    _method("AskAllotment", AskAllotment, AllotmentAnswer, "limits"),
    _method("Offer", ConfigurationOffer, ConfigurationAnswer, "configuration"),
    _method(
        "FetchConfiguration", FetchConfiguration, ConfigurationAnswer, "configuration"
    ),
    _method("AskAdvice", AskAdvice, AdviceAnswer, "advisor"),
    _method("AskPolicy", AskPolicy, PolicyAnswer, "policy"),
    _method("SubmitStepJob", intake.SubmitJob, intake.Outcome, "intake"),
    _method("CancelStepJob", intake.CancelJob, intake.Outcome, "intake"),
    _method("ReadState", intake.ReadState, intake.Outcome, "intake"),
    _method("ReadPending", intake.ReadPending, intake.Outcome, "intake"),
)

METHOD_BY_REQUEST = {method.request_type: method for method in _METHODS}
