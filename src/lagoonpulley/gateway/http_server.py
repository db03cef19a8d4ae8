"""HTTP server of the gateway."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import Any

from cheroot.wsgi import Server

__all__ = ["GatewayServer", "HttpListener"]

MAX_QUEUED_CONNECTIONS = 512
IDLE_TIMEOUT_S = 30
SHUTDOWN_TIMEOUT_S = 5


@dataclass(frozen=True, slots=True)
class HttpListener:
    """Address on which a server listens, and the number of its threads."""

    host: str
    port: int
    threads: int

    @classmethod
    def from_address(cls, address: str, threads: int) -> HttpListener:
        """Create a listener from ``IP:PORT``."""
        host, _, port = address.rpartition(":")
        return cls(host, int(port), threads)


class GatewayServer:
    """Threaded WSGI server with persistent connections."""

    def __init__(self, listener: HttpListener, app: Any) -> None:
        self._server = Server(
            (listener.host, listener.port),
            app,
            numthreads=listener.threads,
            request_queue_size=MAX_QUEUED_CONNECTIONS,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name="gateway", daemon=True
        )

    @property
    def address(self) -> str:
        """Address as ``IP:PORT``."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Start to serve requests in a thread of its own."""
        self._thread.start()

    def close(self) -> None:
        """Stop the server and wait for its thread."""
        self._server.stop()
        self._thread.join()
