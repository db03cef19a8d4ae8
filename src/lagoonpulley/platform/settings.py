"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result
from pydantic import BaseModel, Field, ValidationError

from ..owner.settings import DEFAULT_VALUE_BYTES, ShareSettings
from .validation_errors import format_validation_error

__all__ = ["SETTINGS_VARIABLE", "PlatformSettings", "read_settings"]

SETTINGS_VARIABLE = "LAGOONPULLEY_SETTINGS"
MS_PER_S = 1000
BYTES_PER_MEGABIT = 125_000
MILLI_PER_PROCESSOR = 1000


class _Listen(BaseModel):
    """Listen addresses: ``front`` for callers, ``ready`` for the load balancer."""

    front: str
    ready: str
    control: str = ""


class _Bounds(BaseModel):
    """Time limits; ``configMs`` is how soon a stored policy must be in force.

    ``evacMs`` is how soon the drain of a data centre must be in force; without it,
    operators do not drain data centres.
    """

    config_ms: int = Field(2000, alias="configMs", gt=0)
    evacuate_ms: int | None = Field(None, alias="evacMs")
    hold_max_ms: int = Field(6000, alias="holdMaxMs")
    stop_ms: int = Field(200, alias="stopMs")
    gang_ms: int = Field(3000, alias="gangMs")
    early_ms: int = 250
    status_s: int = 120
    grace_s: float = Field(6.0, alias="graceS")


class _Platform(BaseModel):
    address: str
    ttl_min_ms: int = Field(1000, alias="ttlMinMs")
    writes_per_s: float | None = Field(None, alias="writesPerS")
    reads_per_s: float | None = Field(None, alias="readsPerS")
    value_bytes: int = Field(DEFAULT_VALUE_BYTES, alias="valueBytes", gt=0)


class _Cloud(BaseModel):
    address: str = ""


class _Limits(BaseModel):
    """Limits of the process; ``cores`` multiplies the speed of its processor share."""

    cpu_share: float = Field(0.0, alias="cpuShare", ge=0, allow_inf_nan=False)
    cores: int = Field(1, ge=0)
    link_mbps: float = Field(0.0, alias="linkMbps", ge=0, allow_inf_nan=False)
    memory_mb: float = Field(0.0, alias="memoryMb", ge=0, allow_inf_nan=False)
    max_descriptors: int = Field(0, alias="maxFds", ge=0)


class _Shares(BaseModel):
    """How teams share a full cell; see :class:`~.owner.settings.ShareSettings`."""

    half_life_s: float = Field(gt=0, allow_inf_nan=False)
    max_past_excess: float = Field(1.0, ge=0, allow_inf_nan=False)

    def to_settings(self) -> ShareSettings:
        """Return the settings of the owner role."""
        return ShareSettings(self.half_life_s, self.max_past_excess)


class _Wrapped(BaseModel):
    """The platform's settings of a process, and those of this deployment beside it."""

    process: dict[str, Any]
    shares: _Shares | None = None


