"""What the platform's list says about workers."""

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
    """One worker as it describes itself.

    ``born`` names its lifetime. ``labels`` are its kind and its rack. A draining
    worker stays for ``leaves_in_s`` seconds more at least.
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
    """Reads the stored form of the list of workers."""

    prefix: str

    def decode(self, item: KeyValue) -> Result[WorkerInfo, str]:
        """Return a worker, or what is wrong with its entry."""
        ...
