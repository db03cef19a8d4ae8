"""A job's story in plain words, from the events of its decisions."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING, Any

from .log_lines import read_events
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

# Events of jobs of steps; their runs are numbered.
_STEP_SENTENCE_BY_EVENT = {
    "job_submitted": (
        "accepted for team {team} in queue {queue} under policy revision "
        "{policy_revision}; stored as revision {revision}"
    ),
    "request_served": "{kind} answered: {outcome} {reason}(took {took_s} s)",
    "job_known": "known to the owner {age_s} s after it was accepted",
    "step_waits": (
        "step {step} waits: blocked by {blocked}, asking the advisor: {asking}, "
        "{allowed} workers allowed, {waiting_steps} steps wait in all"
    ),
    "task_placed": (
        "task {task} placed on {worker} as run {run} under token {token}, "
        "{waited_s} s after it was accepted"
    ),
    "start_failed": "run {run} of task {task} was not started on {worker}: {reason}",
    "task_stalled": "run {run} of task {task} stands still on {worker} at {percent} %",
    "task_ended": "run {run} of task {task} ended on {worker}: {end} {reason}",
    "unknown_run": "{worker} listed run {run}, which is not wanted; it is stopped",
    "job_final": "final: {state} ({reason}), {age_s} s after it was accepted",
}


class _Fields(dict[str, Any]):
    """Fields of an event; a missing one reads as a question mark."""

    def __missing__(self, _key: str) -> str:
        return "?"


def events_from_lines(lines: Iterable[str], job_id: str) -> list[dict[str, Any]]:
    """Return the events in log lines that concern a job.

    See :func:`~.log_lines.read_events` for what is passed over.
    """
    return [fields for fields in read_events(lines) if concerns(fields, job_id)]


def explain_events(events: Iterable[dict[str, Any]]) -> list[str]:
    """Return one sentence per event, in order of time."""
    ordered = sorted(events, key=lambda fields: str(fields.get("time", "")))
    sentences = []
    for fields in ordered:
        template = _template_of(fields)
        if template is None:
            continue
        text = template.format_map(_Fields(fields)).strip()
        entry = fields.get("entry", "")
        sentences.append(f"{_time_of(fields)} {entry} {text}")
    return sentences


def _template_of(fields: dict[str, Any]) -> str | None:
    event = str(fields.get("event"))
    if "run" in fields or event not in _SENTENCE_BY_EVENT:
        return _STEP_SENTENCE_BY_EVENT.get(event)
    return _SENTENCE_BY_EVENT[event]


def _time_of(fields: dict[str, Any]) -> str:
    time = fields.get("time")
    if isinstance(time, int | float):
        moment = datetime.datetime.fromtimestamp(time, tz=datetime.UTC)
        return moment.isoformat(timespec="milliseconds")
    return str(time)
