"""Tests of the lease check before a command is sent.

A process that was paused may resume after its lease has expired; it must then not send
the commands that it decided on before the pause.
"""

from __future__ import annotations

from lagoonpulley.model.verdict import Ran
from lagoonpulley.runtime.role import Now
from lagoonpulley.upstream.lease_check import check_sender_lease
from lagoonpulley.upstream.messages import Fence, UpstreamCall


def test_command_after_the_lease_is_not_sent():
    call = UpstreamCall("w1", "http://127.0.0.1:1", Fence(3), valid_until=10.0)
    assert check_sender_lease(call, Now(10.0, 0.0)) is None
    assert check_sender_lease(call, Now(10.1, 0.0)).ran is Ran.NO
