"""Has other entries call the store when it turns this one away."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..model.verdict import Ran
from ..observability.events import log_event
from ..runtime.flows import Call, Flow, FlowRole, Sleep
from ..runtime.role import PEERS, STORE, CallFailed, Request
from ..store.messages import ReadRange, StoreResult
from ..store.route import STORE_RELAY, RelayCall
from .messages import PeerCall
from .relays import Relays

if TYPE_CHECKING:
    import random

    from ..store.health import StoreHealthTracker

__all__ = ["StoreAnswer", "StoreRelayRole"]

MOST_HELPERS = 2
# The way there and back, beside what the call itself may take.
DETOUR_S = 0.2
RELAYED_TIMEOUT_S = 0.8
PROBE_EVERY_S = 0.3
PROBE_TIMEOUT_S = 0.5
# Entries that cannot help either are not asked again for this long.
NO_HELP_S = 0.3


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """What the store answered another entry, or why it did not.

    ``ran`` says whether a call without an answer may have had an effect.
    """

    result: StoreResult | None = None
    ran: Ran = Ran.NO
    reason: str = ""


class StoreRelayRole(FlowRole):
    """Performs calls for other entries, and has them perform those of this one.

    Each call is answered once with the verdict of the attempt made last; only calls
    that surely had no effect, or that may be repeated, come here.
    """

    name = STORE_RELAY

    def __init__(
        self, entry_name: str, store_health: StoreHealthTracker, chance: random.Random
    ) -> None:
        super().__init__(self.name)
        self._store_health = store_health
        self._relays = Relays(entry_name, chance)
        self._helper = ""
        self._no_help_until = float("-inf")
        self._was_turned_away = False
        self._running = False

    def receive(self, message: Any) -> None:
        """Process a call of this entry or of another, or a tick."""
        match message:
            case RelayCall(request):
                self.start(self._detour(request))
            case Request():
                self.start(self._perform(message))
            case _ if not self._running:
                self._running = True
                self.start(self._relays.follow())
                self.start(self._probe())

    def _perform(self, request: Request) -> Flow:
        """Carry out a call of another entry, unless the store turns this one away."""
        if self._store_health.is_directly_unreachable():
            refused = StoreAnswer(reason="the store is away from here as well")
            self.answer(request, refused)
            return
        wait_s = getattr(request.operation, "wait_s", 0.0)
        result = yield Call(STORE, request.operation, RELAYED_TIMEOUT_S + wait_s)
        if isinstance(result, CallFailed):
            self.answer(request, StoreAnswer(None, result.ran, result.reason))
        else:
            self.answer(request, StoreAnswer(result))

    def _detour(self, request: Request) -> Flow:
        """Have another entry perform a call of this one."""
        result: StoreResult | CallFailed = CallFailed(Ran.NO, "the store is away")
        for address in self._helpers():
            result = yield from self._ask(address, request)
            if not isinstance(result, CallFailed):
                self._helper = address
                break
            self._helper = ""
            if result.ran is not Ran.NO:
                break
        answered = not isinstance(result, CallFailed)
        if not answered:
            self._no_help_until = self.now.mono + NO_HELP_S
        self._store_health.record_result(answered)
        self.answer(request, result)

    def _helpers(self) -> list[str]:
        """Return whom to ask, the entry that helped last first."""
        if self.now.mono < self._no_help_until:
            return []
        addresses = self._relays.choose(MOST_HELPERS)
        if not self._helper:
            return addresses
        return list(dict.fromkeys([self._helper, *addresses]))[:MOST_HELPERS]

    def _ask(self, address: str, request: Request) -> Flow:
        call = PeerCall(address, request.operation)
        answer = yield Call(PEERS, call, request.timeout_s + DETOUR_S)
        if isinstance(answer, CallFailed):
            return answer
        if answer.result is None:
            return CallFailed(answer.ran, answer.reason)
        return answer.result

    def _probe(self) -> Flow:
        """Try the store itself now and then while it turns this entry away."""
        while True:
            yield Sleep(PROBE_EVERY_S)
            turned_away = self._store_health.is_directly_unreachable()
            self._log_change(turned_away)
            if turned_away:
                probe = ReadRange(self._relays.prefix, stale=True)
                yield Call(STORE, probe, PROBE_TIMEOUT_S)

    def _log_change(self, turned_away: bool) -> None:
        if turned_away == self._was_turned_away:
            return
        self._was_turned_away = turned_away
        event = "store_turns_away" if turned_away else "store_is_back"
        log_event(event, helper=self._helper)
