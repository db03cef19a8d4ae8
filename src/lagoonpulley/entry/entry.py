"""Assembles the roles and ports of one entry from its settings."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any

from ..configuration.role import ConfigurationRole
from ..gateway.access import AccessControl
from ..gateway.admission import Admission
from ..gateway.app import GatewayApp
from ..gateway.http_limits import HttpLimits
from ..gateway.http_server import GatewayServer, HttpListener
from ..journal.role import JournalRole
from ..limits.role import LimitsRole
from ..membership.messages import Leave
from ..membership.role import MembershipRole
from ..observability.logs import DecisionBuffer, buffer_decisions
from ..observability.metrics import metrics_from_settings
from ..ownership.messages import ReleaseAll
from ..ownership.role import OwnershipRole
from ..peers.messages import PeerInfo
from ..peers.on_demand import open_listener
from ..peers.port import PeersPort
from ..routing.role import RoutingRole
from ..runtime.actors import Runtime
from ..runtime.clocks import read_clocks
from ..runtime.role import PEERS, STORE, UPSTREAM
from ..scheduler.role import SchedulerRole
from ..store.http import StorePort
from ..upstream.http import UpstreamPort
from .drain import LIFECYCLE_PORT, DrainRequested, DrainRole

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..settings.schema import Settings

__all__ = ["Entry"]

GATEWAY = "gateway"
MS_PER_S = 1000
DRAIN_POLL_INTERVAL_S = 0.05
HANDOVER_WAIT_S = 0.5


class Entry:
    """One entry: all roles and ports of this process."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.decisions = DecisionBuffer()
        buffer_decisions(self.decisions)
        self._metrics = metrics_from_settings(settings)
        self._runtime = Runtime()
        self._access = AccessControl(read_clocks)
        self._lifecycle_port = _LifecyclePort()
        self._admission = Admission(settings.admission)
        self._incarnation = int(time.time() * MS_PER_S)
        listener = open_listener(settings.listen.host, settings.listen.peer_port)
        self._peers = PeersPort(listener, self._runtime.deliver)
        app = GatewayApp(
            settings,
            self._runtime,
            self._access,
            self._admission,
            self.decisions,
            self._metrics,
        )
        limits = HttpLimits(
            body_bytes=settings.admission.body_bytes,
            held_bytes=settings.admission.bytes_in_flight,
        )
        self._server = GatewayServer(_listener_of(settings), app, limits)
        self._add_ports()
        self._add_roles()

    @classmethod
    def from_settings(cls, settings: Settings) -> Entry:
        """Create an entry; its sockets are open but its threads are not started.

        :raises OSError: when an address cannot be bound.
        """
        return cls(settings)

    @property
    def peer_address(self) -> str:
        """Address for other entries, as ``IP:PORT``."""
        return self._peers.address

    @property
    def http_address(self) -> str:
        """Address for callers, as ``IP:PORT``."""
        return self._server.address

    @property
    def is_ready(self) -> bool:
        """Whether the entry accepts requests."""
        return self._access.is_ready and not self._admission.is_stopping

    def start(self) -> None:
        """Start the roles and the HTTP server."""
        self._runtime.start()
        self._server.start()

    def on_drain_requested(self, callback: Callable[[], None]) -> None:
        """Set the callback for an operator's request to drain this entry."""
        self._lifecycle_port.callback = callback

    def drain(
        self, deadline_s: float, force_stop: threading.Event | None = None
    ) -> None:
        """Release all groups and wait for the requests in flight.

        :param deadline_s: longest time to spend, in seconds.
        :param force_stop: ends the wait when set.
        """
        force_stop = force_stop or threading.Event()
        deadline = time.monotonic() + deadline_s
        self._admission.stop()
        self._runtime.deliver("membership", Leave())
        self._runtime.deliver("ownership", ReleaseAll())
        self._runtime.deliver("scheduler", ReleaseAll())
        force_stop.wait(min(HANDOVER_WAIT_S, deadline_s))
        while self._admission.in_flight and time.monotonic() < deadline:
            if force_stop.wait(DRAIN_POLL_INTERVAL_S):
                return

    def close(self) -> None:
        """Stop the HTTP server and the roles immediately."""
        self._admission.stop()
        self._server.close()
        self._runtime.stop()

    def _add_ports(self) -> None:
        settings, runtime = self.settings, self._runtime
        runtime.add_port(STORE, StorePort(settings.store.url, runtime.deliver))
        runtime.add_port(UPSTREAM, UpstreamPort(runtime.deliver, read_clocks))
        runtime.add_port(PEERS, self._peers)
        runtime.add_port(GATEWAY, self._access)
        runtime.add_port(LIFECYCLE_PORT, self._lifecycle_port)

    def _add_roles(self) -> None:
        settings = self.settings
        name, incarnation = settings.entry_id, self._incarnation
        me = PeerInfo(
            entry_id=name,
            incarnation=incarnation,
            data_centre=settings.data_centre,
            address=self.peer_address,
            http_address=self.http_address,
        )
        for role in (
            MembershipRole.from_settings(me, settings, incarnation),
            OwnershipRole.from_settings(name, incarnation, me.address, settings),
            JournalRole.from_settings(name, incarnation, settings),
            LimitsRole.from_settings(name, incarnation, settings),
            ConfigurationRole.from_settings(name, settings),
            SchedulerRole.from_settings(name, settings, self._metrics),
            RoutingRole.from_settings(name, settings, incarnation),
            DrainRole.from_settings(name, settings),
        ):
            self._runtime.add_role(role)


class _LifecyclePort:
    """Port that calls a callback when an operator requests a drain."""

    def __init__(self) -> None:
        self.callback: Callable[[], None] | None = None

    def submit(self, message: Any) -> None:
        """Call the callback on a drain request."""
        if isinstance(message, DrainRequested) and self.callback is not None:
            self.callback()

    def close(self) -> None:
        """Do nothing: there is no resource to release; required of every port."""


def _listener_of(settings: Settings) -> HttpListener:
    listen = settings.listen
    return HttpListener(listen.host, listen.http_port, listen.http_threads)
