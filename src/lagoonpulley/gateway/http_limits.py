"""What an HTTP server holds for callers at most, whatever these send."""

from __future__ import annotations

from dataclasses import dataclass, replace

__all__ = ["HttpLimits"]

BYTES_PER_MB = 1_000_000
# Shares of what the process may have, the rest of which is for its own work.
HELD_MEMORY_SHARE = 0.1
CONNECTIONS_DESCRIPTOR_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of one HTTP server.

    ``head_bytes`` limits the request line and the headers, ``headers`` their number,
    and ``body_bytes`` the body of a request. ``connections`` may be open at the same
    time, and ``held_bytes`` limits what all of them together have sent and nobody has
    answered yet. ``request_s`` is how long a request may take to arrive: no caller
    waits longer for an answer. ``idle_s`` is how long a connection may stay open
    without a request, and ``send_s`` how long a caller may take to read an answer.
    Times are in seconds.
    """

    head_bytes: int = 32_768
    headers: int = 256
    body_bytes: int = 1_000_000
    connections: int = 1_000
    held_bytes: int = 32_000_000
    request_s: float = 10.0
    idle_s: float = 30.0
    send_s: float = 10.0

    @classmethod
    def from_process(
        cls, memory_mb: float, descriptors: int, body_bytes: int
    ) -> HttpLimits:
        """Create limits that fit a process.

        :param memory_mb: memory that the process may have in MB; 0 means unknown.
        :param descriptors: descriptors that it may have open; 0 means unknown.
        """
        limits = cls(body_bytes=body_bytes)
        if memory_mb:
            held_bytes = int(memory_mb * BYTES_PER_MB * HELD_MEMORY_SHARE)
            limits = replace(limits, held_bytes=held_bytes)
        if descriptors:
            share = max(1, int(descriptors * CONNECTIONS_DESCRIPTOR_SHARE))
            limits = replace(limits, connections=min(limits.connections, share))
        return limits
