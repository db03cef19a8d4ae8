"""Counters and latency histograms of this process, as text for a scraper."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

__all__ = [
    "METRICS",
    "count_event",
    "metrics_text",
    "observe_request",
    "observe_start_wait",
    "observe_store_call",
]

# Seconds; from a store's answer within a data centre to a caller's deadline.
BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)

METRICS = CollectorRegistry()

_events = Counter(
    "lagoonpulley_events",
    "Decisions and changes of belief, by the event of their log line.",
    ["event"],
    registry=METRICS,
)
_requests = Histogram(
    "lagoonpulley_request_seconds",
    "Time to carry out a caller's request, by kind and outcome.",
    ["kind", "outcome"],
    buckets=BUCKETS_S,
    registry=METRICS,
)
_store_calls = Histogram(
    "lagoonpulley_store_call_seconds",
    "Time of a call to the store, by operation and whether it was answered.",
    ["operation", "answered"],
    buckets=BUCKETS_S,
    registry=METRICS,
)
_waits = Histogram(
    "lagoonpulley_start_wait_seconds",
    "Time from the submission of a job to the placement of a task, by queue.",
    ["queue"],
    buckets=BUCKETS_S,
    registry=METRICS,
)


def count_event(event: str) -> None:
    """Count one event, whether or not its line is written."""
    _events.labels(event).inc()


def observe_request(kind: str, outcome: str, duration_s: float) -> None:
    """Record how long a caller's request took, in seconds."""
    _requests.labels(kind, outcome).observe(duration_s)


def observe_store_call(operation: str, answered: bool, duration_s: float) -> None:
    """Record how long a call to the store took, in seconds."""
    _store_calls.labels(operation, "yes" if answered else "no").observe(duration_s)


def observe_start_wait(queue: str, duration_s: float) -> None:
    """Record how long a task waited for its placement, in seconds."""
    _waits.labels(queue).observe(duration_s)


def metrics_text() -> bytes:
    """Return all metrics in the text form of Prometheus."""
    return generate_latest(METRICS)
