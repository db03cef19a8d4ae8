"""Which way a call goes to the store: directly, or by another entry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..model.verdict import Ran
from ..runtime.role import CallFailed, Reply, Request
from .messages import Get, ReadRange, RenewLease, WatchPrefix

if TYPE_CHECKING:
    from .health import StoreHealthTracker

__all__ = ["STORE_RELAY", "RelayCall", "StoreRoute"]

# The role that has other entries perform calls.
STORE_RELAY = "store_relay"

_HARMLESS_TWICE = (Get, ReadRange, WatchPrefix, RenewLease)


@dataclass(frozen=True, slots=True)
class RelayCall:
    """Have another entry perform a call, and answer it in place of the store."""

    request: Request


class StoreRoute:
    """Decides the way of each call of one entry.

    A write whose answer was lost is left to the role that asked: only that role can
    tell from a second attempt whether the first one took effect.
    """

    def __init__(self, store_health: StoreHealthTracker) -> None:
        self._store_health = store_health

    def should_call_directly(self, request: Request) -> bool:
        """Return whether a call is to be tried from here first."""
        return (
            request.reply_to == STORE_RELAY
            or not self._store_health.is_directly_unreachable()
        )

    def route_result(
        self, request: Request, result: Any
    ) -> tuple[str, Reply | RelayCall]:
        """Return who is told what after a direct call."""
        answered = not isinstance(result, CallFailed)
        self._store_health.record_direct_result(answered)
        if answered:
            self._store_health.record_result(answered=True)
        elif request.reply_to != STORE_RELAY:
            if _may_be_repeated(request, result):
                return STORE_RELAY, RelayCall(request)
            self._store_health.record_result(answered=False)
        return request.reply_to, Reply(request.request_id, result)


def _may_be_repeated(request: Request, failed: CallFailed) -> bool:
    return failed.ran is Ran.NO or isinstance(request.operation, _HARMLESS_TWICE)
