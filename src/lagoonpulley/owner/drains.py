"""Follows the operators' requests to drain whole data centres."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..observability.events import log_event
from ..runtime.flows import Sleep
from ..store.range_reader import read_range

if TYPE_CHECKING:
    from ..runtime.flows import Flow
    from ..store.messages import KeyValue
    from .flow_host import FlowHost
    from .term import OwnerTerm

__all__ = ["DrainDecoder", "DrainFollower", "NoDrains"]

POLL_INTERVAL_S = 0.5


class DrainDecoder(Protocol):
    """Knows where the requests are stored; their keys begin with ``prefix``.

    Without a prefix, the deployment has no such requests.
    """

    prefix: str

    def data_centre_of(self, item: KeyValue) -> str:
        """Return the data centre that a request names; empty if it names none."""
        ...


class NoDrains:
    """Decoder of deployments whose operators cannot drain data centres."""

    prefix = ""

    def data_centre_of(self, item: KeyValue) -> str:
        """See :class:`DrainDecoder`."""
        return ""


class DrainFollower:
    """Keeps a term's set of draining data centres up to date.

    The requests are read whole each time: a watch may leave out a change for a while,
    and there are never more requests than data centres. Until the first read of a
    term, nothing is placed.
    """

    def __init__(self, host: FlowHost, decoder: DrainDecoder) -> None:
        self._host = host
        self._decoder = decoder

    def follow(self, term: OwnerTerm) -> Flow:
        """Read the requests at an interval while the term lasts."""
        if not self._decoder.prefix:
            term.set_draining_data_centres(frozenset())
            return
        while not term.has_ended:
            listed = yield from read_range(
                self._host, self._decoder.prefix, lambda: term.has_ended
            )
            if term.has_ended:
                return
            self._apply(term, listed.items)
            self._host.plan_and_commit()
            yield Sleep(POLL_INTERVAL_S)

    def _apply(self, term: OwnerTerm, items: list[KeyValue]) -> None:
        named = {self._decoder.data_centre_of(item) for item in items}
        draining = frozenset(named - {""})
        before = term.draining_data_centres or frozenset()
        term.set_draining_data_centres(draining)
        for data_centre in sorted(draining - before):
            workers = term.workers_in(data_centre)
            log_event(
                "data_centre_draining",
                data_centre=data_centre,
                workers=len(workers),
                runs=sum(len(worker.tracked_by_ref) for worker in workers),
            )
        for data_centre in sorted(before - draining):
            log_event(
                "data_centre_back",
                data_centre=data_centre,
                workers=len(term.workers_in(data_centre)),
            )
