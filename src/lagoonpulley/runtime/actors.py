"""Runtime of the roles: runs each one on an executor with a single thread."""

from __future__ import annotations

import heapq
import logging
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, Protocol

from ..model.verdict import Ran
from .clocks import boot_time, read_clocks
from .entry_load import EntryLoadLog
from .load import LoadMeter
from .role import (
    CALLERS,
    WAKE,
    CallFailed,
    Now,
    Reply,
    Request,
    Role,
    Send,
    Tick,
    WakeAfter,
)
from .suspension import SuspensionLog

__all__ = ["CallerPort", "Port", "Runtime", "WakePort"]

_log = logging.getLogger(__name__)


class Port(Protocol):
    """Adapter between the messages of roles and an outside interface."""

    def submit(self, message: Any) -> None:
        """Accept one message without blocking."""
        ...

    def close(self) -> None:
        """Stop the adapter's thread and close its sockets."""
        ...


class CallerPort:
    """Resolves the futures on which threads outside the roles wait for a reply."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._future_by_request_id: dict[str, Future[Any]] = {}

    def expect(self, request_id: str) -> Future[Any]:
        """Return the future that the reply to this request will resolve."""
        future: Future[Any] = Future()
        with self._lock:
            self._future_by_request_id[request_id] = future
        return future

    def forget(self, request_id: str) -> None:
        """Discard the future of a request whose caller no longer waits."""
        with self._lock:
            self._future_by_request_id.pop(request_id, None)

    def submit(self, message: Any) -> None:
        """Resolve the future of the request that a reply belongs to."""
        if not isinstance(message, Reply):
            return
        with self._lock:
            future = self._future_by_request_id.pop(message.request_id, None)
        if future is not None and not future.done():
            future.set_result(message.result)

    def close(self) -> None:
        """Cancel all futures that are not yet resolved."""
        with self._lock:
            futures = list(self._future_by_request_id.values())
            self._future_by_request_id.clear()
        for future in futures:
            future.cancel()


class WakePort:
    """Sends ticks to roles at their intervals, and to single roles on request.

    :param deliver: puts a message into the mailbox of a role.
    """

    def __init__(self, deliver: Callable[[str, Any], None]) -> None:
        self._deliver = deliver
        self._condition = threading.Condition()
        self._pending_wakes: list[tuple[float, str]] = []
        self._closed = False
        self._interval_by_role: dict[str, float] = {}
        self._suspension_log = SuspensionLog()
        self._thread = threading.Thread(target=self._run, name="wake", daemon=True)

    def start(self, interval_by_role: dict[str, float | None]) -> None:
        """Send a first tick to every role, and further ones at the intervals.

        :param interval_by_role: intervals in seconds; ``None`` for no further ticks.
        """
        now = boot_time()
        for role, interval_s in interval_by_role.items():
            heapq.heappush(self._pending_wakes, (now, role))
            if interval_s is not None:
                self._interval_by_role[role] = interval_s
        self._thread.start()

    def submit(self, message: WakeAfter) -> None:
        """Schedule one tick for a role."""
        with self._condition:
            wake = (boot_time() + message.delay_s, message.role)
            heapq.heappush(self._pending_wakes, wake)
            self._condition.notify()

    def close(self) -> None:
        """Stop sending ticks."""
        with self._condition:
            self._closed = True
            self._condition.notify()

    def _run(self) -> None:
        next_tick_by_role = dict.fromkeys(self._interval_by_role, boot_time())
        while not self._closed:
            self._suspension_log.check()
            now = boot_time()
            due = self._pop_due_roles(now)
            for role, at in next_tick_by_role.items():
                if now < at:
                    continue
                next_tick_by_role[role] = now + self._interval_by_role[role]
                due.append(role)
            for role in dict.fromkeys(due):
                self._deliver(role, Tick())
            self._wait(min(next_tick_by_role.values(), default=None))

    def _wait(self, until: float | None) -> None:
        """Wait for the next request, until a time or the first pending wake."""
        with self._condition:
            if self._closed:
                return
            if self._pending_wakes:
                first = self._pending_wakes[0][0]
                until = first if until is None else min(until, first)
            if until is None:
                self._condition.wait()
            else:
                self._condition.wait(max(0.0, until - boot_time()))

    def _pop_due_roles(self, now: float) -> list[str]:
        with self._condition:
            roles = []
            while self._pending_wakes and self._pending_wakes[0][0] <= now:
                roles.append(heapq.heappop(self._pending_wakes)[1])
        return roles


class Runtime:
    """Delivers messages between the roles and ports of one process.

    :param clocks: returns the current monotonic and wall-clock time.
    :param monotonic: returns the monotonic time in seconds.
    :param load: receives the measurements of the roles.
    """

    def __init__(
        self,
        clocks: Callable[[], Now] = read_clocks,
        monotonic: Callable[[], float] = boot_time,
        load: LoadMeter | None = None,
    ) -> None:
        self._clocks = clocks
        self._monotonic = monotonic
        self._load = load or LoadMeter()
        self._load_log = EntryLoadLog(self._load.add_reader())
        self._role_by_name: dict[str, Role] = {}
        self._executor_by_name: dict[str, ThreadPoolExecutor] = {}
        self._port_by_name: dict[str, Port] = {}
        self._stopped = threading.Event()
        self._wake = WakePort(self.deliver)
        self.callers = CallerPort()
        self._port_by_name[CALLERS] = self.callers
        self._port_by_name[WAKE] = self._wake

    def add_role(self, role: Role) -> None:
        """Register a role and create its thread."""
        self._role_by_name[role.name] = role
        self._load.add_role(role.name)
        self._executor_by_name[role.name] = ThreadPoolExecutor(
            max_workers=1, thread_name_prefix=role.name
        )

    def add_port(self, name: str, port: Port) -> None:
        """Register a port under the name to which roles send messages."""
        self._port_by_name[name] = port

    def start(self) -> None:
        """Start sending ticks to the registered roles."""
        self._wake.start(
            {name: role.tick_interval_s for name, role in self._role_by_name.items()}
        )

    def deliver(self, to: str, message: Any) -> None:
        """Deliver a message to the mailbox of a role, or to a port.

        Messages to unknown names are dropped, as are those to roles after :meth:`stop`.
        """
        port = self._port_by_name.get(to)
        if port is not None:
            port.submit(message)
            return
        executor = self._executor_by_name.get(to)
        if executor is None or self._stopped.is_set():
            return
        self._load.role_by_name[to].record_queued()
        try:
            executor.submit(self._process, to, message, self._monotonic())
        except RuntimeError:
            _log.debug(
                "message dropped: the role's executor is shut down", extra={"role": to}
            )

    def call(self, to: str, operation: Any, timeout_s: float, request_id: str) -> Any:
        """Send a request to a role or port and block until its result arrives.

        :param timeout_s: timeout in seconds.
        :raises TimeoutError: if no reply arrives in time.
        :raises concurrent.futures.CancelledError: if the runtime is stopped first.
        """
        future = self.callers.expect(request_id)
        self.deliver(to, Request(request_id, CALLERS, operation, timeout_s))
        try:
            return future.result(timeout=timeout_s)
        finally:
            self.callers.forget(request_id)

    def stop(self) -> None:
        """Stop all roles and then all ports; further calls have no effect."""
        if self._stopped.is_set():
            return
        self._stopped.set()
        for executor in self._executor_by_name.values():
            executor.shutdown(wait=True, cancel_futures=True)
        for port in self._port_by_name.values():
            port.close()

    def _process(self, name: str, message: Any, queued_at: float) -> None:
        role = self._role_by_name[name]
        meter = self._load.role_by_name[name]
        now = self._clocks()
        meter.record_began(queued_at, now.mono)
        kind = role.kind_of(message)
        self._handle(role, message, now)
        ended_at = self._monotonic()
        meter.record_ended(kind, now.mono, ended_at)
        self._load_log.write_if_due(ended_at)

    def _handle(self, role: Role, message: Any, now: Now) -> None:
        try:
            sends = role.handle(message, now)
        except Exception:
            kind = type(message).__name__
            _log.exception(
                "role raised an exception while processing a message",
                extra={"role": role.name, "message_kind": kind},
            )
            return
        self._send_all(sends)

    def _send_all(self, sends: list[Send]) -> None:
        for send in sends:
            try:
                self.deliver(send.to, send.message)
            except Exception as error:
                # The messages after this one must be sent, and a request needs a reply.
                _log.exception("port raised an exception", extra={"port": send.to})
                self._fail_request(send.message, error)

    def _fail_request(self, message: Any, error: Exception) -> None:
        if not isinstance(message, Request):
            return
        failed = CallFailed(Ran.MAYBE, f"port raised {type(error).__name__}")
        self.deliver(message.reply_to, Reply(message.request_id, failed))
