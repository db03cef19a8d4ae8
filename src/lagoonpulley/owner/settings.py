"""Settings of the owner role."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .entries import EntryCapacity

__all__ = ["DEFAULT_VALUE_BYTES", "OwnerSettings", "ShareSettings"]

# What the platform's store accepts unless its settings say otherwise.
DEFAULT_VALUE_BYTES = 1_048_576


@dataclass(frozen=True, slots=True)
class ShareSettings:
    """How teams share a full cell.

    Past use counts half after each ``half_life_s`` seconds. What exceeds a team's share
    on average counts as ``max_past_excess`` shares of present use at most.
    """

    half_life_s: float
    max_past_excess: float = 1.0


@dataclass(frozen=True, slots=True)
class OwnerSettings:
    """Settings that a deployment fixes; times are in seconds.

    ``longest_worker_lease_s`` is the longest lease that a worker may be granted,
    ``early_s`` how long before its scheduled time an occurrence of a repeated job may
    start, ``retention_s`` how long a final state is kept, and ``max_value_bytes`` how
    long a value in the store may be. The rates of store calls are those that all
    entries together may make, and are only reported; ``link_bytes_per_s`` is the
    bandwidth of this entry's link. ``capacity`` is that of this entry. ``None`` means
    unknown. ``shares`` is how teams share a full cell; ``None`` serves jobs by priority
    and due time alone.
    """

    entry_id: str
    longest_worker_lease_s: float
    early_s: float = 0.0
    retention_s: float = 120.0
    store_writes_per_s: float | None = None
    store_reads_per_s: float | None = None
    link_bytes_per_s: float | None = None
    capacity: EntryCapacity | None = None
    shares: ShareSettings | None = None
    max_value_bytes: int = DEFAULT_VALUE_BYTES
