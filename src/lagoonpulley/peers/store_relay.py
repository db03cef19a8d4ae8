"""Relays store calls through other entries while this one cannot reach the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..model.verdict import Ran
from ..observability.events import log_event
from ..runtime.flows import Call, Flow, FlowRole, Sleep
from ..runtime.role import PEERS, STORE, CallFailed, Request
from ..store.messages import ReadRange, StoreResult
from ..store.route import STORE_RELAY, RelayCall
from .calls import PeerCall
from .relays import RelayDirectory

if TYPE_CHECKING:
    import random

    from ..store.health import StoreHealthTracker

__all__ = ["StoreAnswer", "StoreRelayRole"]

MAX_RELAYS_PER_CALL = 2
# Added to the timeout of the relayed call itself for the hop to the other entry.
RELAY_OVERHEAD_S = 0.2
MIN_RELAYED_TIMEOUT_S = 0.1
# Of a page that is read for another entry, without any part of it arriving.
PAGE_SILENCE_S = 1.0
PROBE_INTERVAL_S = 0.3
PROBE_TIMEOUT_S = 0.5
# After a relayed call fails, calls that follow within this time fail at once.
RELAY_BACKOFF_S = 0.3


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """The store's result of a relayed call, or the reason why there is none.

    Without a result, ``ran`` says whether the call may have taken effect.
    """

    result: StoreResult | None = None
    ran: Ran = Ran.NO
    reason: str = ""


class StoreRelayRole(FlowRole):
    """Performs store calls for other entries and relays those of this one.

    Each call is answered once, with the result of the last attempt. Only calls that
    certainly had no effect, or that are safe to retry, are relayed.
    """

    name = STORE_RELAY
    tick_interval_s = None

    def __init__(
        self, entry_name: str, store_health: StoreHealthTracker, rng: random.Random
    ) -> None:
        super().__init__(self.name)
        self._store_health = store_health
        self._relay_directory = RelayDirectory(entry_name, rng)
        self._last_relay = ""
        self._relay_backoff_until = float("-inf")
        self._was_unreachable = False
        self._started = False

    def receive(self, message: Any) -> None:
        """Process a call of this entry, a call of another entry, or a tick."""
        match message:
            case RelayCall(request):
                self.start(self._relay(request))
            case Request():
                self.start(self._perform_for_peer(message))
            case _ if not self._started:
                self._started = True
                self.start(self._relay_directory.refresh_periodically())
                self.start(self._probe())

    def _perform_for_peer(self, request: Request) -> Flow:
        """Perform a call of another entry, unless the store is unreachable from here.

        Refusing the call at once lets the other entry try another relay.
        """
        if self._store_health.is_directly_unreachable():
            refused = StoreAnswer(reason="the store is away from here as well")
            self.answer(request, refused)
            return
        timeout_s = max(MIN_RELAYED_TIMEOUT_S, request.timeout_s - RELAY_OVERHEAD_S)
        call = Call(STORE, request.operation, timeout_s)
        if isinstance(request.operation, ReadRange):
            silence_s = min(PAGE_SILENCE_S, timeout_s)
            call = Call(STORE, request.operation, silence_s, timeout_s)
        result = yield call
        if isinstance(result, CallFailed):
            self.answer(request, StoreAnswer(None, result.ran, result.reason))
        else:
            self.answer(request, StoreAnswer(result))

    def _relay(self, request: Request) -> Flow:
        """Relay a call of this entry.

        The next relay is tried only if the call certainly had no effect.
        """
        result: StoreResult | CallFailed = CallFailed(Ran.NO, "the store is away")
        addresses = self._relay_addresses()
        for address in addresses:
            result = yield from self._call_relay(address, request)
            if not isinstance(result, CallFailed):
                self._last_relay = address
                break
            self._last_relay = ""
            if result.ran is not Ran.NO:
                break
        answered = not isinstance(result, CallFailed)
        if addresses and not answered:
            self._relay_backoff_until = self.now.mono + RELAY_BACKOFF_S
        self._store_health.record_result(answered)
        self.answer(request, result)

    def _relay_addresses(self) -> list[str]:
        """Return the relays to try, the last successful one first."""
        if self.now.mono < self._relay_backoff_until:
            return []
        addresses = self._relay_directory.sample_addresses(MAX_RELAYS_PER_CALL)
        if not self._last_relay:
            return addresses
        return list(dict.fromkeys([self._last_relay, *addresses]))[:MAX_RELAYS_PER_CALL]

    def _call_relay(self, address: str, request: Request) -> Flow:
        call = PeerCall(address, request.operation)
        timeout_s = request.timeout_s
        if request.relayed_timeout_s is not None:
            timeout_s = request.relayed_timeout_s
        answer = yield Call(PEERS, call, timeout_s + RELAY_OVERHEAD_S)
        if isinstance(answer, CallFailed):
            return answer
        if answer.result is None:
            return CallFailed(answer.ran, answer.reason)
        return answer.result

    def _probe(self) -> Flow:
        """Probe the store directly at an interval while it is unreachable from here."""
        while True:
            yield Sleep(PROBE_INTERVAL_S)
            unreachable = self._store_health.is_directly_unreachable()
            self._log_change(unreachable)
            if unreachable:
                probe = ReadRange(self._relay_directory.prefix, stale=True)
                yield Call(STORE, probe, PROBE_TIMEOUT_S)

    def _log_change(self, unreachable: bool) -> None:
        if unreachable == self._was_unreachable:
            return
        self._was_unreachable = unreachable
        event = "store_turns_away" if unreachable else "store_is_back"
        log_event(event, helper=self._last_relay)
