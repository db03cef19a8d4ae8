"""Distributes advice requests over the entries.

An advisor decides which workers may run a queue's steps. It serves one request at a
time for each entry, so several entries together get more answers than one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.verdict import Ran
from ..observability.events import log_event
from ..peers.calls import AdviceAnswer, PeerCall
from ..runtime.flows import Call, Flow, Sleep
from ..runtime.role import PEERS, STORE, UPSTREAM, CallFailed
from ..store.messages import ReadRange
from ..upstream.tasks import AskAdvice
from .entries import ENTRIES_PREFIX, addresses_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..planning.advice_requests import AdviceRequest
    from ..runtime.flows import FlowRole
    from ..store.messages import KeyValue
    from .settings import OwnerSettings
    from .term import OwnerTerm

    EntriesObserver = Callable[[OwnerTerm, tuple[KeyValue, ...]], None]

__all__ = ["AdvisorBalancer"]

ENTRIES_POLL_INTERVAL_S = 1.0
READ_TIMEOUT_S = 1.0
# Added to the time in which the advisor should finish the request.
ANSWER_MARGIN_S = 1.0
# How long an entry is left alone after a failure; twice as long after each further one.
FIRST_ENTRY_BACKOFF_S = 0.4
MAX_ENTRY_BACKOFF_S = 3.0
# Requests that keep the advisor busy for longer than this count as long.
LONG_REQUEST_S = 0.25
# Share of busy entries from which on no long request is sent.
LONG_REQUESTS_MAX_SHARE = 0.67
# Longest time for which a request may queue at an entry.
MAX_BACKLOG_S = 0.3


class AdvisorBalancer:
    """Tracks the entries and until when each is busy with advice requests."""

    def __init__(self, role: FlowRole, settings: OwnerSettings) -> None:
        self._role = role
        self._own_name = settings.entry_id
        self._address_by_name: dict[str, str] = {settings.entry_id: ""}
        self._busy_until_by_name: dict[str, float] = {}
        # Failures of each entry since its last answer, and until when it is left alone.
        self._failures_by_name: dict[str, int] = {}
        self._left_alone_until_by_name: dict[str, float] = {}

    def poll_entries(self, term: OwnerTerm, observe: EntriesObserver) -> Flow:
        """Poll the list of entries while the term lasts.

        :param observe: called with each list.
        """
        while not term.has_ended:
            call = Call(STORE, ReadRange(ENTRIES_PREFIX), READ_TIMEOUT_S)
            result = yield call
            if isinstance(result, CallFailed):
                yield Sleep(ENTRIES_POLL_INTERVAL_S)
                continue
            others = addresses_of(result.entries, self._own_name)
            self._address_by_name = {self._own_name: ""} | others
            observe(term, result.entries)
            yield Sleep(ENTRIES_POLL_INTERVAL_S)

    def reserve(self, cost_s: float, now: float) -> str | None:
        """Reserve the entry that is free first, of these the one that failed least.

        See :class:`~.advice_requests.AdviceBudget`. A long request needs an idle entry
        and is held back while many entries are busy, so that short requests need not
        wait for it. Return ``None`` if no entry may take the request now.
        """
        name = self._find_entry(cost_s, now)
        if name is not None:
            self._busy_until_by_name[name] = self._free_at(name, now) + cost_s
        return name

    def may_reserve(self, cost_s: float, now: float) -> bool:
        """See :class:`~.advice_requests.AdviceBudget`."""
        return self._find_entry(cost_s, now) is not None

    def _find_entry(self, cost_s: float, now: float) -> str | None:
        """Return the entry for a request, ``None`` if no entry may take it now."""
        names = [
            name
            for name in self._address_by_name
            if self._left_alone_until_by_name.get(name, 0.0) <= now
        ]
        if not names:
            return None

        def sort_key(name: str) -> tuple[float, int]:
            return self._free_at(name, now), self._failures_by_name.get(name, 0)

        name = min(names, key=sort_key)
        free_at = self._free_at(name, now)
        if cost_s > LONG_REQUEST_S:
            busy = sum(self._free_at(each, now) > now for each in names)
            max_busy = max(1, int(len(names) * LONG_REQUESTS_MAX_SHARE))
            if busy >= max_busy or free_at > now:
                return None
        if free_at - now > MAX_BACKLOG_S:
            return None
        return name

    def _free_at(self, name: str, now: float) -> float:
        return max(now, self._busy_until_by_name.get(name, 0.0))

    def request_advice(self, request: AdviceRequest) -> Flow:
        """Send a request through its reserved entry; return the advice or a failure."""
        now = self._role.now.mono
        name = request.entry
        free_at = self._free_at(name, now)
        operation = AskAdvice(request.record.spec.id, *request.key, request.worker_ids)
        timeout_s = free_at - now + ANSWER_MARGIN_S
        address = self._address_by_name.get(name, "")
        if address:
            message = PeerCall(address, operation)
            result = yield Call(PEERS, message, timeout_s)
            if isinstance(result, AdviceAnswer):
                result = result.advice or CallFailed(Ran.NO, result.reason)
        else:
            result = yield Call(UPSTREAM, operation, timeout_s)
        if isinstance(result, CallFailed):
            log_event(
                "advice_failed",
                job=request.record.spec.id,
                entry=name,
                reason=result.reason,
            )
            self._leave_alone(name, self._role.now.mono)
        else:
            self._failures_by_name.pop(name, None)
        return result

    def _leave_alone(self, name: str, now: float) -> None:
        """Send nothing to an entry for a while, as its request has failed."""
        failures = self._failures_by_name.get(name, 0)
        self._failures_by_name[name] = failures + 1
        pause_s = min(MAX_ENTRY_BACKOFF_S, FIRST_ENTRY_BACKOFF_S * 2**failures)
        self._left_alone_until_by_name[name] = now + pause_s
