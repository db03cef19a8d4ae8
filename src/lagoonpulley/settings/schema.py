"""Models that validate the settings file."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, field_validator

__all__ = [
    "AdmissionSettings",
    "ListenSettings",
    "LogSettings",
    "PolicySettings",
    "Settings",
    "StatsdSettings",
    "StoreSettings",
]

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Port = Annotated[int, Field(ge=0, le=65535)]
Seconds = Annotated[float, Field(gt=0, le=86_400)]


class _Model(BaseModel):
    """Base of all settings; rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def _check_ip(value: str) -> str:
    ipaddress.ip_address(value)
    return value


class ListenSettings(_Model):
    """Listen addresses of the entry; the kernel chooses a port for 0."""

    host: str = "127.0.0.1"
    http_port: Port = 0
    peer_port: Port = 0
    http_threads: Annotated[int, Field(ge=1, le=512)] = 64

    _host_is_ip = field_validator("host")(_check_ip)


class StoreSettings(_Model):
    """The platform's store; ``timeout_s`` is the timeout of one call in seconds."""

    url: Annotated[str, StringConstraints(pattern=r"^https?://[^\s]+$")]
    timeout_s: Seconds = 2.0


class StatsdSettings(_Model):
    """Address of the statsd server that receives metrics."""

    host: str
    port: Port = 8125

    _host_is_ip = field_validator("host")(_check_ip)


class LogSettings(_Model):
    """Log output; an empty ``file`` means standard error."""

    file: str = ""
    level: Literal["debug", "info", "warning", "error"] = "info"


class AdmissionSettings(_Model):
    """Limits on requests in flight and on waiting tasks.

    ``longest_wait_s`` limits the time in seconds that a caller may ask to wait.
    """

    waiting_callers: Annotated[int, Field(ge=1)] = 48
    bytes_in_flight: Annotated[int, Field(ge=1024)] = 64_000_000
    body_bytes: Annotated[int, Field(ge=1024, le=16_000_000)] = 1_000_000
    waiting_tasks: Annotated[int, Field(ge=1)] = 200_000
    waiting_tasks_per_team: Annotated[int, Field(ge=1)] = 20_000
    longest_wait_s: Seconds = 60.0


class PolicySettings(_Model):
    """Weights in the order in which teams are served.

    ``history_weight`` is how much past use counts beside present use,
    ``waiting_weight`` how much a minute of waiting offsets a whole share.
    """

    waiting_weight: Annotated[float, Field(ge=0, le=100)] = 0.0
    history_weight: Annotated[float, Field(ge=0, le=10)] = 0.0


class Settings(_Model):
    """Settings of one entry.

    ``data_centres`` names all data centres of the cell; ``seeds`` are peer
    addresses as ``IP:PORT``. Leases and intervals are in seconds. If workers reject
    commands of former owners (``workers_fence``), an owner continues for up to
    ``longest_without_store_s`` seconds after its session lease has expired; otherwise
    it stops when the lease expires.
    """

    entry_id: Name
    data_centre: Name
    data_centres: Annotated[tuple[Name, ...], Field(min_length=1, max_length=64)]
    listen: ListenSettings = ListenSettings()
    store: StoreSettings
    seeds: tuple[str, ...] = ()
    workers_fence: bool = True
    session_lease_s: Annotated[float, Field(ge=1, le=60)] = 3.0
    task_lease_s: Annotated[float, Field(ge=3, le=3600)] = 15.0
    longest_without_store_s: Annotated[float, Field(ge=0, le=86_400)] = 3600.0
    heartbeat_interval_s: Annotated[float, Field(ge=0.1, le=10)] = 1.0
    stop_deadline_s: Seconds = 20.0
    retention_s: Annotated[float, Field(ge=1, le=604_800)] = 3600.0
    retries_per_task: Annotated[int, Field(ge=0, le=100)] = 3
    admission: AdmissionSettings = AdmissionSettings()
    policy: PolicySettings = PolicySettings()
    log: LogSettings = LogSettings()
    statsd: StatsdSettings | None = None

    @field_validator("seeds")
    @classmethod
    def _seeds_are_addresses(cls, seeds: tuple[str, ...]) -> tuple[str, ...]:
        for seed in seeds:
            host, separator, port = seed.rpartition(":")
            if not separator or not port.isdigit() or not 0 < int(port) < 65536:
                raise ValueError(f"{seed!r} is not IP:PORT")
            _check_ip(host.strip("[]"))
        return seeds

    @field_validator("data_centres")
    @classmethod
    def _data_centres_are_distinct(cls, names: tuple[str, ...]) -> tuple[str, ...]:
        if len(set(names)) != len(names):
            raise ValueError("data_centres contains a name twice")
        return names

    def model_post_init(self, _context: object) -> None:
        """Check that fields are consistent with each other.

        :raises ValueError: when ``data_centre`` is not in ``data_centres``, or when
            ``task_lease_s`` is too short for ``session_lease_s``.
        """
        if self.data_centre not in self.data_centres:
            raise ValueError("data_centre is not one of data_centres")
        if self.task_lease_s < 2 * self.session_lease_s:
            raise ValueError("task_lease_s must be at least twice session_lease_s")
