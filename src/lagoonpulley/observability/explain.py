"""Readable sentences for the logged events of a job."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING, Any

from .log_lines import read_events
from .logs import concerns_job

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["events_from_lines", "explain_events"]

_SENTENCE_BY_EVENT = {
    "job_accepted": "accepted for team {team}: {kind} job of {tasks} task(s)",
    "job_cancelled": "cancelled by its caller",
    "request_routed": "{request} routed by {via} to {owner}, the owner of {group}",
    "task_placed": (
        "task {task} placed on {worker} ({reason}, workers considered: {candidates}) "
        "after waiting {waited_s} s, attempt {attempt}, epoch {epoch}"
    ),
    "task_running": "task {task} is running on {worker}",
    "task_preempted": "task {task} preempted on {worker}: {reason}",
    "task_requeued": "task {task} requeued ({outcome}) {reason}",
    "task_adopted": "task {task} on {worker} adopted by the owner of epoch {epoch}",
    "task_ended": "task {task} ended on {worker} ({state}, ran: {ran}) {reason}",
    "stale_attempt_stopped": "stale attempt of task {task} stopped on {worker}",
    "output_damaged": (
        "output of task {task} from {worker} does not match its length or digest"
    ),
}

# Events of jobs that consist of steps. Some event names occur in both tables; of
# those, only the events of step jobs have a "run" field.
_STEP_SENTENCE_BY_EVENT = {
    "job_submitted": (
        "accepted for team {team} in queue {queue} under policy revision "
        "{policy_revision}; stored at revision {revision}"
    ),
    "request_served": "{kind} answered after {took_s} s ({outcome}) {reason}",
    "job_known": "known to the owner {age_s} s after submission",
    "step_waits": (
        "step {step} is waiting (block reason: {blocked}, advisor request pending: "
        "{asking}, allowed workers: {allowed}, waiting steps: {waiting_steps})"
    ),
    "task_placed": (
        "task {task} placed on {worker} as run {run} with fencing token {token}, "
        "{waited_s} s after submission"
    ),
    "start_failed": "start of run {run} of task {task} on {worker} failed: {reason}",
    "task_stalled": (
        "run {run} of task {task} stalled on {worker} at {percent} % progress"
    ),
    "task_ended": "run {run} of task {task} ended on {worker} ({end}) {reason}",
    "unknown_run": "{worker} listed unknown run {run} of task {task}; it is stopped",
    "job_final": "final: {state} ({reason}), {age_s} s after submission",
}


class _Fields(dict[str, Any]):
    """Fields of an event; a missing field is rendered as a question mark."""

    def __missing__(self, _key: str) -> str:
        return "?"


def events_from_lines(lines: Iterable[str], job_id: str) -> list[dict[str, Any]]:
    """Return the events in log lines that concern a job.

    :func:`~.log_lines.read_events` skips lines that hold no event.
    """
    return [fields for fields in read_events(lines) if concerns_job(fields, job_id)]


def explain_events(events: Iterable[dict[str, Any]]) -> list[str]:
    """Return one sentence per event that has a template.

    Events are sorted by the text of their time, so all times must have the same
    format and number of digits.
    """
    ordered = sorted(events, key=lambda fields: str(fields.get("time", "")))
    sentences = []
    for fields in ordered:
        template = _template_of(fields)
        if template is None:
            continue
        text = template.format_map(_Fields(fields)).strip()
        entry = fields.get("entry", "")
        sentences.append(f"{_format_time(fields)} {entry} {text}")
    return sentences


def _template_of(fields: dict[str, Any]) -> str | None:
    event = str(fields.get("event"))
    if "run" in fields or event not in _SENTENCE_BY_EVENT:
        return _STEP_SENTENCE_BY_EVENT.get(event)
    return _SENTENCE_BY_EVENT[event]


def _format_time(fields: dict[str, Any]) -> str:
    time = fields.get("time")
    if isinstance(time, int | float):
        moment = datetime.datetime.fromtimestamp(time, tz=datetime.UTC)
        return moment.isoformat(timespec="milliseconds")
    return str(time)
