"""One connection of a caller: receives whole requests and sends their responses."""

from __future__ import annotations

import asyncio
import time
from email.utils import formatdate
from enum import Enum
from typing import TYPE_CHECKING, Protocol

import h11

from ..observability.events import log_event
from .wsgi import HttpRequest, HttpResponse

if TYPE_CHECKING:
    from collections.abc import Callable

    from .http_limits import HttpLimits

__all__ = ["ConnectionOwner", "HttpConnection", "Phase"]

BAD_REQUEST = 400
HEADERS_TOO_LARGE = 431
SERVICE_UNAVAILABLE = 503
RETRY_AFTER_S = 1
# How much more a caller may send after a refusal; a reset could reach it before that.
LINGER_BYTES = 262_144
# What Python takes for a header besides its text, and the size up to which the head of
# a request is not counted, as for nearly all of them.
HEADER_OVERHEAD_BYTES = 250
UNCOUNTED_HEAD_BYTES = 8_192
# Parts of requests, such as small chunks, that are handled before others have a turn.
PARTS_AT_ONCE = 32


class Phase(Enum):
    """What a connection is busy with.

    ``IDLE``: no part of a request has arrived. ``RECEIVING``: a part has.
    ``ANSWERING``: the application has the request. ``SENDING``: the caller has not
    taken the whole response yet. ``LINGERING``: all is sent, and what still comes from
    the caller is dropped.
    """

    IDLE = "idle"
    RECEIVING = "receiving"
    ANSWERING = "answering"
    SENDING = "sending"
    LINGERING = "lingering"


