"""Assembly of one entry from its settings."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any

from ..configuration.role import ConfigurationRole
from ..gateway.access import AccessControl
from ..gateway.admission import Admission
from ..gateway.app import GatewayApp
from ..gateway.http_server import GatewayServer
from ..journal.role import JournalRole
from ..limits.role import LimitsRole
from ..membership.messages import Leave
from ..membership.role import MembershipRole
from ..observability.logs import DecisionBuffer, buffer_decisions
from ..observability.metrics import metrics_from_settings
from ..ownership.messages import ReleaseAll
from ..ownership.role import OwnershipRole
from ..peers.messages import PeerInfo
from ..peers.port import PeersPort
from ..routing.role import RoutingRole
from ..runtime.actors import Runtime, read_clocks
from ..runtime.role import PEERS, STORE, UPSTREAM
from ..scheduler.role import SchedulerRole
from ..store.http import StorePort
from ..upstream.http import UpstreamPort
from .drain import LIFE, DrainRequested, DrainRole

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..settings.schema import Settings

__all__ = ["Entry"]

GATEWAY = "gateway"
MS_PER_S = 1000
DRAIN_POLL_S = 0.05
HANDOVER_S = 0.5


class Entry:
    """All roles and ports of one entry in this process."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.decisions = DecisionBuffer()
        buffer_decisions(self.decisions)
        self._metrics = metrics_from_settings(settings)
        self._runtime = Runtime()
        self._access = AccessControl(read_clocks)
        self._life = _LifePort()
        self._admission = Admission(settings.admission)
        self._incarnation = int(time.time() * MS_PER_S)
        self._peers = PeersPort(
            settings.listen.host, settings.listen.peer_port, self._runtime.deliver
        )
        app = GatewayApp(
            settings,
            self._runtime,
            self._access,
            self._admission,
            self.decisions,
            self._metrics,
        )
        self._server = GatewayServer(settings.listen, app)
        self._add_ports()
        self._add_roles()

    @classmethod
    def from_settings(cls, settings: Settings) -> Entry:
        """Create an entry; its sockets are open but nothing runs yet.

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
        """Whether the entry may be sent requests."""
        return self._access.is_ready and not self._admission.is_stopping

    def start(self) -> None:
        """Begin to take part."""
        self._runtime.start()
        self._server.start()

    def on_drain_requested(self, callback: Callable[[], None]) -> None:
        """Have a callback called when an operator wants this entry to stop."""
        self._life.callback = callback

    def drain(self, deadline_s: float, at_once: threading.Event | None = None) -> None:
        """Hand over groups and let requests in flight finish.

        :param deadline_s: longest time to spend, in seconds.
        :param at_once: ends the wait when set.
        """
        at_once = at_once or threading.Event()
        until = time.monotonic() + deadline_s
        self._admission.stop()
        self._runtime.deliver("membership", Leave())
        self._runtime.deliver("ownership", ReleaseAll())
        self._runtime.deliver("scheduler", ReleaseAll())
        at_once.wait(min(HANDOVER_S, deadline_s))
        while self._admission.in_flight and time.monotonic() < until:
            if at_once.wait(DRAIN_POLL_S):
                return

    def close(self) -> None:
        """Stop at once."""
        self._admission.stop()
        self._server.close()
        self._runtime.stop()

    def _add_ports(self) -> None:
        settings, runtime = self.settings, self._runtime
        runtime.add_port(STORE, StorePort(settings.store.url, runtime.deliver))
        runtime.add_port(UPSTREAM, UpstreamPort(runtime.deliver, read_clocks))
        runtime.add_port(PEERS, self._peers)
        runtime.add_port(GATEWAY, self._access)
        runtime.add_port(LIFE, self._life)

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


class _LifePort:
    """Passes the wish to stop on to whoever runs the entry."""

    def __init__(self) -> None:
        self.callback: Callable[[], None] | None = None

    def submit(self, message: Any) -> None:
        """Take a message of the drain role."""
        if isinstance(message, DrainRequested) and self.callback is not None:
            self.callback()

    def close(self) -> None:
        """Nothing to release; part of the port interface."""
