"""Where a revision of the configuration is in force."""

from __future__ import annotations

import time
from typing import Any

from .common import call_entry

__all__ = ["print_in_force", "wait_until_in_force"]

WAIT_S = 5.0
POLL_S = 0.25


def wait_until_in_force(entry: str, revision: int) -> bool:
    """Wait until every entry that can be reached has a revision; print which.

    :param entry: HTTP address of any entry.
    :returns: whether all have confirmed it.
    """
    until = time.monotonic() + WAIT_S
    while True:
        status = call_entry(entry, "GET", "/v1/status")
        lagging = _lagging(status, revision)
        if not lagging or time.monotonic() >= until:
            break
        time.sleep(POLL_S)
    print_in_force(status, revision)
    return not lagging


def print_in_force(status: Any, revision: int) -> None:
    """Print the revision that each entry reported last."""
    for entry_id, data_centre, reported, is_silent in _entries(status):
        state = "in force" if reported >= revision else f"has {reported}"
        if is_silent:
            state = f"not confirmed, silent, last reported {reported}"
        print(f"{data_centre} {entry_id}: revision {revision} {state}")
    missing = sorted({item[1] for item in _entries(status) if item[3]})
    if missing:
        print(f"data centres with entries that have not confirmed: {' '.join(missing)}")


def _entries(status: Any) -> list[tuple[str, str, int, bool]]:
    me = status["entry"]
    entries = [(me["entry_id"], me["data_centre"], status["revision"], False)]
    for peer in status["peers"]:
        entries.append(
            (
                peer["entry_id"],
                peer["data_centre"],
                peer["configuration_revision"],
                peer["entry_id"] in status["silent"],
            )
        )
    return sorted(entries, key=lambda item: (item[1], item[0]))


def _lagging(status: Any, revision: int) -> list[str]:
    return [
        entry_id
        for entry_id, _, reported, is_silent in _entries(status)
        if reported < revision or is_silent
    ]
