"""Decodes the policy document and the workers' records in the platform's store."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Literal

from expression import Error, Ok, Result
from pydantic import BaseModel, Field, ValidationError

from ..model.address import Address
from ..model.resources import Resources
from ..policy.values import AdvicePolicy, Policy, Queue, Service, TeamLimits
from ..upstream.directory import WorkerInfo
from .ranges import Amount, BoundedInteger, BoundedNumber, Incarnation, Whole

if TYPE_CHECKING:
    from ..store.messages import KeyValue

__all__ = ["PlatformDirectory", "PlatformDrains", "PlatformPolicy"]

MS_PER_S = 1000
# Commands to a worker carry its identifier in a header; no key is longer.
WORKER_ID = re.compile(r"[!-~]{1,200}")


class _Amounts(BaseModel):
    cpu: BoundedInteger = 0
    mem_mb: BoundedInteger = Field(0, alias="memMb")
    gpu: BoundedInteger = 0

    def to_resources(self) -> Resources:
        """Return the amounts as resources; ``cpu`` is in thousandths of a core."""
        return Resources(self.cpu, self.mem_mb, self.gpu)


class _Capacity(_Amounts):
    cpu: Amount = 0
    mem_mb: Amount = Field(0, alias="memMb")
    gpu: Amount = 0


class _Advice(BaseModel):
    """How long the advisor needs for a request, and how long its answer is valid."""

    decide_ms: BoundedNumber = Field(0.0, alias="decideMs")
    each_ms: BoundedNumber = Field(0.0, alias="eachMs")
    valid_ms: BoundedNumber = Field(0.0, alias="validMs")

    def to_policy(self) -> AdvicePolicy:
        """Return the advice policy with its times in seconds."""
        return AdvicePolicy(
            self.decide_ms / MS_PER_S,
            self.each_ms / MS_PER_S,
            self.valid_ms / MS_PER_S,
        )


class _Route(BaseModel):
    """A route of the platform, which is a queue of the scheduler.

    A job should finish within the estimated time of its critical path times
    ``slackFactor``, plus ``targetDurationMs``.
    """

    name: str
    host: str = ""
    prefix: str
    service: str
    priority: BoundedInteger = 0
    max_attempts: BoundedInteger = Field(1, alias="maxAttempts")
    slack_factor: BoundedNumber = Field(1.0, alias="slackFactor")
    target_ms: BoundedNumber = Field(0.0, alias="targetDurationMs")
    timeout_ms: BoundedNumber = Field(0.0, alias="timeoutMs")
    public: bool = False
    advice: _Advice | None = None

    def to_queue(self) -> Queue:
        """Return the route as a queue."""
        return Queue(
            self.name,
            self.host,
            self.prefix,
            self.service,
            self.priority,
            max(1, self.max_attempts),
            self.slack_factor,
            self.target_ms / MS_PER_S,
            self.timeout_ms / MS_PER_S,
            self.public,
            self.advice.to_policy() if self.advice else None,
        )


class _Service(BaseModel):
    name: str
    enforces_capacity: bool = Field(False, alias="enforcesCapacity")


class _Tenant(BaseModel):
    """A team; ``cap`` limits what it may have running across all workers."""

    name: str
    api_keys: list[str] = Field(default_factory=list, alias="apiKeys")
    weight: BoundedNumber = 1.0
    cap: _Amounts | None = None


class _Limits(BaseModel):
    most_body_bytes: BoundedInteger = Field(0, alias="maxBodyBytes")


class _Config(BaseModel):
    version: BoundedInteger
    routes: list[_Route] = Field(default_factory=list)
    services: list[_Service] = Field(default_factory=list)
    tenants: list[_Tenant] = Field(default_factory=list)
    limits: _Limits = Field(default_factory=_Limits)


class PlatformPolicy:
    """Decodes the operators' policy document."""

    key = "op/config"

    def decode(self, item: KeyValue) -> Result[Policy, str]:
        """See :class:`~..policy.role.PolicyDecoder`."""
        try:
            config = _Config.model_validate_json(item.value)
        except ValidationError as error:
            return Error(f"document has {error.error_count()} invalid fields")
        team_by_api_key = {
            key: tenant.name for tenant in config.tenants for key in tenant.api_keys
        }
        teams = [
            TeamLimits(
                tenant.name,
                tenant.weight,
                tenant.cap.to_resources() if tenant.cap else Resources(),
            )
            for tenant in config.tenants
        ]
        return Ok(
            Policy(
                version=config.version,
                revision=item.revision,
                queue_by_name={r.name: r.to_queue() for r in config.routes},
                service_by_name={
                    s.name: Service(s.name, s.enforces_capacity)
                    for s in config.services
                },
                team_by_name={team.name: team for team in teams},
                team_by_api_key=team_by_api_key,
                max_body_bytes=config.limits.most_body_bytes,
            )
        )


class _Server(BaseModel):
    """A worker's record; the first of ``labels`` is its kind, the second its rack.

    Unused fields are validated too: a record that lacks one was not written by a
    worker. The remaining time of a drain may have passed.
    """

    service: str
    address: Address
    zone: str
    version: str
    slots: Whole
    state: Literal["ready", "draining"]
    seq: Whole
    capacity: _Capacity
    # Counting every fault of a long list would take the owner's time at each reading.
    labels: list[str] = Field(fail_fast=True)
    born: Incarnation
    drain_remaining_ms: BoundedNumber = Field(0.0, alias="drainRemainingMs")


class PlatformDirectory:
    """Decodes the workers' records."""

    prefix = "servers/"

    def decode(self, item: KeyValue) -> Result[WorkerInfo, str]:
        """See :class:`~..upstream.directory.DirectoryDecoder`."""
        try:
            server = _Server.model_validate_json(item.value, strict=True)
        except ValidationError as error:
            return Error(f"worker record has {error.error_count()} invalid fields")
        worker_id = item.key.removeprefix(self.prefix)
        if WORKER_ID.fullmatch(worker_id) is None:
            return Error("worker record has no identifier that can be sent")
        return Ok(
            WorkerInfo(
                id=worker_id,
                service=server.service,
                address=server.address,
                data_centre=server.zone,
                capacity=server.capacity.to_resources(),
                labels=tuple(server.labels),
                rack=server.labels[1] if len(server.labels) > 1 else "",
                born=server.born,
                draining=server.state == "draining",
                drain_remaining_s=server.drain_remaining_ms / MS_PER_S,
            )
        )


class PlatformDrains:
    """Decoder of the operators' requests to drain a data centre."""

    prefix = "op/evacuate/"

    def data_centre_of(self, item: KeyValue) -> str:
        """Return the data centre of a request, which its key names."""
        return item.key.removeprefix(self.prefix)
