"""Peers port that loads gRPC and its event loop only once a call needs them."""

from __future__ import annotations

import selectors
import socket
import threading
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from .port import PeersPort

__all__ = ["OnDemandPeersPort", "PreparePeers", "open_listener"]


class PreparePeers:
    """Message to the port: open it now, because calls will follow."""


def open_listener(host: str, port: int) -> socket.socket:
    """Listen on an address; port 0 lets the kernel choose one."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server((host, port), family=family)


class OnDemandPeersPort:
    """Listens at once, and opens a :class:`~.port.PeersPort` for the first call.

    Loading gRPC is a large part of the start of an entry, and most entries neither
    call others nor are called while the store answers.

    :param host: address on which to listen.
    :param port: port on which to listen.
    :param deliver: puts a message into the mailbox of a role.
    """

    def __init__(self, host: str, port: int, deliver: Callable[[str, Any], None]):
        self._deliver = deliver
        self._listener = open_listener(host, port)
        self.address = "{}:{}".format(*self._listener.getsockname()[:2])
        self._lock = threading.Lock()
        self._waiting: list[Any] = []
        self._port: PeersPort | None = None
        self._closing = False
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._thread = threading.Thread(
            target=self._open_when_needed, name="peers-opener", daemon=True
        )
        self._thread.start()

    def submit(self, message: Any) -> None:
        """Pass a message on; the first one opens the port."""
        with self._lock:
            if self._port is None:
                self._waiting.append(message)
                self._wake_writer.send(b"\0")
                return
        self._port.submit(message)

    def close(self) -> None:
        """Stop the thread and close the port, or the listener if none was opened."""
        self._closing = True
        self._wake_writer.send(b"\0")
        self._thread.join()
        if self._port is not None:
            self._port.close()
        self._listener.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def _open_when_needed(self) -> None:
        with selectors.DefaultSelector() as selector:
            selector.register(self._listener, selectors.EVENT_READ)
            selector.register(self._wake_reader, selectors.EVENT_READ)
            selector.select()
        if self._closing:
            return
        from .port import PeersPort

        port = PeersPort(self._listener, self._deliver)
        with self._lock:
            self._port = port
            waiting, self._waiting = self._waiting, []
            for message in waiting:
                if not isinstance(message, PreparePeers):
                    port.submit(message)
