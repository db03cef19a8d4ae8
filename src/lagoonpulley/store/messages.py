"""Operations on the platform's store and their results."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "ABSENT",
    "Delete",
    "Get",
    "GrantLease",
    "Instance",
    "KeyValue",
    "ListInstances",
    "ListKeys",
    "Put",
    "RenewLease",
    "RevokeLease",
    "StoreOperation",
    "StoreResult",
    "StoreStatus",
    "Watch",
]

ABSENT = 0


@dataclass(frozen=True, slots=True)
class Get:
    """Read one key."""

    key: str


@dataclass(frozen=True, slots=True)
class Put:
    """Write one key if its revision is ``expected`` (:data:`ABSENT` to create).

    ``write_id`` lets the writer recognise its own value when the answer is lost.
    The key vanishes with the lease named by ``lease_id``.
    """

    key: str
    value: str
    expected: int
    write_id: str
    lease_id: str = ""


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove one key if its revision is ``expected``."""

    key: str
    expected: int


@dataclass(frozen=True, slots=True)
class ListKeys:
    """Read every key that begins with ``prefix``."""

    prefix: str


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Create a lease of ``ttl_s`` seconds."""

    ttl_s: float


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Extend a lease by its full time to live."""

    lease_id: str


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """End a lease now and remove its keys."""

    lease_id: str


@dataclass(frozen=True, slots=True)
class Watch:
    """Wait up to ``wait_s`` seconds for a revision above ``after`` of one key."""

    key: str
    after: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class ListInstances:
    """Read lines of the platform's lagging list of instances.

    Only lines of ``data_centre`` (all if empty) that changed after revision
    ``after`` are returned; the answer waits up to ``wait_s`` seconds for one.
    """

    data_centre: str = ""
    after: int = 0
    wait_s: float = 0.0


StoreOperation = (
    Get
    | Put
    | Delete
    | ListKeys
    | GrantLease
    | RenewLease
    | RevokeLease
    | Watch
    | ListInstances
)


class StoreStatus(Enum):
    """Outcome of an operation that the store answered."""

    OK = "ok"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One key with its value and the revision of its last write."""

    key: str
    value: str
    revision: int
    write_id: str = ""


@dataclass(frozen=True, slots=True)
class Instance:
    """One line of the platform's instance list.

    ``role`` is ``entry`` or ``worker``; ``leaving`` is set before the instance
    goes, ``gone`` afterwards. Capacity fields are those of a worker.
    """

    id: str
    role: str
    data_centre: str
    address: str
    leaving: bool = False
    gone: bool = False
    rack: str = ""
    processors_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0
    connections: int = 0


@dataclass(frozen=True, slots=True)
class StoreResult:
    """What the store answered; fields depend on the operation."""

    status: StoreStatus
    entry: KeyValue | None = None
    entries: tuple[KeyValue, ...] = ()
    lease_id: str = ""
    instances: tuple[Instance, ...] = ()
    revision: int = 0

    @property
    def ok(self) -> bool:
        """Whether the operation took effect."""
        return self.status is StoreStatus.OK
