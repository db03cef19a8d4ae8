"""A job's story in plain words, from the events of its decisions."""

from __future__ import annotations

import datetime
import json
from typing import TYPE_CHECKING, Any

from .logs import concerns

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["events_from_lines", "explain_events"]

_SENTENCE_BY_EVENT = {
    "job_accepted": "accepted for team {team}: {kind} of {tasks} task(s)",
    "job_cancelled": "cancelled by its caller",
    "request_routed": "{request} routed by {via} to owner {owner} of {group}",
    "task_placed": (
        "task {task} placed on {worker} ({reason}, {candidates} workers seen) "
        "after waiting {waited_s} s, attempt {attempt}, epoch {epoch}"
    ),
    "task_running": "task {task} runs on {worker}",
    "task_preempted": "task {task} gives up its room on {worker}: {reason}",
    "task_requeued": "task {task} waits again ({outcome}): {reason}",
    "task_adopted": "task {task} on {worker} adopted by the owner of epoch {epoch}",
    "task_ended": "task {task} ended on {worker}: {state}, ran: {ran} {reason}",
    "stale_attempt_stopped": "an old attempt of task {task} was stopped on {worker}",
    "output_damaged": "the output of task {task} from {worker} arrived damaged",
}


class _Fields(dict[str, Any]):
    """Fields of an event; a missing one reads as a question mark."""

    def __missing__(self, _key: str) -> str:
        return "?"


def events_from_lines(lines: Iterable[str], job_id: str) -> list[dict[str, Any]]:
    """Return the events in log lines that concern a job.

    Lines that are not JSON objects are passed over.
    """
    events = []
    for line in lines:
        try:
            fields = json.loads(line)
        except ValueError:
            continue
        if isinstance(fields, dict) and concerns(fields, job_id):
            events.append(fields)
    return events


def explain_events(events: Iterable[dict[str, Any]]) -> list[str]:
    """Return one sentence per event, in order of time."""
    ordered = sorted(events, key=lambda fields: str(fields.get("time", "")))
    sentences = []
    for fields in ordered:
        template = _SENTENCE_BY_EVENT.get(str(fields.get("event")))
        if template is None:
            continue
        text = template.format_map(_Fields(fields)).strip()
        sentences.append(f"{_time_of(fields)} {text}")
    return sentences


def _time_of(fields: dict[str, Any]) -> str:
    time = fields.get("time")
    if isinstance(time, int | float):
        moment = datetime.datetime.fromtimestamp(time, tz=datetime.UTC)
        return moment.isoformat(timespec="milliseconds")
    return str(time)
