"""The entries (lagoonpulley processes) registered in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

from pydantic import BaseModel, Field, ValidationError

from ..model.address import Address
from ..observability.events import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..store.messages import KeyValue

__all__ = [
    "ENTRIES_PREFIX",
    "EntryCapacity",
    "EntryDocument",
    "addresses_of",
    "stronger_entries",
]

ENTRIES_PREFIX = "lagoonpulley/entries/"
# Smaller differences do not decide who owns the workers, as a change costs a takeover.
MUCH_STRONGER_RATIO = 2.0
# Larger numbers are no measurements, and their ratios may not be computable.
MAX_LIMIT = 2**53


class EntryCapacity(BaseModel):
    """What an entry's machine provides.

    Processor time is in thousandths of a processor, the network link in Mbit/s.
    """

    processors_milli: Annotated[int, Field(gt=0, le=MAX_LIMIT)]
    link_mbps: Annotated[float, Field(gt=0, le=MAX_LIMIT, allow_inf_nan=False)]

    @classmethod
    def from_limits(
        cls, processors_milli: int, link_mbps: float
    ) -> EntryCapacity | None:
        """Return the capacity, or ``None`` if one of the limits is 0 (unknown)."""
        if processors_milli <= 0 or link_mbps <= 0:
            return None
        return cls(processors_milli=processors_milli, link_mbps=link_mbps)

    def is_much_stronger_than(self, other: EntryCapacity) -> bool:
        """Return whether this has a multiple of one resource and no less of the other.

        The multiple is :data:`MUCH_STRONGER_RATIO`.
        """
        processors_ratio = self.processors_milli / other.processors_milli
        link_ratio = self.link_mbps / other.link_mbps
        if min(processors_ratio, link_ratio) < 1:
            return False
        return max(processors_ratio, link_ratio) >= MUCH_STRONGER_RATIO


class EntryDocument(BaseModel):
    """Description of an entry; ``life`` identifies the incarnation of its process.

    ``capacity`` is ``None`` if the entry does not know it, or an earlier release that
    does not store it.
    ``writes_status`` is missing in documents of builds whose owners write no
    :class:`~.status.OwnerStatus`.
    """

    name: str
    life: str
    peer_address: Address
    data_centre: str
    capacity: EntryCapacity | None = None
    writes_status: bool = False


def addresses_of(entries: Iterable[KeyValue], own_name: str) -> dict[str, str]:
    """Return the peer addresses of the other entries by name."""
    return {
        document.name: document.peer_address
        for document in _other_entries(entries, own_name)
    }


def stronger_entries(
    entries: Iterable[KeyValue], own_name: str, own_capacity: EntryCapacity | None
) -> list[EntryDocument]:
    """Return the other entries that are known to be much stronger than this one.

    There are none if ``own_capacity`` is ``None`` (unknown).
    """
    if own_capacity is None:
        return []
    return [
        document
        for document in _other_entries(entries, own_name)
        if document.capacity and document.capacity.is_much_stronger_than(own_capacity)
    ]


def _other_entries(
    entries: Iterable[KeyValue], own_name: str
) -> Iterator[EntryDocument]:
    for entry in entries:
        try:
            document = EntryDocument.model_validate_json(entry.value)
        except ValidationError:
            log_event("entry_refused", key=entry.key)
            continue
        if document.name != own_name:
            yield document
