"""Arguments and helper functions shared by several subcommands."""

from __future__ import annotations

import json
import os
import queue
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

from ..runtime.curl import CurlLoop, HttpAnswer, HttpCall, HttpFailure
from ..settings.load import load_settings
from ..store.client import StoreClient
from .errors import CommandError

if TYPE_CHECKING:
    import argparse
    from collections.abc import Iterator

    from ..settings.schema import Settings

__all__ = [
    "add_entry_argument",
    "add_key_argument",
    "add_settings_argument",
    "call_entry",
    "open_store",
    "read_settings",
]

KEY_ENVIRONMENT_VARIABLE = "LAGOONPULLEY_KEY"
HTTP_TIMEOUT_MARGIN_S = 20.0


def add_settings_argument(parser: argparse.ArgumentParser) -> None:
    """Add ``--settings``, a settings file that contains the address of the store."""
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="settings file of any entry"
    )


def add_entry_argument(parser: argparse.ArgumentParser, required: bool = True) -> None:
    """Add ``--entry``, the HTTP address of an entry."""
    parser.add_argument(
        "--entry",
        required=required,
        metavar="URL",
        help="HTTP address of any entry, such as http://127.0.0.1:8080",
    )


def add_key_argument(parser: argparse.ArgumentParser) -> None:
    """Add ``--key``, whose default comes from an environment variable."""
    parser.add_argument(
        "--key",
        default=os.environ.get(KEY_ENVIRONMENT_VARIABLE, ""),
        help=f"API key of the team; default: ${KEY_ENVIRONMENT_VARIABLE}",
    )


def read_settings(path: str) -> Settings:
    """Return validated settings.

    :raises CommandError: if the file is invalid; names every invalid setting.
    """
    loaded = load_settings(path)
    if loaded.is_error():
        lines = [f"{path}: {error}" for error in loaded.error]
        raise CommandError("\n".join(lines))
    return loaded.ok


@contextmanager
def open_store(settings: Settings) -> Iterator[StoreClient]:
    """Open a client of the store at the address in the settings."""
    client = StoreClient(settings.store.url, settings.store.timeout_s)
    try:
        yield client
    finally:
        client.close()


def call_entry(
    entry: str,
    method: str,
    path: str,
    body: Any = None,
    headers: tuple[str, ...] = (),
    timeout_s: float = HTTP_TIMEOUT_MARGIN_S,
) -> Any:
    """Send an HTTP request to an entry and return the JSON of a successful response.

    :raises CommandError: if the request fails or the entry refuses it.
    """
    raw = b"" if body is None else json.dumps(body).encode()
    call = HttpCall(
        method,
        entry.rstrip("/") + path,
        raw,
        timeout_s,
        ("Content-Type: application/json", *headers),
    )
    outcome = _perform(call)
    if isinstance(outcome, HttpFailure):
        raise CommandError(f"{entry}: {outcome.reason} (ran: {outcome.ran.value})")
    try:
        value = json.loads(outcome.body)
    except ValueError:
        raise CommandError(
            f"{entry} answered with status {outcome.status} and no JSON"
        ) from None
    if outcome.status >= 400:
        raise CommandError(
            f"{value.get('title')}: {value.get('detail')} (ran: {value.get('ran')})"
        )
    return value


def _perform(call: HttpCall) -> HttpAnswer | HttpFailure:
    outcomes: queue.SimpleQueue = queue.SimpleQueue()
    loop = CurlLoop("command")
    try:
        loop.submit(call, outcomes.put)
        return outcomes.get()
    finally:
        loop.close()
