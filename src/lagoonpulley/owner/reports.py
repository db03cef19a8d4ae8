"""What a worker's report changes in a term of ownership."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..observability.events import log_event
from ..workload.record import EndKind

if TYPE_CHECKING:
    from ..upstream.tasks import Ended, TaskRef, WorkerReport
    from .link import Hold, WorkerLink
    from .term import OwnerTerm

__all__ = ["take_report"]

# What a worker's clock must show past a start's time before the start is given up.
START_SLACK_MS = 200
# A worker lists so many ends at a time; the rest follows their acknowledgement.
MOST_ENDS_LISTED = 500


def take_report(
    term: OwnerTerm, link: WorkerLink, report: WorkerReport, sent_at: float
) -> list[TaskRef]:
    """Take in what a worker lists.

    :param sent_at: when the question was sent, in monotonic seconds.
    :returns: runs that should not be there.
    """
    if term.is_other_life(link, report.born):
        term.end_old_life(link)
        link = _replace_link(term, link, report.born)
    elif report.born and not link.info.born:
        link.info = replace(link.info, born=report.born)
    link.note_report(report, term.now.mono)
    for ended in report.ended:
        if ended.number > link.processed:
            _take_end(term, link, ended)
            link.processed = ended.number
    if not link.waiting_commits:
        link.acknowledged = link.processed
    unknown = _compare_running(term, link, report, sent_at)
    term.refresh_accepting(link)
    return unknown


def _replace_link(term: OwnerTerm, link: WorkerLink, born: int) -> WorkerLink:
    link.info = replace(link.info, born=born)
    link.processed = link.acknowledged = 0
    term.cell.put_worker(link.info)
    return link


def _take_end(term: OwnerTerm, link: WorkerLink, ended: Ended) -> None:
    record = term.end_run(link, ended.ref, ended.kind, ended.checkpoint)
    if record is None:
        return
    link.waiting_commits += 1

    def acknowledge() -> None:
        link.waiting_commits -= 1
        if not link.waiting_commits:
            link.acknowledged = link.processed
            link.next_sync_at = 0.0

    term.journal.note(record, acknowledge)


def _compare_running(
    term: OwnerTerm, link: WorkerLink, report: WorkerReport, sent_at: float
) -> list[TaskRef]:
    unknown = []
    listed = set()
    for running in report.running:
        listed.add(running.ref)
        hold = link.hold_by_ref.get(running.ref)
        if hold is None:
            unknown.append(running.ref)
            continue
        hold.listed = True
        if hold.settled_at is None:
            hold.settled_at = term.now.mono
        _note_checkpoint(term, running.ref, running.checkpoint)
        if _stands_still(term, hold, running.percent):
            _stop_stalled(term, link, hold)
    if len(report.ended) >= MOST_ENDS_LISTED:
        # The end of a run that is not listed may follow once these are acknowledged.
        return unknown
    for ref, hold in list(link.hold_by_ref.items()):
        if ref not in listed:
            _look_for(term, link, hold, report, sent_at)
    return unknown


def _stands_still(term: OwnerTerm, hold: Hold, percent: int) -> bool:
    record = term.record_by_id.get(hold.ref.job_id)
    if record is None:
        return False
    estimate_s = record.step_of(hold.ref.key).estimate_s
    return hold.progress.record_progress(percent, term.now.mono, estimate_s)


def _stop_stalled(term: OwnerTerm, link: WorkerLink, hold: Hold) -> None:
    """Have a run that stands still stopped, and its worker avoided."""
    if hold.stop_wanted:
        return
    hold.stop_wanted = True
    term.shun_for_step(link.info.id, hold.ref)
    workers = len(term.link_by_worker_id)
    until = term.suspicion.record_stall(link.info.id, term.now.mono, workers)
    log_event(
        "task_stalled",
        job=hold.ref.job_id,
        task=list(hold.ref.key),
        run=hold.ref.run,
        worker=link.info.id,
        percent=hold.progress.percent,
    )
    term.avoid(link, until)


def _look_for(
    term: OwnerTerm, link: WorkerLink, hold: Hold, report: WorkerReport, sent_at: float
) -> None:
    """Decide whether a run that is not listed is gone or still on its way."""
    if hold.settled_at is None:
        if hold.not_after_ms and (report.clock_ms > hold.not_after_ms + START_SLACK_MS):
            hold.settled_at = term.now.mono
        return
    if sent_at > hold.settled_at:
        term.end_run(link, hold.ref, EndKind.LAPSED, "", "worker does not list it")


def _note_checkpoint(term: OwnerTerm, ref: TaskRef, checkpoint: str) -> None:
    record = term.record_by_id.get(ref.job_id)
    task = record.task_by_key.get(ref.key) if record else None
    if task is not None and checkpoint:
        task.checkpoint = checkpoint
