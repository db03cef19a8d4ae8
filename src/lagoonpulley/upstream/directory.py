"""Workers as registered in the platform's service directory."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from ..model.resources import Resources

if TYPE_CHECKING:
    from expression import Result

    from ..store.messages import KeyValue

__all__ = ["DirectoryDecoder", "WorkerInfo"]


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """A worker as it describes itself in the directory.

    ``born`` identifies the incarnation of the worker and changes when it restarts.
    ``labels`` are its kind and its rack. A draining worker runs for at least
    ``drain_remaining_s`` seconds more.
    """

    id: str
    service: str
    address: str
    data_centre: str
    capacity: Resources
    labels: tuple[str, ...]
    rack: str
    born: int
    draining: bool = False
    drain_remaining_s: float = 0.0


class DirectoryDecoder(Protocol):
    """Decodes the records of the directory; their keys begin with ``prefix``."""

    prefix: str

    def decode(self, item: KeyValue) -> Result[WorkerInfo, str]:
        """Return the worker in a record, or the reason why it is invalid."""
        ...
