"""Prometheus counters and latency histograms of this process."""

from __future__ import annotations

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from ..runtime.clocks import boot_time

__all__ = [
    "REGISTRY",
    "CallCounters",
    "add_role_load",
    "count_event",
    "count_refused_submission",
    "metrics_text",
    "observe_request",
    "observe_start_wait",
    "observe_store_call",
    "role_delay_histogram",
    "set_policy_confirmed",
    "set_policy_version",
    "set_role_queue",
]

# From the latency of a store call within a data centre up to a caller's deadline.
BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)

REGISTRY = CollectorRegistry()

_events = Counter(
    "lagoonpulley_events",
    "Decisions and changes of belief, by the event of their log line.",
    ["event"],
    registry=REGISTRY,
)
_refused_submissions = Counter(
    "lagoonpulley_refused_submissions",
    "Submissions refused because their jobs could not be started soon, by reason.",
    ["reason"],
    registry=REGISTRY,
)
_requests = Histogram(
    "lagoonpulley_request_seconds",
    "Time to carry out a caller's request, by kind and outcome.",
    ["kind", "outcome"],
    buckets=BUCKETS_S,
    registry=REGISTRY,
)
_store_calls = Histogram(
    "lagoonpulley_store_call_seconds",
    "Time of a call to the store, by operation and whether it was answered.",
    ["operation", "answered"],
    buckets=BUCKETS_S,
    registry=REGISTRY,
)
_policy_version = Gauge(
    "lagoonpulley_policy_version",
    "Version of the operators' policy that this entry applies.",
    registry=REGISTRY,
)
_policy_age = Gauge(
    "lagoonpulley_policy_age_seconds",
    "Time since the store last confirmed that this version is the newest.",
    registry=REGISTRY,
)
_waits = Histogram(
    "lagoonpulley_start_wait_seconds",
    "Time from the submission of a job to the placement of a task, by queue.",
    ["queue"],
    buckets=BUCKETS_S,
    registry=REGISTRY,
)
_role_delays = Histogram(
    "lagoonpulley_role_delay_seconds",
    "Time from queueing a message to the begin of its processing, by role.",
    ["role"],
    buckets=BUCKETS_S,
    registry=REGISTRY,
)
_role_messages = Counter(
    "lagoonpulley_role_messages",
    "Messages that a role has processed, by kind.",
    ["role", "kind"],
    registry=REGISTRY,
)
_role_busy = Counter(
    "lagoonpulley_role_busy_seconds",
    "Time that a role spent processing messages, by kind.",
    ["role", "kind"],
    registry=REGISTRY,
)
_role_queue = Gauge(
    "lagoonpulley_role_queued_messages",
    "Messages in the mailbox of a role.",
    ["role"],
    registry=REGISTRY,
)
_calls = Counter(
    "lagoonpulley_calls",
    "Completed calls, answered or not, by port and operation.",
    ["port", "operation"],
    registry=REGISTRY,
)
_call_bytes = Counter(
    "lagoonpulley_call_bytes",
    "Bytes of calls with headers, by port, operation and direction.",
    ["port", "operation", "direction"],
    registry=REGISTRY,
)


def count_event(event: str) -> None:
    """Count one event, even if its log line is suppressed."""
    _events.labels(event).inc()


def count_refused_submission(reason: str) -> None:
    """Count one submission that admission refused."""
    _refused_submissions.labels(reason).inc()


def observe_request(kind: str, outcome: str, duration_s: float) -> None:
    """Record the latency of a caller's request."""
    _requests.labels(kind, outcome).observe(duration_s)


def observe_store_call(operation: str, answered: bool, duration_s: float) -> None:
    """Record the latency of a call to the store."""
    _store_calls.labels(operation, "yes" if answered else "no").observe(duration_s)


def set_policy_version(version: int) -> None:
    """Set the version of the policy that applies."""
    _policy_version.set(version)


def set_policy_confirmed(at: float) -> None:
    """Record that the applied policy was the newest at a monotonic time in seconds."""
    _policy_age.set_function(lambda: boot_time() - at)


def observe_start_wait(queue: str, duration_s: float) -> None:
    """Record the time from a job's submission to the placement of one task."""
    _waits.labels(queue).observe(duration_s)


def role_delay_histogram(role: str) -> Histogram:
    """Return the histogram that observes the delays of a role's messages."""
    return _role_delays.labels(role)


def add_role_load(role: str, kind: str, messages: int, busy_s: float) -> None:
    """Add processed messages of one kind and their processing time in seconds."""
    _role_messages.labels(role, kind).inc(messages)
    _role_busy.labels(role, kind).inc(busy_s)


def set_role_queue(role: str, messages: int) -> None:
    """Set the number of messages in the mailbox of a role."""
    _role_queue.labels(role).set(messages)


class CallCounters:
    """Counters of the calls of one operation at one port."""

    def __init__(self, port: str, operation: str) -> None:
        self._calls = _calls.labels(port, operation)
        self._sent_bytes = _call_bytes.labels(port, operation, "sent")
        self._received_bytes = _call_bytes.labels(port, operation, "received")

    def add(self, sent_bytes: int, received_bytes: int) -> None:
        """Count one completed call and its bytes."""
        self._calls.inc()
        self._sent_bytes.inc(sent_bytes)
        self._received_bytes.inc(received_bytes)


def metrics_text() -> bytes:
    """Return all metrics in the Prometheus text exposition format."""
    return generate_latest(REGISTRY)
