"""One entry of the simulated cell for jobs with steps."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from lagoonpulley.intake.readiness import EntryReadiness
    from lagoonpulley.owner.role import OwnerRole
    from lagoonpulley.store.health import StoreHealthTracker
    from lagoonpulley.store.route import StoreRoute


@dataclass(eq=False)
class StepEntry:
    """A simulated entry process: its roles, its mailbox and what it can reach."""

    name: str
    roles: dict[str, Any]
    store_health: StoreHealthTracker
    route: StoreRoute
    readiness: EntryReadiness
    mailbox: deque = field(default_factory=deque)
    alive: bool = True
    has_store: bool = True
    # Rate at which answers of the store arrive, and when the last one has arrived.
    # They queue for the link in the order in which the store sends them.
    store_bytes_per_s: float = float("inf")
    store_link_free_at: float = 0.0
    # Whether connections share the link, so that small answers pass large ones.
    shares_store_link: bool = False
    has_peers: bool = True
    unreachable_workers: set[str] = field(default_factory=set)
    # Prefixes of keys whose reads, watches and checks this entry gets no answer to.
    unreadable_prefixes: tuple[str, ...] = ()
    store_bytes_by_operation: Counter = field(default_factory=Counter)

    @property
    def version_answered_by(self) -> int | None:
        """The policy version by which callers are answered, ``None`` if by none."""
        policy = self.readiness.current_policy()
        return policy.version if policy is not None else None

    @property
    def owner(self) -> OwnerRole:
        """The owner role of this entry, whether or not it holds the ownership."""
        return self.roles["owner"]
