"""One accepted version of what operators set."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..model.resources import Resources

__all__ = ["AdvicePolicy", "Policy", "Queue", "Service", "TeamLimits"]


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """A queue whose steps run only on workers that an advisor names.

    The advisor takes ``decide_s`` and ``each_s`` for each worker that it is asked
    about; its permits are good for ``valid_s``. All in seconds.
    """

    decide_s: float
    each_s: float
    valid_s: float

    def cost_s(self, workers: int) -> float:
        """Return how long a question about some workers keeps the advisor busy."""
        return self.decide_s + self.each_s * workers


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue; the lowest ``priority`` is served first.

    A job's time objective is ``slack`` times its longest chain of work and
    ``target_s`` seconds more.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack: float = 1.0
    target_s: float = 0.0
    timeout_s: float = 0.0
    is_public: bool = False
    advice: AdvicePolicy | None = None


@dataclass(frozen=True, slots=True)
class Service:
    """A set of workers; some guard their own capacity."""

    name: str
    enforces_capacity: bool = False


@dataclass(frozen=True, slots=True)
class TeamLimits:
    """A team's share when all is full, and its upper limit; 0 means none."""

    name: str
    weight: float = 1.0
    limit: Resources = field(default_factory=Resources)

    def allows(self, used: Resources) -> bool:
        """Return whether a team may have this much running."""
        for amount, most in zip(used[:3], self.limit[:3]):
            if most and amount > most:
                return False
        return True


@dataclass(frozen=True, slots=True)
class Policy:
    """All that operators set, under one rising version.

    ``key`` and ``revision`` are the document's in the store.
    """

    version: int
    key: str
    revision: int
    queue_by_name: dict[str, Queue]
    service_by_name: dict[str, Service]
    team_by_name: dict[str, TeamLimits]
    team_by_api_key: dict[str, str]
    max_body_bytes: int = 0

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that a path begins with."""
        found: Queue | None = None
        for queue in self.queue_by_name.values():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found
