"""Assembles the roles and ports of one entry on the platform."""

from __future__ import annotations

import random
import time
import uuid
from typing import TYPE_CHECKING

from ..gateway.http_limits import HttpLimits
from ..gateway.http_server import GatewayServer, HttpListener
from ..intake.readiness import EntryReadiness
from ..intake.role import IntakeRole
from ..owner.advisor_role import AdvisorRole
from ..owner.entries import EntryCapacity, EntryDocument
from ..owner.messages import Resign
from ..owner.role import OwnerRole
from ..owner.session import SessionRole
from ..owner.settings import OwnerSettings
from ..peers.on_demand import OnDemandPeersPort
from ..peers.store_relay import StoreRelayRole
from ..policy.role import PolicyRole
from ..runtime.actors import Runtime
from ..runtime.clocks import read_clocks
from ..runtime.load import LoadMeter
from ..runtime.role import PEERS, STORE, UPSTREAM
from ..runtime.work_meter import WorkMeter
from ..store.health import StoreHealthTracker
from .documents import PlatformDirectory, PlatformDrains, PlatformPolicy
from .gateway import MAX_BODY_BYTES, PlatformGateway, ReadinessApp
from .ports import HttpPort, StoreHttpPort
from .store import PlatformStoreCodec
from .workers import PlatformWorkerCodec

if TYPE_CHECKING:
    import threading

    from .settings import PlatformSettings

__all__ = ["PlatformEntry"]

READINESS_PORT = "standing"
CALLER_THREADS = 16
READINESS_THREADS = 1
# The load balancer checks once a second and removes an entry after two failed checks.
# Callers are served until then.
BALANCER_REMOVAL_S = 2.4
# Share of the time until a stored policy must be in force for which a confirmation
# counts. The rest is for a watch that reports a change late.
MAX_POLICY_AGE_SHARE = 0.75


class PlatformEntry:
    """One entry: all roles and ports of this process."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._store_codec = PlatformStoreCodec(settings.store_address)
        self._worker_codec = PlatformWorkerCodec(
            settings.advisor_address, settings.store_value_bytes
        )
        self._load = LoadMeter()
        self._runtime = Runtime(load=self._load)
        self._store_health = StoreHealthTracker(read_clocks)
        self._entry_readiness = EntryReadiness(
            self._store_health,
            read_clocks,
            settings.policy_delay_s * MAX_POLICY_AGE_SHARE,
        )
        self._peers = OnDemandPeersPort(
            settings.ip, settings.peer_port, self._runtime.deliver
        )
        gateway = PlatformGateway(self._runtime, self._entry_readiness, read_clocks)
        limits = HttpLimits.from_process(
            settings.memory_mb, settings.max_descriptors, MAX_BODY_BYTES
        )
        self._callers_server = GatewayServer(
            HttpListener.from_address(settings.callers_address, CALLER_THREADS),
            gateway,
            limits,
        )
        self._readiness_server = GatewayServer(
            HttpListener.from_address(settings.ready_address, READINESS_THREADS),
            ReadinessApp(self._entry_readiness),
            limits,
        )
        self._add_ports()
        self._add_roles()

    @classmethod
    def from_settings(cls, settings: PlatformSettings) -> PlatformEntry:
        """Create an entry; its sockets are open but its threads are not started.

        :raises OSError: when an address cannot be bound.
        """
        return cls(settings)

    @property
    def callers_address(self) -> str:
        """Address for callers, as ``IP:PORT``."""
        return self._callers_server.address

    @property
    def ready_address(self) -> str:
        """Address for readiness and metrics, as ``IP:PORT``."""
        return self._readiness_server.address

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers here."""
        return self._entry_readiness.is_ready()

    def start(self) -> None:
        """Start the roles and the HTTP servers."""
        self._runtime.start()
        self._callers_server.start()
        self._readiness_server.start()

    def apply_settings(self, settings: PlatformSettings) -> None:
        """Use the new addresses of the store and the advisor for later calls.

        Other changes take effect at the next start.
        """
        self._settings = settings
        self._store_codec.set_address(settings.store_address)
        self._worker_codec.set_advisor_address(settings.advisor_address)

    def drain(self, deadline_s: float, force_stop: threading.Event) -> None:
        """Fail readiness checks, give up ownership and serve the remaining callers.

        :param deadline_s: longest time to spend, in seconds.
        :param force_stop: ends the wait when set.
        """
        self._entry_readiness.stop()
        self._runtime.deliver("session", Resign())
        force_stop.wait(min(BALANCER_REMOVAL_S, deadline_s / 2))

    def close(self) -> None:
        """Stop the HTTP servers and the roles immediately."""
        self._callers_server.close()
        self._readiness_server.close()
        self._runtime.stop()

    def _add_ports(self) -> None:
        runtime = self._runtime
        store = StoreHttpPort(
            self._store_codec,
            runtime.deliver,
            self._load.add_port(STORE),
            self._store_health,
        )
        workers = HttpPort(
            "upstream-port",
            self._worker_codec,
            runtime.deliver,
            self._load.add_port(UPSTREAM),
        )
        runtime.add_port(STORE, store)
        runtime.add_port(UPSTREAM, workers)
        runtime.add_port(PEERS, self._peers)
        runtime.add_port(READINESS_PORT, self._entry_readiness)

    def _add_roles(self) -> None:
        settings = self._settings
        capacity = EntryCapacity.from_limits(
            settings.processors_milli, settings.link_mbps
        )
        document = EntryDocument(
            name=settings.entry_id,
            life=uuid.uuid4().hex,
            peer_address=self._peers.address,
            data_centre=settings.data_centre,
            capacity=capacity,
            writes_status=True,
        )
        owner = OwnerRole(
            OwnerSettings(
                entry_id=settings.entry_id,
                longest_worker_lease_s=settings.longest_worker_lease_s,
                early_s=settings.early_s,
                retention_s=settings.retention_s,
                store_writes_per_s=settings.store_writes_per_s,
                store_reads_per_s=settings.store_reads_per_s,
                link_bytes_per_s=settings.link_bytes_per_s,
                capacity=capacity,
                shares=settings.shares,
                max_value_bytes=settings.store_value_bytes,
            ),
            PlatformDirectory(),
            self._store_health,
            self._load.add_reader(),
            PlatformDrains() if settings.drains_data_centres else None,
            WorkMeter(),
        )
        rng = random.Random(f"{settings.entry_id}:{time.time_ns()}")
        for role in (
            StoreRelayRole(settings.entry_id, self._store_health, rng),
            PolicyRole(
                PlatformPolicy(),
                listeners=(READINESS_PORT, OwnerRole.name),
                confirmation_listeners=(READINESS_PORT,),
            ),
            SessionRole(document, OwnerRole.name, rng),
            IntakeRole(self._store_health, rng),
            AdvisorRole(),
            owner,
        ):
            self._runtime.add_role(role)
