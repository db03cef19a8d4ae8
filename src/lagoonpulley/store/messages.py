"""Operations on the platform's key-value store and their results."""

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
    "ReadRange",
    "RenewLease",
    "RevokeLease",
    "StoreOperation",
    "StoreResult",
    "StoreStatus",
    "Transaction",
    "Watch",
    "WatchPrefix",
    "Write",
]

ABSENT = 0


@dataclass(frozen=True, slots=True)
class Get:
    """Read one key."""

    key: str


@dataclass(frozen=True, slots=True)
class Put:
    """Write one key if its revision is ``expected`` (:data:`ABSENT` to create).

    ``write_id`` lets the writer recognise its own value after a lost answer. The key
    is deleted when the lease ``lease_id`` ends.
    """

    key: str
    value: str
    expected: int
    write_id: str
    lease_id: str = ""


@dataclass(frozen=True, slots=True)
class Delete:
    """Delete one key if its revision is ``expected``."""

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
    """Renew a lease for its full time to live."""

    lease_id: str


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """Revoke a lease at once and delete its keys."""

    lease_id: str


@dataclass(frozen=True, slots=True)
class Watch:
    """Wait up to ``wait_s`` seconds for a revision above ``after`` of one key.

    :attr:`StoreStatus.NOT_FOUND` means that there was none in this time.
    """

    key: str
    after: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class ListInstances:
    """Read the platform's list of instances, which may be out of date.

    Only instances of ``data_centre`` (of all if it is empty) that changed after
    revision ``after`` are returned. Without any, the store waits up to ``wait_s``
    seconds for a change.
    """

    data_centre: str = ""
    after: int = 0
    wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Write:
    """One key of a transaction and its new value.

    The key is deleted when the lease ``lease_id`` ends.
    """

    key: str
    value: str
    lease_id: str = ""


@dataclass(frozen=True, slots=True)
class Transaction:
    """Change several keys atomically if each key of ``expected`` has its revision.

    A revision of :data:`ABSENT` means that the key does not exist. A conflict
    returns the current state of those expected keys that exist.
    """

    expected: tuple[tuple[str, int], ...] = ()
    puts: tuple[Write, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ReadRange:
    """Read one page of the keys that begin with ``prefix``.

    The page starts after the key ``after``. A ``stale`` read is cheaper but may
    return data that is seconds old.
    """

    prefix: str
    after: str = ""
    stale: bool = False


@dataclass(frozen=True, slots=True)
class WatchPrefix:
    """Wait up to ``wait_s`` seconds for changes below ``prefix`` after a revision.

    :attr:`StoreStatus.NOT_FOUND` means that the store no longer has the history
    since that revision.
    """

    prefix: str
    after: int
    wait_s: float


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
    | Transaction
    | ReadRange
    | WatchPrefix
)


class StoreStatus(Enum):
    """Status of an operation that the store answered."""

    OK = "ok"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One key with its value and the revision of its last write.

    ``created`` is the revision at which it was created. A ``deleted`` key has no
    value.
    """

    key: str
    value: str
    revision: int
    write_id: str = ""
    created: int = 0
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance in the platform's list.

    ``role`` is ``entry`` or ``worker``. ``leaving`` is set before the instance is
    removed, ``gone`` afterwards. The capacity fields apply to workers.
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
    """Result of a store operation; which fields are set depends on the operation.

    ``revision`` is the revision of the whole store. ``truncated`` means that more
    keys follow this page.
    """

    status: StoreStatus
    entry: KeyValue | None = None
    entries: tuple[KeyValue, ...] = ()
    lease_id: str = ""
    instances: tuple[Instance, ...] = ()
    revision: int = 0
    truncated: bool = False
    ttl_s: float = 0.0

    @property
    def ok(self) -> bool:
        """Whether the operation succeeded."""
        return self.status is StoreStatus.OK
