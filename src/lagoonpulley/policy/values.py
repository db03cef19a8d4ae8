"""Value objects of one version of the operators' policy."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..model.resources import Resources

__all__ = ["AdvicePolicy", "Policy", "Queue", "Service", "TeamLimits"]


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Policy of a queue whose steps run only on workers that an advisor allows.

    A request takes the advisor ``base_s``, and ``per_worker_s`` for each worker that
    it names. Permits are valid for ``valid_s``. All times are in seconds.
    """

    base_s: float
    per_worker_s: float
    valid_s: float

    def cost_s(self, workers: int) -> float:
        """Return how long a request about this many workers keeps the advisor busy."""
        return self.base_s + self.per_worker_s * workers


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue; the lowest ``priority`` is served first.

    Its jobs run on the workers of ``service``. A job should complete within ``slack``
    times its critical path plus ``target_s`` seconds; it fails once a task or gang that
    is not long-running has failed ``max_attempts`` times.
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
    """A set of workers, which may enforce their capacity themselves."""

    name: str
    enforces_capacity: bool = False


@dataclass(frozen=True, slots=True)
class TeamLimits:
    """A team's limit, 0 for no limit, and its weight when teams share a full cell."""

    name: str
    weight: float = 1.0
    limit: Resources = field(default_factory=Resources)

    def allows(self, used: Resources) -> bool:
        """Return whether use of processors, memory and accelerators is allowed."""
        for amount, limit in zip(used[:3], self.limit[:3]):
            if limit and amount > limit:
                return False
        return True


@dataclass(frozen=True, slots=True)
class Policy:
    """All operator settings, under one increasing version.

    ``revision`` is that of the document in the store.
    """

    version: int
    revision: int
    queue_by_name: dict[str, Queue]
    service_by_name: dict[str, Service]
    team_by_name: dict[str, TeamLimits]
    team_by_api_key: dict[str, str]
    max_body_bytes: int = 0
    _queue_by_host_and_prefix: dict[tuple[str, str], Queue] = field(init=False)
    # The lengths of each host's prefixes, the longest first.
    _prefix_lengths_by_host: dict[str, list[int]] = field(init=False)

    def __post_init__(self) -> None:
        by_host_and_prefix: dict[tuple[str, str], Queue] = {}
        lengths_by_host: dict[str, set[int]] = {}
        for queue in self.queue_by_name.values():
            by_host_and_prefix.setdefault((queue.host, queue.prefix), queue)
            lengths_by_host.setdefault(queue.host, set()).add(len(queue.prefix))
        lengths = {
            host: sorted(found, reverse=True) for host, found in lengths_by_host.items()
        }
        object.__setattr__(self, "_queue_by_host_and_prefix", by_host_and_prefix)
        object.__setattr__(self, "_prefix_lengths_by_host", lengths)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest prefix that matches a path."""
        for length in self._prefix_lengths_by_host.get(host, ()):
            queue = self._queue_by_host_and_prefix.get((host, path[:length]))
            if queue is not None:
                return queue
        return None
