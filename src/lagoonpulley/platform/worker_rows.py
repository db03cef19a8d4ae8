"""Reads the rows of workers' lists; an odd row or value costs only itself."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass, field
from typing import Any

from ..observability.events import log_event
from ..upstream.tasks import Ended, Running, TaskRef
from ..workload.record import EndKind
from ..workload.spec import TaskKey
from .ranges import MAX_WHOLE

__all__ = ["EndedRows", "RunningRows", "read_ended", "read_permits", "read_running"]

# The numbers in a task's name.
TASK_NUMBER = re.compile(r"[0-9]{1,15}")
# Of an odd row, in its log line.
MAX_ROW_TEXT = 200


@dataclass(slots=True)
class RunningRows:
    """The runs in a list; ``all_read`` is false if a row may be of any run."""

    runs: list[Running] = field(default_factory=list)
    all_read: bool = True


@dataclass(slots=True)
class EndedRows:
    """The ends in a list, and the numbers of those that could not be read."""

    ends: list[Ended] = field(default_factory=list)
    unread_numbers: list[int] = field(default_factory=list)
    all_read: bool = True


def read_running(rows: list[Any], max_checkpoint_bytes: int) -> RunningRows:
    """Read rows of task, run, checkpoint, percent and, if there is one, load.

    :param max_checkpoint_bytes: a longer checkpoint cannot be stored.
    """
    result = RunningRows()
    odd_rows = []
    for row in rows:
        name, number, checkpoint, percent, load = _pad(row, 5)
        ref = _read_ref(name, number)
        if ref is None:
            odd_rows.append(row)
            result.all_read = result.all_read and _is_foreign(name)
            continue
        run = Running(
            ref,
            _read_checkpoint(ref, checkpoint, max_checkpoint_bytes),
            _read_percent(ref, percent),
            _read_load(ref, load),
        )
        result.runs.append(run)
    _log_odd_rows("running", odd_rows)
    return result


def read_ended(rows: list[Any], max_checkpoint_bytes: int) -> EndedRows:
    """Read rows of number, task, run, kind and checkpoint; see :func:`read_running`."""
    result = EndedRows()
    odd_rows = []
    for row in rows:
        number, name, run, kind, checkpoint = _pad(row, 5)
        end_number = _read_whole(number)
        ref = _read_ref(name, run)
        if end_number is None or ref is None:
            odd_rows.append(row)
            result.all_read = result.all_read and _is_foreign(name)
            if end_number is not None:
                result.unread_numbers.append(end_number)
            continue
        saved = _read_checkpoint(ref, checkpoint, max_checkpoint_bytes)
        result.ends.append(Ended(end_number, ref, _read_end_kind(kind), saved))
    _log_odd_rows("finished", odd_rows)
    return result


def read_permits(rows: list[Any]) -> dict[str, str]:
    """Read an advisor's pairs of worker and permit."""
    permit_by_worker_id = {}
    odd_rows = []
    for row in rows:
        worker_id, permit = _pad(row, 2)
        if not isinstance(worker_id, str) or not isinstance(permit, str):
            odd_rows.append(row)
            continue
        permit_by_worker_id[worker_id] = permit
    _log_odd_rows("good", odd_rows)
    return permit_by_worker_id


def _pad(row: Any, length: int) -> list[Any]:
    """Return the first fields of a row, ``None`` for each that it lacks."""
    fields = row[:length] if isinstance(row, list) else []
    return fields + [None] * (length - len(fields))


def _log_odd_rows(name: str, rows: list[Any]) -> None:
    """Log the rows of one list that cannot be read, as one line."""
    if rows:
        first = repr(rows[0])[:MAX_ROW_TEXT]
        log_event("worker_rows_refused", list=name, rows=len(rows), first=first)


def _refuse_value(ref: TaskRef, field_name: str, reason: str) -> None:
    log_event(
        "worker_value_refused",
        job=ref.job_id,
        task=list(ref.key),
        run=ref.run,
        field=field_name,
        reason=reason,
    )


def _is_foreign(name: Any) -> bool:
    """Return whether a name is of no task that was ever started from here."""
    return isinstance(name, str) and _parse_task(name) is None


def _read_ref(name: Any, number: Any) -> TaskRef | None:
    task = _parse_task(name) if isinstance(name, str) else None
    run = _read_whole(number)
    if task is None or run is None:
        return None
    return TaskRef(*task, run)


def _parse_task(name: str) -> tuple[str, TaskKey] | None:
    """Return the job and the task in a name, ``None`` if it has another format."""
    job_id, *parts = name.split(".")
    if len(parts) != 3 or not all(map(TASK_NUMBER.fullmatch, parts)):
        return None
    return job_id, TaskKey(*map(int, parts))


def _read_whole(value: Any) -> int | None:
    """Return a value as a whole number, ``None`` if it is none or out of range."""
    try:
        number = int(value)
    except (ValueError, TypeError, ArithmeticError):
        return None
    return number if 0 <= number <= MAX_WHOLE else None


def _read_checkpoint(ref: TaskRef, value: Any, max_bytes: int) -> str:
    """Return a checkpoint, empty if there is none that can be stored."""
    if value is None:
        return ""
    if not isinstance(value, str):
        _refuse_value(ref, "checkpoint", "not a text")
        return ""
    try:
        size = len(value) if value.isascii() else len(value.encode())
    except UnicodeEncodeError:
        _refuse_value(ref, "checkpoint", "not Unicode")
        return ""
    if size > max_bytes:
        _refuse_value(ref, "checkpoint", f"{size} bytes")
        return ""
    return value


def _read_percent(ref: TaskRef, value: Any) -> int | None:
    percent = _read_whole(value)
    if percent is None:
        _refuse_value(ref, "percent", "not a whole number")
    return percent


def _read_load(ref: TaskRef, value: Any) -> float:
    if value is None:
        return 0.0
    try:
        load = float(value)
    except (ValueError, TypeError, ArithmeticError):
        load = math.nan
    if not math.isfinite(load):
        _refuse_value(ref, "load", "not a finite number")
        return 0.0
    return load


def _read_end_kind(kind: Any) -> EndKind:
    """Return the kind of end; an unknown one counts as a failure of the task."""
    try:
        return EndKind(kind)
    except ValueError:
        log_event("end_kind_unknown", kind=str(kind)[:MAX_ROW_TEXT])
        return EndKind.FAILED
