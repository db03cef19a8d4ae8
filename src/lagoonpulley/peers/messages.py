"""Messages of the protocol between entries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..model.job import Job
from ..model.verdict import Ran
from ..upstream.tasks import Advice

__all__ = [
    "AdviceAnswer",
    "AllotmentAnswer",
    "AskAllotment",
    "CancelJob",
    "ConfigurationAnswer",
    "ConfigurationOffer",
    "FetchConfiguration",
    "FetchJob",
    "GroupOwner",
    "Heartbeat",
    "HeartbeatAnswer",
    "JobAnswer",
    "JobStatus",
    "JobVerdict",
    "PeerCall",
    "PeerInfo",
    "Refusal",
    "SubmitAnswer",
    "SubmitJobs",
    "TaskStatusView",
]


@dataclass(frozen=True, slots=True)
class PeerInfo:
    """What an entry tells about itself; ``address`` is ``IP:PORT``."""

    entry_id: str
    incarnation: int
    data_centre: str
    address: str
    http_address: str = ""
    leaving: bool = False
    configuration_revision: int = 0


@dataclass(frozen=True, slots=True)
class GroupOwner:
    """Which entry owns a group of workers, and since which epoch."""

    group: str
    epoch: int
    entry_id: str
    address: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sign of life; ``suspects`` asks whether the receiver has heard of them."""

    sender: PeerInfo
    owners: tuple[GroupOwner, ...] = ()
    suspects: tuple[str, ...] = ()
    members: tuple[PeerInfo, ...] = ()


@dataclass(frozen=True, slots=True)
class HeartbeatAnswer:
    """Answer to a heartbeat; ``vouched`` names suspects heard of lately."""

    sender: PeerInfo
    owners: tuple[GroupOwner, ...] = ()
    vouched: tuple[str, ...] = ()
    members: tuple[PeerInfo, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """A configuration document for entries that have a lower revision."""

    revision: int
    document: str


@dataclass(frozen=True, slots=True)
class FetchConfiguration:
    """Ask for a configuration above a revision."""

    above_revision: int


@dataclass(frozen=True, slots=True)
class ConfigurationAnswer:
    """The revision in force, and its document when the asker needs it."""

    revision: int
    document: str = ""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request was not carried out.

    ``code`` is one of the problem codes of the callers' interface;
    ``retry_after_s`` is 0 when asking again is of no use.
    """

    code: str
    ran: Ran
    detail: str
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class JobVerdict:
    """Outcome of the submission of one job."""

    job_id: str
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class SubmitJobs:
    """Jobs for the owner of a group; answered within ``deadline_s`` seconds."""

    group: str
    jobs: tuple[Job, ...]
    deadline_s: float
    origin: str = ""


@dataclass(frozen=True, slots=True)
class SubmitAnswer:
    """One verdict per job, or a refusal of all of them."""

    verdicts: tuple[JobVerdict, ...] = ()
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class FetchJob:
    """Ask for a job's state, waiting up to ``wait_s`` seconds for its end.

    ``team`` is empty for operators, who see every job.
    """

    group: str
    job_id: str
    wait_s: float
    team: str = ""


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancel a job; answered with its state."""

    group: str
    job_id: str
    team: str = ""


@dataclass(frozen=True, slots=True)
class TaskStatusView:
    """State of one task as callers see it."""

    index: int
    state: str
    attempt: int
    worker: str
    output: str
    output_bytes: int
    output_digest: str
    reason: str


@dataclass(frozen=True, slots=True)
class JobStatus:
    """State of a job as callers see it."""

    job_id: str
    team: str
    queue: str
    state: str
    ran: Ran
    tasks: tuple[TaskStatusView, ...]


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """State of the job asked for, or why it cannot be told."""

    status: JobStatus | None = None
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class AskAllotment:
    """Ask another data centre for parts of a team's limit.

    ``since`` is the wall-clock time since which a job waits for them.
    """

    team: str
    parts: int
    since: float


@dataclass(frozen=True, slots=True)
class AllotmentAnswer:
    """How many parts were given up, so that they may be taken."""

    parts: int


@dataclass(frozen=True, slots=True)
class AdviceAnswer:
    """What an advisor said to an entry, or why it said nothing."""

    advice: Advice | None = None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class PeerCall:
    """A message on its way to the entry at ``address`` (``IP:PORT``)."""

    address: str
    message: Any
