"""A simulated store and the simulated workers of several data centres, over HTTP."""

from __future__ import annotations

from dataclasses import dataclass

from ..model.resources import Resources
from ..store.messages import Instance
from .http import StandinServer, StoreApp, WorkersApp
from .store import StoreState
from .worker import WorkerState

__all__ = ["StandinCell", "StandinPlan"]

WORKERS_PER_RACK = 8
MILLI_PER_PROCESSOR = 1000


@dataclass(frozen=True, slots=True)
class StandinPlan:
    """Size and ports of a simulated cell; port 0 selects any free port."""

    data_centres: tuple[str, ...]
    workers_per_data_centre: int = 8
    processors_per_worker: int = 16
    memory_mb_per_worker: int = 65_536
    slots_per_worker: int = 8
    connections_per_worker: int = 64
    store_port: int = 0
    workers_port: int = 0


class StandinCell:
    """HTTP servers of one simulated store and all simulated workers."""

    def __init__(self, plan: StandinPlan) -> None:
        self.store = StoreApp(StoreState())
        capacity = Resources(
            plan.processors_per_worker * MILLI_PER_PROCESSOR,
            plan.memory_mb_per_worker,
            0,
            plan.slots_per_worker,
            plan.connections_per_worker,
        )
        data_centre_by_worker_id = {
            f"{data_centre}-w{number:02d}": data_centre
            for data_centre in plan.data_centres
            for number in range(plan.workers_per_data_centre)
        }
        self.workers = WorkersApp(
            WorkerState(worker_id, capacity) for worker_id in data_centre_by_worker_id
        )
        self._store_server = StandinServer(self.store, port=plan.store_port)
        self._workers_server = StandinServer(self.workers, port=plan.workers_port)
        for order, (worker_id, data_centre) in enumerate(
            data_centre_by_worker_id.items()
        ):
            rack = f"{data_centre}-rack{order // WORKERS_PER_RACK}"
            self.store.add_instance(
                self._worker_instance(worker_id, data_centre, rack, capacity)
            )

    @classmethod
    def from_plan(cls, plan: StandinPlan) -> StandinCell:
        """Create the cell and start its servers.

        :raises OSError: if a port cannot be bound.
        """
        return cls(plan)

    @property
    def store_url(self) -> str:
        """URL of the store."""
        return self._store_server.url

    @property
    def workers_url(self) -> str:
        """Base URL of the workers; each worker has its own path below it."""
        return self._workers_server.url

    def add_entry(self, entry_id: str, data_centre: str, address: str) -> None:
        """Add an entry to the platform's list of instances."""
        self.store.add_instance(Instance(entry_id, "entry", data_centre, address))

    def close(self) -> None:
        """Stop the servers."""
        self.workers.stopping = True
        self.store.available = False
        self._workers_server.close()
        self._store_server.close()

    def _worker_instance(
        self, worker_id: str, data_centre: str, rack: str, capacity: Resources
    ) -> Instance:
        return Instance(
            id=worker_id,
            role="worker",
            data_centre=data_centre,
            address=f"{self.workers_url}/{worker_id}",
            rack=rack,
            processors_milli=capacity.processors_milli,
            memory_mb=capacity.memory_mb,
            accelerators=capacity.accelerators,
            slots=capacity.slots,
            connections=capacity.connections,
        )
