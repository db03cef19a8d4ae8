"""Routes store calls: directly to the store, or relayed by another entry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..model.verdict import Ran
from ..runtime.role import CallFailed, Reply, Request
from .messages import Get, ReadRange, RenewLease, WatchPrefix

if TYPE_CHECKING:
    from .health import StoreHealthTracker

__all__ = ["STORE_RELAY", "RelayCall", "StoreRoute"]

# Name of the role that relays calls through other entries.
STORE_RELAY = "store_relay"

# Without an answer, a call with a shorter timeout does not suggest that the store is
# unreachable: a slow store may answer later, and single answers are lost.
MIN_CONCLUSIVE_TIMEOUT_S = 0.3
# Retried even if an unanswered first attempt may have taken effect.
_IDEMPOTENT_OPERATIONS = (Get, ReadRange, WatchPrefix, RenewLease)


@dataclass(frozen=True, slots=True)
class RelayCall:
    """Asks the relay role to have another entry perform a call and to reply to it."""

    request: Request


class StoreRoute:
    """Chooses between a direct and a relayed call for each request of this entry.

    A write without an answer is reported to the requesting role and not relayed: only
    that role can tell, on a second attempt, whether the first one took effect.
    """

    def __init__(self, store_health: StoreHealthTracker) -> None:
        self._store_health = store_health

    def should_call_directly(self, request: Request) -> bool:
        """Return whether a request should first be sent directly to the store.

        Requests of the relay role are always direct, so that no call is relayed twice.
        """
        return (
            request.reply_to == STORE_RELAY
            or not self._store_health.is_directly_unreachable()
        )

    def route_result(
        self, request: Request, result: Any
    ) -> tuple[str, Reply | RelayCall]:
        """Record the result of a direct call and return where it goes next.

        :param request: the request that was sent directly.
        :param result: the store's result or :class:`CallFailed`.
        :returns: the receiving role and its message: the reply to the requester, or a
            :class:`RelayCall` if the call failed and is safe to retry.
        """
        answered = not isinstance(result, CallFailed) or result.refused
        if not answered and result.partial:
            # The store is reachable, and the answer would cross the same slow link if
            # another entry relayed it.
            return request.reply_to, Reply(request.request_id, result)
        if not answered and _is_inconclusive(request, result):
            return request.reply_to, Reply(request.request_id, result)
        self._store_health.record_direct_result(answered)
        if answered:
            self._store_health.record_result(answered=True)
        elif request.reply_to != STORE_RELAY:
            if _is_safe_to_retry(request, result):
                return STORE_RELAY, RelayCall(request)
            self._store_health.record_result(answered=False)
        return request.reply_to, Reply(request.request_id, result)


def _is_inconclusive(request: Request, failed: CallFailed) -> bool:
    return failed.ran is Ran.MAYBE and request.timeout_s < MIN_CONCLUSIVE_TIMEOUT_S


def _is_safe_to_retry(request: Request, failed: CallFailed) -> bool:
    return failed.ran is Ran.NO or isinstance(request.operation, _IDEMPOTENT_OPERATIONS)
