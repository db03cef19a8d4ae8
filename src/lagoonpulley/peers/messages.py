"""Messages of the gRPC protocol between entries."""

from __future__ import annotations

from dataclasses import dataclass

from ..model.job import Job
from ..model.verdict import Ran

__all__ = [
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
    "PeerInfo",
    "Refusal",
    "SubmitAnswer",
    "SubmitJobs",
    "TaskStatusView",
]


@dataclass(frozen=True, slots=True)
class PeerInfo:
    """Description of an entry by itself; ``address`` is ``IP:PORT``.

    ``incarnation`` grows with each restart of the process.
    """

    entry_id: str
    incarnation: int
    data_centre: str
    address: str
    http_address: str = ""
    leaving: bool = False
    configuration_revision: int = 0


@dataclass(frozen=True, slots=True)
class GroupOwner:
    """The entry that owns a group of workers, and the epoch of its ownership.

    ``entry_id`` and ``address`` are empty after the owner has released the group.
    """

    group: str
    epoch: int
    entry_id: str
    address: str


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic health check between entries.

    ``suspects`` lists entries from which the sender no longer hears; the receiver
    answers from which of them it has heard recently. ``owners`` and ``members`` are
    samples of the owners and live entries that the sender knows.
    """

    sender: PeerInfo
    owners: tuple[GroupOwner, ...] = ()
    suspects: tuple[str, ...] = ()
    members: tuple[PeerInfo, ...] = ()


@dataclass(frozen=True, slots=True)
class HeartbeatAnswer:
    """Answer to a heartbeat.

    ``vouched`` lists the suspects from which the receiver has heard recently.
    """

    sender: PeerInfo
    owners: tuple[GroupOwner, ...] = ()
    vouched: tuple[str, ...] = ()
    members: tuple[PeerInfo, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """A configuration document, offered to entries that have a lower revision."""

    revision: int
    document: str


@dataclass(frozen=True, slots=True)
class FetchConfiguration:
    """Request a configuration that is newer than a revision."""

    above_revision: int


@dataclass(frozen=True, slots=True)
class ConfigurationAnswer:
    """The applied revision, with its document if the requester's one is older."""

    revision: int
    document: str = ""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Reason why a request was not executed.

    ``code`` is a problem code of the HTTP interface for callers. ``retry_after_s``
    is 0 if a retry is of no use.
    """

    code: str
    ran: Ran
    detail: str
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class JobVerdict:
    """Result of the submission of one job; accepted if ``refusal`` is ``None``."""

    job_id: str
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class SubmitJobs:
    """Submit jobs to the owner of a group.

    ``deadline_s`` is the sender's timeout in seconds and ``origin`` its identifier;
    the owner uses neither.
    """

    group: str
    jobs: tuple[Job, ...]
    deadline_s: float
    origin: str = ""


@dataclass(frozen=True, slots=True)
class SubmitAnswer:
    """One verdict per job, or one refusal of all jobs."""

    verdicts: tuple[JobVerdict, ...] = ()
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class FetchJob:
    """Fetch the state of a job, waiting up to ``wait_s`` seconds for its end.

    ``team`` is empty for operators, who see every job.
    """

    group: str
    job_id: str
    wait_s: float
    team: str = ""


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancel a job; the answer is its state."""

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
    """State of a job as callers see it.

    ``ran`` says whether any attempt of any of its tasks ran.
    """

    job_id: str
    team: str
    queue: str
    state: str
    ran: Ran
    tasks: tuple[TaskStatusView, ...]


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """State of the requested job, or the reason why it is not available."""

    status: JobStatus | None = None
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class AskAllotment:
    """Request parts of a team's limit from another data centre.

    ``since`` is the wall-clock time since which a job has been waiting for them.
    """

    team: str
    parts: int
    since: float


@dataclass(frozen=True, slots=True)
class AllotmentAnswer:
    """Number of parts that were released, so that the requester may claim them."""

    parts: int