class _File(BaseModel):
    node: str
    zone: str
    ip: str
    listen: _Listen
    port_range: tuple[int, int] = Field(alias="portRange")
    platform: _Platform
    bounds: _Bounds = Field(default_factory=_Bounds)
    limits: _Limits | None = None
    advice: str = ""
    cloud: _Cloud | None = None


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of one entry on the platform.

    Addresses are ``IP:PORT``, times are in seconds. ``longest_worker_lease_s`` is the
    longest time that a worker keeps its tasks running without a lease extension,
    ``early_s`` how long before its scheduled time an occurrence of a repeated job may
    start, ``policy_delay_s`` how long after a policy was stored requests may still be
    answered by the one before, ``store_value_bytes`` how long a value in the store may
    be, ``retention_s`` how long a final state is kept, and
    ``stop_deadline_s`` the longest time of a drain. The rates of store calls are those
    that all entries together may make; ``None`` means unknown. ``processors_milli`` is
    in thousandths of a processor and ``link_mbps`` in Mbit/s; 0 means unknown, as it
    does for ``memory_mb``, the memory that the process may have in MB, and for
    ``max_descriptors``, the descriptors that it may have open.
    ``drains_data_centres`` says whether operators may drain whole data centres, and
    ``shares`` how teams share a full cell, ``None`` if they have no shares.
    """

    entry_id: str
    data_centre: str
    ip: str
    callers_address: str
    ready_address: str
    peer_port: int
    store_address: str
    advisor_address: str
    longest_worker_lease_s: float
    stop_s: float
    gang_wait_s: float
    early_s: float
    policy_delay_s: float
    retention_s: float
    stop_deadline_s: float
    shortest_session_s: float
    store_writes_per_s: float | None
    store_reads_per_s: float | None
    store_value_bytes: int
    processors_milli: int
    link_mbps: float
    memory_mb: float = 0.0
    max_descriptors: int = 0
    drains_data_centres: bool = False
    shares: ShareSettings | None = None

    @property
    def link_bytes_per_s(self) -> float | None:
        """Bandwidth of the entry's link in bytes per second, ``None`` if unknown."""
        return self.link_mbps * BYTES_PER_MEGABIT or None


def read_settings(path: str | None = None) -> Result[PlatformSettings, str]:
    """Read and check the settings file.

    :param path: the file, or ``None`` for the one named by ``SETTINGS_VARIABLE``.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        return Error(f"no settings file is given and {SETTINGS_VARIABLE} is empty")
    try:
        content = _parse(Path(path).read_text(encoding="utf-8"))
        wrapped = _Wrapped.model_validate(_wrap(content))
        file = _File.model_validate(wrapped.process)
    except OSError as error:
        return Error(f"{path}: {error.strerror}")
    except ValidationError as error:
        return Error(f"{path}: {format_validation_error(error)}")
    except ValueError as error:
        return Error(f"{path}: not YAML: {error}")
    shares = wrapped.shares.to_settings() if wrapped.shares else None
    return Ok(replace(_to_settings(file), shares=shares))


def _wrap(content: Any) -> Any:
    """Return a file that holds the settings of a process alone as a wrapped one."""
    if isinstance(content, dict) and "process" in content:
        return content
    return {"process": content}


def _parse(text: str) -> Any:
    """Return the content of a YAML or JSON document.

    :raises ValueError: when it is neither.
    """
    try:
        # JSON is also YAML, but takes far less time to read.
        return json.loads(text)
    except ValueError:
        return _parse_yaml(text)


def _parse_yaml(text: str) -> Any:
    import yaml

    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise ValueError(str(error)) from error


def _to_settings(file: _File) -> PlatformSettings:
    bounds = file.bounds
    limits = file.limits or _Limits()
    return PlatformSettings(
        entry_id=file.node,
        data_centre=file.zone,
        ip=file.ip,
        callers_address=file.listen.front,
        ready_address=file.listen.ready,
        peer_port=file.port_range[0],
        store_address=file.platform.address,
        advisor_address=file.advice,
        longest_worker_lease_s=bounds.hold_max_ms / MS_PER_S,
        stop_s=bounds.stop_ms / MS_PER_S,
        gang_wait_s=bounds.gang_ms / MS_PER_S,
        early_s=bounds.early_ms / MS_PER_S,
        policy_delay_s=bounds.config_ms / MS_PER_S,
        retention_s=float(bounds.status_s),
        stop_deadline_s=bounds.grace_s,
        shortest_session_s=file.platform.ttl_min_ms / MS_PER_S,
        store_writes_per_s=file.platform.writes_per_s,
        store_reads_per_s=file.platform.reads_per_s,
        store_value_bytes=file.platform.value_bytes,
        processors_milli=round(limits.cpu_share * limits.cores * MILLI_PER_PROCESSOR),
        link_mbps=limits.link_mbps,
        memory_mb=limits.memory_mb,
        max_descriptors=limits.max_descriptors,
        drains_data_centres=bounds.evacuate_ms is not None,
    )
