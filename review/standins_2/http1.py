"""A small HTTP/1.1 server for the stand-ins, on asyncio streams."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit

Handler = Callable[["Request"], Awaitable[tuple[int, Any]]]

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


@dataclass(frozen=True, slots=True)
class Request:
    """One request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body, an empty table if there is none."""
        return json.loads(self.body) if self.body else {}


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Listen on an address and answer requests with JSON bodies."""

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await _read_request(reader, writer)
                if request is None:
                    break
                status, body = await handler(request)
                data = json.dumps(body, separators=(",", ":")).encode()
                reason = REASONS.get(status, "Status")
                head = (
                    f"HTTP/1.1 {status} {reason}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(
        on_connection, host, port, backlog=512, limit=8_000_000
    )


async def _read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    if headers.get("expect", "").lower() == "100-continue":
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    url = urlsplit(target)
    query = dict(parse_qsl(url.query, keep_blank_values=True))
    return Request(method, url.path, query, headers, body)
