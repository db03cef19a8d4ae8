"""Prometheus counters and latency histograms of this process."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

__all__ = [
    "REGISTRY",
    "count_event",
    "count_refused_submission",
    "metrics_text",
    "observe_request",
    "observe_start_wait",
    "observe_store_call",
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
_waits = Histogram(
    "lagoonpulley_start_wait_seconds",
    "Time from the submission of a job to the placement of a task, by queue.",
    ["queue"],
    buckets=BUCKETS_S,
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


def observe_start_wait(queue: str, duration_s: float) -> None:
    """Record the time from a job's submission to the placement of one task."""
    _waits.labels(queue).observe(duration_s)


def metrics_text() -> bytes:
    """Return all metrics in the Prometheus text exposition format."""
    return generate_latest(REGISTRY)
