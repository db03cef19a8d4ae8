"""Rollout of a configuration revision: which entries have applied it."""

from __future__ import annotations

import time
from typing import Any

from .common import call_entry

__all__ = ["print_rollout", "wait_for_rollout"]

ROLLOUT_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.25


def wait_for_rollout(entry: str, revision: int) -> bool:
    """Wait until all entries have applied a revision or the timeout ends; print which.

    :param entry: HTTP address of any entry.
    :returns: whether all entries have confirmed the revision.
    """
    deadline = time.monotonic() + ROLLOUT_TIMEOUT_S
    while True:
        status = call_entry(entry, "GET", "/v1/status")
        lagging_ids = _lagging_entry_ids(status, revision)
        if not lagging_ids or time.monotonic() >= deadline:
            break
        time.sleep(POLL_INTERVAL_S)
    print_rollout(status, revision)
    return not lagging_ids


def print_rollout(status: Any, revision: int) -> None:
    """Print for each entry whether it has applied a revision."""
    for entry_id, data_centre, reported, is_unreachable in _reported_revisions(status):
        state = (
            "applied"
            if reported >= revision
            else f"not applied yet, current revision {reported}"
        )
        if is_unreachable:
            state = f"not confirmed, entry unreachable, last revision {reported}"
        print(f"{data_centre} {entry_id}: revision {revision} {state}")
    unconfirmed = sorted({item[1] for item in _reported_revisions(status) if item[3]})
    if unconfirmed:
        print(f"data centres with unreachable entries: {' '.join(unconfirmed)}")


def _reported_revisions(status: Any) -> list[tuple[str, str, int, bool]]:
    this_entry = status["entry"]
    entries = [
        (this_entry["entry_id"], this_entry["data_centre"], status["revision"], False)
    ]
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


def _lagging_entry_ids(status: Any, revision: int) -> list[str]:
    return [
        entry_id
        for entry_id, _, reported, is_unreachable in _reported_revisions(status)
        if reported < revision or is_unreachable
    ]