class ConnectionOwner(Protocol):
    """What a connection needs of its server; all calls come from the server's loop."""

    limits: HttpLimits
    receive_buffer: memoryview
    is_closing: bool

    def add(self, connection: HttpConnection) -> None:
        """Record that a connection is open."""
        ...

    def remove(self, connection: HttpConnection) -> None:
        """Record that a connection is closed."""
        ...

    def set_phase(self, connection: HttpConnection, phase: Phase) -> None:
        """Set the phase of a connection, which begins now."""
        ...

    def set_held_bytes(self, connection: HttpConnection, count: int) -> None:
        """Record how many bytes of an unanswered request a connection holds."""
        ...

    def answer(self, connection: HttpConnection, request: HttpRequest) -> None:
        """Have a request answered by :meth:`HttpConnection.send`."""
        ...

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call back once the other connections have had a turn."""
        ...

    def record_refusal(self, status: int, reason: str) -> None:
        """Record that a request is refused before it has arrived as a whole."""
        ...


class HttpConnection(asyncio.BufferedProtocol):
    """Parses the requests of one connection, one after the other.

    At most one request is with the application. What arrives meanwhile stays in the
    socket, but for one piece.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        self.phase = Phase.IDLE
        self.held_bytes = 0
        # Whether more has arrived than the request that is being answered.
        self.sends_ahead = False
        self._owner = owner
        self._limits = owner.limits
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.head_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._request: HttpRequest | None = None
        self._takes_no_more = False
        self._lingered_bytes = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """See :class:`asyncio.BaseProtocol`."""
        self._transport = transport
        # Told as soon as a response is not taken at once.
        transport.set_write_buffer_limits(0)
        self._owner.add(self)

    def connection_lost(self, _error: Exception | None) -> None:
        """See :class:`asyncio.BaseProtocol`."""
        self._transport = None
        self._owner.remove(self)

    def get_buffer(self, _size_hint: int) -> memoryview:
        """See :class:`asyncio.BufferedProtocol`."""
        return self._owner.receive_buffer

    def buffer_updated(self, count: int) -> None:
        """See :class:`asyncio.BufferedProtocol`."""
        if self.phase is Phase.LINGERING:
            self._lingered_bytes += count
            if self._lingered_bytes > LINGER_BYTES:
                self.abort()
            return
        self._http.receive_data(bytes(self._owner.receive_buffer[:count]))
        if self.phase in (Phase.ANSWERING, Phase.SENDING):
            self.sends_ahead = True
            self._transport.pause_reading()
            return
        self._advance()

    def eof_received(self) -> bool:
        """See :class:`asyncio.BaseProtocol`; a caller may close its half early."""
        if self.phase in (Phase.ANSWERING, Phase.SENDING):
            self._http.receive_data(b"")
            return True
        return False

    def pause_writing(self) -> None:
        """See :class:`asyncio.BaseProtocol`."""
        self._takes_no_more = True

    def resume_writing(self) -> None:
        """See :class:`asyncio.BaseProtocol`."""
        self._takes_no_more = False
        if self.phase is Phase.SENDING:
            self._finish_response()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request has begun to arrive."""
        if self.phase is Phase.IDLE and self._transport is not None:
            self._transport.close()

    def send(self, response: HttpResponse) -> None:
        """Send the response of the application, if there still is a connection."""
        if self._transport is None:
            return
        try:
            closes = self._request.is_refused or self._owner.is_closing
            self._write(response, closes)
        except h11.LocalProtocolError as error:
            log_event("response_failed", error=str(error))
            self.abort()
            return
        if self._takes_no_more:
            self._owner.set_phase(self, Phase.SENDING)
        else:
            self._finish_response()

    def refuse(self, status: int, reason: str) -> None:
        """Refuse the request that is arriving, and close the connection.

        :param reason: for the log.
        """
        if self._transport is None or self.phase is Phase.LINGERING:
            return
        self._owner.record_refusal(status, reason)
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.abort()
            return
        headers = []
        if status == SERVICE_UNAVAILABLE:
            headers.append(("Retry-After", str(RETRY_AFTER_S)))
        self._write(HttpResponse(status, headers), closes=True)
        self._linger()

    def _advance(self) -> None:
        """Handle what has arrived, up to the next whole request."""
        try:
            for _ in range(PARTS_AT_ONCE):
                if not self._handle_event(self._http.next_event()):
                    return
        except h11.RemoteProtocolError as error:
            self.refuse(error.error_status_hint, "not understood")
            return
        self._record_received()
        # Otherwise it has just been refused, as it holds most.
        if self.phase is Phase.RECEIVING:
            self._transport.pause_reading()
            self._owner.call_soon(self._go_on)

    def _go_on(self) -> None:
        """Handle more of what has arrived, unless the connection is ending."""
        if self._transport is not None and self.phase is Phase.RECEIVING:
            self._advance()

    def _handle_event(self, event: object) -> bool:
        """Handle a part of a request; return whether to look for the next one."""
        if event is h11.NEED_DATA:
            self._wait_for_more()
            return False
        if isinstance(event, h11.Request):
            return self._begin_request(event)
        if isinstance(event, h11.Data):
            return self._add_to_body(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._hand_over()
        elif isinstance(event, h11.ConnectionClosed):
            self._transport.close()
        return False

    def _wait_for_more(self) -> None:
        # Not before: what is left may hold many more requests.
        self._transport.resume_reading()
        self._record_received()

    def _record_received(self) -> None:
        unparsed, _ = self._http.trailing_data
        has_begun = self._request is not None or unparsed
        if has_begun and self.phase is Phase.IDLE:
            self._owner.set_phase(self, Phase.RECEIVING)
        self._set_held_bytes(len(unparsed) + _held_bytes(self._request))

    def _begin_request(self, event: h11.Request) -> bool:
        if len(event.headers) > self._limits.headers:
            self.refuse(HEADERS_TOO_LARGE, "too many headers")
            return False
        is_tunnel = event.method == b"CONNECT"
        if is_tunnel or not event.target.startswith(b"/"):
            self.refuse(BAD_REQUEST, "not a path")
            return False
        self._request = HttpRequest(
            event.method.decode("ascii"),
            event.target.decode("latin-1"),
            event.http_version.decode("ascii"),
            list(event.headers),
        )
        self._request.head_bytes = len(event.target) + sum(
            len(name) + len(value) + HEADER_OVERHEAD_BYTES
            for name, value in event.headers
        )
        declared = _declared_body_bytes(self._request)
        if declared > self._limits.body_bytes:
            self._hand_over_refused(declared)
            return False
        names = {name for name, _ in event.headers}
        if b"content-length" in names or b"transfer-encoding" in names:
            self._request.body = bytearray()
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._http.send(go_on))
        return True

    def _add_to_body(self, data: bytes) -> bool:
        body = self._request.body
        body += data
        if len(body) > self._limits.body_bytes:
            self._hand_over_refused(len(body))
            return False
        return True

    def _hand_over_refused(self, body_bytes: int) -> None:
        """Have the application refuse a request whose body is too large."""
        self._request.body = None
        self._request.refused_bytes = body_bytes
        self._hand_over()

    def _hand_over(self) -> None:
        request = self._request
        self._owner.set_phase(self, Phase.ANSWERING)
        unparsed, _ = self._http.trailing_data
        self.sends_ahead = bool(unparsed)
        self._set_held_bytes(len(unparsed) + _held_bytes(request))
        self._owner.answer(self, request)

    def _write(self, response: HttpResponse, closes: bool) -> None:
        headers = [("Date", formatdate(time.time(), usegmt=True)), *response.headers]
        names = {name.lower() for name, _ in headers}
        if "content-length" not in names:
            headers.append(("Content-Length", str(len(response.body))))
        if closes and "connection" not in names:
            headers.append(("Connection", "close"))
        head = h11.Response(status_code=response.status, headers=headers)
        parts = [self._http.send(head)]
        has_body = self._request is None or self._request.method != "HEAD"
        if response.body and has_body:
            parts.append(self._http.send(h11.Data(data=response.body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._transport.write(b"".join(parts))

    def _finish_response(self) -> None:
        if self._request.is_refused:
            self._linger()
            return
        self._request = None
        if self._http.our_state is h11.MUST_CLOSE or self._owner.is_closing:
            self._transport.close()
            return
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            # The caller has closed its half.
            self._transport.close()
            return
        self._owner.set_phase(self, Phase.IDLE)
        self._advance()

    def _linger(self) -> None:
        """Close after the caller has had time to read the response.

        To close with unread bytes resets the connection, which may destroy it.
        """
        # Nothing that has arrived is needed any more, and nothing of it is counted.
        self._request = None
        self._http = None
        self._set_held_bytes(0)
        self._owner.set_phase(self, Phase.LINGERING)
        self._transport.resume_reading()
        self._transport.write_eof()

    def _set_held_bytes(self, count: int) -> None:
        if count != self.held_bytes:
            self._owner.set_held_bytes(self, count)


def _declared_body_bytes(request: HttpRequest) -> int:
    """Return the size of the body that a request declares; 0 if it declares none."""
    for name, value in request.headers:
        if name == b"content-length":
            return int(value)
    return 0


def _held_bytes(request: HttpRequest | None) -> int:
    """Return about how many bytes a request takes, as far as it has arrived."""
    if request is None:
        return 0
    head_bytes = max(0, request.head_bytes - UNCOUNTED_HEAD_BYTES)
    return head_bytes + len(request.body or b"")
