"""Fencing tokens of the commands to one worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..upstream.tasks import CommandRefused, Refusal

if TYPE_CHECKING:
    from .term import OwnerTerm
    from .worker_state import WorkerState

__all__ = ["is_fenced_by_own_token", "raise_token_if_needed", "request_token"]


def is_fenced_by_own_token(worker: WorkerState, token: int, result: object) -> bool:
    """Return whether a later command of this owner has overtaken one.

    :param token: that of the refused command.
    :param result: what became of it.
    """
    is_fenced = isinstance(result, CommandRefused) and result.reason is Refusal.FENCED
    return is_fenced and token < worker.token


def raise_token_if_needed(term: OwnerTerm, worker: WorkerState) -> None:
    """Use a token above those of unanswered commands, if there is one.

    Once the worker has answered a command under it, it refuses them. Until the next
    commit provides such a token, the present one stays in use.
    """
    if worker.awaits_token or not worker.leases.needs_token_above(worker.token):
        return
    if term.journal.head_revision > worker.token:
        worker.renew_token(term.journal.head_revision)
    else:
        request_token(term, worker)


def request_token(term: OwnerTerm, worker: WorkerState) -> None:
    """Give the current incarnation of a worker the revision of the next commit."""
    if worker.token_requested:
        return
    worker.token_requested = True
    incarnation = worker.incarnation

    def renew() -> None:
        if term.is_current(worker, incarnation):
            worker.renew_token(term.journal.head_revision)

    term.journal.call_after_next_commit(renew)
