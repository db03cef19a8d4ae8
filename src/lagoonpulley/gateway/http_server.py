"""HTTP server of the gateway."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Any

from cheroot.wsgi import Server

if TYPE_CHECKING:
    from ..settings.schema import ListenSettings

__all__ = ["GatewayServer"]

MAX_QUEUED_CONNECTIONS = 512
IDLE_TIMEOUT_S = 30
SHUTDOWN_TIMEOUT_S = 5


class GatewayServer:
    """Threaded WSGI server with persistent connections."""

    def __init__(self, listen: ListenSettings, app: Any) -> None:
        self._server = Server(
            (listen.host, listen.http_port),
            app,
            numthreads=listen.http_threads,
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
