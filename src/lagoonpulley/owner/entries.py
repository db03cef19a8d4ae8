"""The entries (lagoonpulley processes) registered in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pydantic import BaseModel, ValidationError

from ..observability.events import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..store.messages import KeyValue

__all__ = ["ENTRIES_PREFIX", "EntryDocument", "addresses_of"]

ENTRIES_PREFIX = "lagoonpulley/entries/"


class EntryDocument(BaseModel):
    """Description of an entry; ``life`` identifies the incarnation of its process.

    ``writes_status`` is missing in documents of builds whose owners write no
    :class:`~.status.OwnerStatus`.
    """

    name: str
    life: str
    peer_address: str
    data_centre: str
    writes_status: bool = False


def addresses_of(entries: Iterable[KeyValue], own_name: str) -> dict[str, str]:
    """Return the peer addresses of the other entries by name."""
    address_by_name = {}
    for entry in entries:
        try:
            document = EntryDocument.model_validate_json(entry.value)
        except ValidationError:
            log_event("entry_refused", key=entry.key)
            continue
        if document.name != own_name:
            address_by_name[document.name] = document.peer_address
    return address_by_name
