"""Check of the sender's lease immediately before a command is sent to a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.verdict import Ran
from ..runtime.role import CallFailed

if TYPE_CHECKING:
    from ..runtime.role import Now
    from .messages import UpstreamCall

__all__ = ["SENDER_LEASE_EXPIRED", "check_sender_lease"]

SENDER_LEASE_EXPIRED = "the owner's lease ended before the command was sent"


def check_sender_lease(call: UpstreamCall, now: Now) -> CallFailed | None:
    """Return a failure if the sender's lease expired before the command was sent.

    The lease may run out while the process is paused between the decision and the
    send; another owner may then already command the worker.

    :param call: the command about to be sent.
    :param now: clocks read immediately before sending.
    """
    if now.mono <= call.valid_until:
        return None
    return CallFailed(Ran.NO, SENDER_LEASE_EXPIRED)
