"""Counters, timers and gauges of an entry, sent to statsd."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import statsd

if TYPE_CHECKING:
    from ..settings.schema import Settings

__all__ = ["Metrics", "NoMetrics", "StatsdMetrics", "metrics_from_settings"]

METRIC_PREFIX = "lagoonpulley"
MS_PER_S = 1000


class Metrics(Protocol):
    """Interface to the counters, gauges and timers of one entry."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add an amount to a counter."""
        ...

    def time(self, name: str, duration_s: float) -> None:
        """Record a duration in seconds."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...


class NoMetrics:
    """Discards all metrics; used when no statsd server is configured."""

    def count(self, name: str, amount: int = 1) -> None:
        """See :class:`Metrics`."""

    def time(self, name: str, duration_s: float) -> None:
        """See :class:`Metrics`."""

    def gauge(self, name: str, value: float) -> None:
        """See :class:`Metrics`."""


class StatsdMetrics:
    """Sends metrics over UDP; a lost packet loses only the metrics in it."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """See :class:`Metrics`."""
        self._client.incr(name, amount)

    def time(self, name: str, duration_s: float) -> None:
        """See :class:`Metrics`."""
        self._client.timing(name, duration_s * MS_PER_S)

    def gauge(self, name: str, value: float) -> None:
        """See :class:`Metrics`."""
        self._client.gauge(name, value)


def metrics_from_settings(settings: Settings) -> Metrics:
    """Return statsd metrics if the settings name a server, else ``NoMetrics``."""
    if settings.statsd is None:
        return NoMetrics()
    prefix = f"{METRIC_PREFIX}.{settings.data_centre}.{settings.entry_id}"
    return StatsdMetrics(settings.statsd.host, settings.statsd.port, prefix)
