"""Other entries, any of which may do something in place of this one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..owner.entries import ENTRIES_PREFIX, addresses_of
from ..runtime.flows import Call, Flow, Sleep
from ..runtime.role import STORE, CallFailed
from ..store.messages import ReadRange

if TYPE_CHECKING:
    import random

__all__ = ["Relays"]

READ_EVERY_S = 2.0
FIRST_READS_EVERY_S = 0.3
READ_TIMEOUT_S = 0.8


class Relays:
    """Follows the list of entries and chooses among them."""

    prefix = ENTRIES_PREFIX

    def __init__(self, own_name: str, chance: random.Random) -> None:
        self._own_name = own_name
        self._chance = chance
        self._address_by_name: dict[str, str] = {}

    def follow(self) -> Flow:
        """Read the list now and then; an unanswered read leaves the last one."""
        while True:
            read = ReadRange(self.prefix, stale=True)
            result = yield Call(STORE, read, READ_TIMEOUT_S)
            if not isinstance(result, CallFailed) and result.entries:
                found = addresses_of(result.entries, self._own_name)
                self._address_by_name = found
            yield Sleep(READ_EVERY_S if self._address_by_name else FIRST_READS_EVERY_S)

    def choose(self, most: int) -> list[str]:
        """Return the addresses of up to ``most`` entries, in random order."""
        addresses = list(self._address_by_name.values())
        return self._chance.sample(addresses, min(most, len(addresses)))
