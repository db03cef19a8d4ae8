"""The gRPC service between entries: one method per type of request."""

from __future__ import annotations

from dataclasses import dataclass

from ..store import messages as store
from ..store.route import STORE_RELAY
from ..upstream.tasks import AskAdvice
from .calls import AdviceAnswer
from .messages import (
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
from .store_relay import StoreAnswer

__all__ = ["METHOD_BY_REQUEST", "PeerMethod"]

SERVICE = "lagoonpulley.v1.Peer"


@dataclass(frozen=True, slots=True)
class PeerMethod:
    """A gRPC method, its request and answer types, and the role that serves it."""

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
    _method("StoreGet", store.Get, StoreAnswer, STORE_RELAY),
    _method("StoreReadRange", store.ReadRange, StoreAnswer, STORE_RELAY),
    _method("StoreWatch", store.WatchPrefix, StoreAnswer, STORE_RELAY),
    _method("StoreChange", store.Transaction, StoreAnswer, STORE_RELAY),
    _method("StoreGrantLease", store.GrantLease, StoreAnswer, STORE_RELAY),
    _method("StoreRenewLease", store.RenewLease, StoreAnswer, STORE_RELAY),
    _method("StoreRevokeLease", store.RevokeLease, StoreAnswer, STORE_RELAY),
)

METHOD_BY_REQUEST = {method.request_type: method for method in _METHODS}
