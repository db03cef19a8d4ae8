"""Directory of the other entries, through which store calls can be relayed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..owner.entries import ENTRIES_PREFIX, addresses_of
from ..runtime.flows import Call, Flow, Sleep
from ..runtime.role import STORE, CallFailed
from ..store.messages import ReadRange

if TYPE_CHECKING:
    import random

__all__ = ["RelayDirectory"]

REFRESH_INTERVAL_S = 2.0
INITIAL_REFRESH_INTERVAL_S = 0.3
READ_TIMEOUT_S = 0.8


class RelayDirectory:
    """Keeps the addresses of the other entries as registered in the store.

    :param own_name: name of this entry, which is left out.
    :param rng: random generator for the choice among the entries.
    """

    prefix = ENTRIES_PREFIX

    def __init__(self, own_name: str, rng: random.Random) -> None:
        self._own_name = own_name
        self._rng = rng
        self._address_by_name: dict[str, str] = {}

    def refresh_periodically(self) -> Flow:
        """Read the list of entries at an interval.

        The previous list stays in use after a failed or empty read.
        """
        while True:
            read = ReadRange(self.prefix, stale=True)
            result = yield Call(STORE, read, READ_TIMEOUT_S)
            if not isinstance(result, CallFailed) and result.entries:
                found = addresses_of(result.entries, self._own_name)
                self._address_by_name = found
            yield Sleep(
                REFRESH_INTERVAL_S
                if self._address_by_name
                else INITIAL_REFRESH_INTERVAL_S
            )

    def sample_addresses(self, max_count: int) -> list[str]:
        """Return the addresses of up to ``max_count`` random entries."""
        addresses = list(self._address_by_name.values())
        return self._rng.sample(addresses, min(max_count, len(addresses)))
