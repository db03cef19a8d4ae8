"""Runs a WSGI application on one request that has been received as a whole."""

from __future__ import annotations

import io
import sys
import traceback
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote_to_bytes

from werkzeug.exceptions import RequestEntityTooLarge

from ..observability.events import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["HttpRequest", "HttpResponse", "run_application"]

MAX_TRACE_LENGTH = 1_000


@dataclass(slots=True)
class HttpRequest:
    """One request; names of headers are in lower case.

    ``body`` is ``None`` if the request has none, and ``head_bytes`` is about how much
    memory the rest takes. ``refused_bytes`` is the size, as far as it is known, of a
    body that is larger than the server takes, and was not read; 0 of any other.
    """

    method: str
    target: str
    version: str
    headers: list[tuple[bytes, bytes]]
    head_bytes: int = 0
    body: bytearray | None = None
    refused_bytes: int = 0

    @property
    def is_refused(self) -> bool:
        """Whether the body is larger than the server takes."""
        return self.refused_bytes > 0


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """One response; ``status`` is a code."""

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""


class _RefusedBody(io.RawIOBase):
    """The body of a request that is too large: to read it fails."""

    def readable(self) -> bool:
        return True

    def read(self, _size: int = -1) -> bytes:
        raise RequestEntityTooLarge


def run_application(
    app: Callable, request: HttpRequest, server: tuple[str, int]
) -> HttpResponse:
    """Return the response of an application.

    An exception of the application is logged, and answered with status 500.

    :param server: address of the server.
    """
    started: list[tuple[str, list[tuple[str, str]]]] = []

    def start_response(status: str, headers: list, _exc_info: Any = None) -> Any:
        started[:] = [(status, headers)]
        return written.append

    written: list[bytes] = []
    environ = _environ(request, server)
    # The environment has it now.
    request.body = None
    try:
        parts = app(environ, start_response)
        try:
            written.extend(parts)
        finally:
            close = getattr(parts, "close", None)
            if close is not None:
                close()
        status, headers = started[0]
        return HttpResponse(int(status[:3]), headers, b"".join(written))
    except Exception as error:
        trace = traceback.format_exc()[-MAX_TRACE_LENGTH:]
        log_event("application_failed", error=type(error).__name__, trace=trace)
        return HttpResponse(500)
    finally:
        # werkzeug's request and this refer to each other, so that the body would stay
        # until the next full collection of garbage.
        environ.clear()


def _environ(request: HttpRequest, server: tuple[str, int]) -> dict[str, Any]:
    """Return the environment of a request after PEP 3333."""
    path, _, query = request.target.partition("?")
    environ: dict[str, Any] = {
        "REQUEST_METHOD": request.method,
        "SCRIPT_NAME": "",
        "PATH_INFO": unquote_to_bytes(path).decode("latin-1"),
        "QUERY_STRING": query,
        "SERVER_NAME": server[0],
        "SERVER_PORT": str(server[1]),
        "SERVER_PROTOCOL": f"HTTP/{request.version}",
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "http",
        "wsgi.errors": sys.stderr,
        "wsgi.multithread": True,
        "wsgi.multiprocess": False,
        "wsgi.run_once": False,
        "wsgi.input_terminated": True,
    }
    for raw_name, raw_value in request.headers:
        name = raw_name.decode("latin-1")
        if "_" in name:
            # It would be taken for the header with a hyphen in its place.
            continue
        key = name.upper().replace("-", "_")
        if key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            key = f"HTTP_{key}"
        value = raw_value.decode("latin-1")
        known = environ.get(key)
        environ[key] = value if known is None else f"{known},{value}"
    if request.is_refused:
        environ["CONTENT_LENGTH"] = str(request.refused_bytes)
        environ["wsgi.input"] = _RefusedBody()
        return environ
    if request.body is not None:
        environ["CONTENT_LENGTH"] = str(len(request.body))
    environ["wsgi.input"] = io.BytesIO(bytes(request.body or b""))
    return environ
