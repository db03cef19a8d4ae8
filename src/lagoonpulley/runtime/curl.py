"""HTTP client: runs concurrent requests on one thread with a pycurl multi handle."""

from __future__ import annotations

import io
import logging
import queue
import selectors
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

import pycurl

from ..model.verdict import Ran

__all__ = ["CurlLoop", "HttpAnswer", "HttpCall", "HttpFailure", "Traffic"]

_log = logging.getLogger(__name__)

CONNECT_TIMEOUT_MS = 1000
MAX_CACHED_CONNECTIONS = 600
IDLE_WAIT_S = 1.0
MAX_ANSWER_BYTES = 8_000_000

# The other side refused the connection or closed it, as it does when its process ends.
_CLOSED_ERRORS = frozenset(
    (
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_GOT_NOTHING,
        pycurl.E_PARTIAL_FILE,
        pycurl.E_RECV_ERROR,
        pycurl.E_SEND_ERROR,
        pycurl.E_SEND_FAIL_REWIND,
    )
)


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One HTTP request; timeouts are in seconds.

    Without a ``total_timeout_s``, ``timeout_s`` limits the whole request. With one,
    ``timeout_s`` limits how long no part of the response body arrives.
    """

    method: str
    url: str
    body: bytes
    timeout_s: float
    headers: tuple[str, ...] = ("Content-Type: application/json",)
    total_timeout_s: float | None = None


@dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes of one HTTP request and its response, with headers."""

    sent_bytes: int = 0
    received_bytes: int = 0


NO_TRAFFIC = Traffic()


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete HTTP response."""

    status: int
    body: bytes
    traffic: Traffic = NO_TRAFFIC


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """A request without a complete response.

    ``ran`` says whether the server may have received the request, ``partial`` whether
    part of the response body arrived, ``closed`` whether the other side refused the
    connection or closed it.
    """

    ran: Ran
    reason: str
    partial: bool = False
    traffic: Traffic = NO_TRAFFIC
    closed: bool = False


HttpOutcome = HttpAnswer | HttpFailure
Completion = Callable[[HttpOutcome], None]


@dataclass(slots=True)
class _Transfer:
    """A request in flight and the buffer for its response body.

    ``received_bytes`` is the length of the body when it was last seen to grow, at the
    monotonic time ``progress_at``.
    """

    call: HttpCall
    complete: Completion
    buffer: io.BytesIO
    progress_at: float
    received_bytes: int = 0

    def silent_at(self, now: float) -> float:
        """Return when the request times out if nothing more arrives."""
        if self.buffer.tell() != self.received_bytes:
            self.received_bytes = self.buffer.tell()
            self.progress_at = now
        return self.progress_at + self.call.timeout_s


class CurlLoop:
    """Event loop for HTTP requests; completions are called on its own thread.

    :param name: name of the thread.
    """

    def __init__(self, name: str) -> None:
        self._submitted_calls: queue.SimpleQueue[tuple[HttpCall, Completion] | None]
        self._submitted_calls = queue.SimpleQueue()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_CACHED_CONNECTIONS)
        self._timer_at: float | None = None
        self._transfer_by_handle: dict[pycurl.Curl, _Transfer] = {}
        # The transfers with a total timeout, which may not be silent for too long.
        self._watched_by_handle: dict[pycurl.Curl, _Transfer] = {}
        self._silence_check_at: float | None = None
        self._spare_handles: list[pycurl.Curl] = []
        self._closing = False
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()

    def submit(self, call: HttpCall, complete: Completion) -> None:
        """Queue a request.

        :param complete: called exactly once with the outcome, unless the loop is closed
            first.
        """
        self._submitted_calls.put((call, complete))
        self._wake()

    def close(self) -> None:
        """Stop the loop and abort requests in flight; further calls have no effect."""
        if not self._thread.is_alive():
            return
        self._submitted_calls.put(None)
        self._wake()
        self._thread.join()
        # Only now: the thread may end before it is woken.
        self._wake_writer.close()
        self._wake_reader.close()

    def _wake(self) -> None:
        try:
            self._wake_writer.send(b"\0")
        except BlockingIOError:
            return

    def _run(self) -> None:
        while not self._closing:
            ready = self._selector.select(self._wait_s())
            for key, mask in ready:
                self._on_ready(key.fd, mask)
            self._start_submitted()
            self._fire_timer()
            self._finish_transfers()
            self._stop_silent_transfers()
        self._shut_down()

    def _wait_s(self) -> float:
        times = (self._timer_at, self._silence_check_at)
        due = [at for at in times if at is not None]
        if not due:
            return IDLE_WAIT_S
        return max(0.0, min(IDLE_WAIT_S, min(due) - time.monotonic()))

    def _on_ready(self, descriptor: int, mask: int) -> None:
        if descriptor == self._wake_reader.fileno():
            self._drain_wake()
            return
        events = 0
        if mask & selectors.EVENT_READ:
            events |= pycurl.CSELECT_IN
        if mask & selectors.EVENT_WRITE:
            events |= pycurl.CSELECT_OUT
        self._multi.socket_action(descriptor, events)

    def _drain_wake(self) -> None:
        try:
            while self._wake_reader.recv(4096):
                continue
        except BlockingIOError:
            return

    def _start_submitted(self) -> None:
        while True:
            try:
                submitted = self._submitted_calls.get_nowait()
            except queue.Empty:
                return
            if submitted is None:
                self._closing = True
                return
            self._start_or_fail(*submitted)

    def _start_or_fail(self, call: HttpCall, complete: Completion) -> None:
        """Start a request; one that libcurl does not take fails alone.

        Addresses, headers and times come from records that others write.
        """
        handle = self._spare_handles.pop() if self._spare_handles else pycurl.Curl()
        try:
            self._start_transfer(handle, call, complete)
        except Exception as error:
            self._transfer_by_handle.pop(handle, None)
            self._watched_by_handle.pop(handle, None)
            handle.close()
            reason = f"request cannot be sent: {type(error).__name__}: {error}"
            _complete(complete, HttpFailure(Ran.NO, _to_text(reason)))

    def _start_transfer(
        self, handle: pycurl.Curl, call: HttpCall, complete: Completion
    ) -> None:
        buffer = io.BytesIO()
        handle.setopt(pycurl.URL, call.url)
        handle.setopt(pycurl.CUSTOMREQUEST, call.method)
        # Without the last, libcurl waits a second for "100 Continue" before it sends a
        # large body; a call may have less time.
        handle.setopt(pycurl.HTTPHEADER, [*call.headers, "Expect:"])
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.TCP_NODELAY, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.MAXFILESIZE, MAX_ANSWER_BYTES)
        limit_s = call.timeout_s
        if call.total_timeout_s is not None:
            limit_s = max(limit_s, call.total_timeout_s)
        handle.setopt(pycurl.TIMEOUT_MS, max(1, int(limit_s * 1000)))
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        handle.setopt(pycurl.WRITEDATA, buffer)
        if call.body:
            # libcurl repeats a request whose reused connection breaks off, unless it
            # cannot rewind the body. Only the caller knows whether to send it again.
            handle.setopt(pycurl.POST, 1)
            handle.setopt(pycurl.POSTFIELDSIZE, len(call.body))
            handle.setopt(pycurl.READFUNCTION, io.BytesIO(call.body).read)
        transfer = _Transfer(call, complete, buffer, progress_at=time.monotonic())
        self._transfer_by_handle[handle] = transfer
        if call.total_timeout_s is not None:
            self._watched_by_handle[handle] = transfer
        self._multi.add_handle(handle)

    def _on_socket(self, event: int, descriptor: int, _multi: object, _data: object):
        is_registered = descriptor in self._selector.get_map()
        if event == pycurl.POLL_REMOVE:
            if is_registered:
                self._selector.unregister(descriptor)
            return
        mask = 0
        if event & pycurl.POLL_IN:
            mask |= selectors.EVENT_READ
        if event & pycurl.POLL_OUT:
            mask |= selectors.EVENT_WRITE
        if not mask:
            return
        if is_registered:
            self._selector.modify(descriptor, mask)
        else:
            self._selector.register(descriptor, mask)

    def _on_timer(self, timeout_ms: int) -> None:
        if timeout_ms < 0:
            self._timer_at = None
        else:
            self._timer_at = time.monotonic() + timeout_ms / 1000

    def _fire_timer(self) -> None:
        if self._timer_at is None or self._timer_at > time.monotonic():
            return
        self._timer_at = None
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def _finish_transfers(self) -> None:
        while True:
            remaining, finished, failed = self._multi.info_read()
            for handle in finished:
                self._finish(handle, self._answer_of(handle))
            for handle, code, message in failed:
                self._finish(handle, self._failure_of(handle, code, message))
            if not remaining:
                return

    def _stop_silent_transfers(self) -> None:
        now = time.monotonic()
        self._silence_check_at = None
        for handle, transfer in list(self._watched_by_handle.items()):
            silent_at = transfer.silent_at(now)
            if silent_at <= now:
                reason = f"no data for {transfer.call.timeout_s:.1f} s"
                code = pycurl.E_OPERATION_TIMEDOUT
                self._finish(handle, self._failure_of(handle, code, reason))
                continue
            if self._silence_check_at is None or silent_at < self._silence_check_at:
                self._silence_check_at = silent_at

    def _answer_of(self, handle: pycurl.Curl) -> HttpAnswer:
        body = self._transfer_by_handle[handle].buffer.getvalue()
        status = handle.getinfo(pycurl.RESPONSE_CODE)
        return HttpAnswer(status, body, _traffic_of(handle))

    def _failure_of(self, handle: pycurl.Curl, code: int, message: str) -> HttpFailure:
        # Also counts what was sent on a reused connection that broke off: libcurl
        # repeats a request without a body on a new one, whose failure says nothing
        # about the first.
        sent = handle.getinfo(pycurl.REQUEST_SIZE) > 0
        message = _to_text(message)
        traffic = _traffic_of(handle)
        closed = code in _CLOSED_ERRORS
        if not sent:
            return HttpFailure(Ran.NO, message, traffic=traffic, closed=closed)
        partial = self._transfer_by_handle[handle].buffer.tell() > 0
        return HttpFailure(Ran.MAYBE, message, partial, traffic, closed)

    def _finish(self, handle: pycurl.Curl, outcome: HttpOutcome) -> None:
        transfer = self._transfer_by_handle.pop(handle)
        self._watched_by_handle.pop(handle, None)
        self._multi.remove_handle(handle)
        handle.reset()
        self._spare_handles.append(handle)
        _complete(transfer.complete, outcome)

    def _shut_down(self) -> None:
        for handle in list(self._transfer_by_handle):
            self._multi.remove_handle(handle)
            handle.close()
        self._transfer_by_handle.clear()
        self._watched_by_handle.clear()
        for handle in self._spare_handles:
            handle.close()
        self._multi.close()
        self._selector.close()


def _complete(complete: Completion, outcome: HttpOutcome) -> None:
    try:
        complete(outcome)
    except Exception:
        # The thread must go on for the other requests.
        _log.exception("completion of a request raised an exception")


def _to_text(message: str) -> str:
    """Return a message with ``?`` for bytes of the server that are not UTF-8."""
    return message.encode(errors="replace").decode()


def _traffic_of(handle: pycurl.Curl) -> Traffic:
    # REQUEST_SIZE covers the headers and the body that were sent.
    received_bytes = handle.getinfo(pycurl.HEADER_SIZE) + int(
        handle.getinfo(pycurl.SIZE_DOWNLOAD_T)
    )
    return Traffic(handle.getinfo(pycurl.REQUEST_SIZE), received_bytes)
