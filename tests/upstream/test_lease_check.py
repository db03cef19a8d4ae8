"""Tests of the last check before a command leaves."""

from __future__ import annotations

from lagoonpulley.model.verdict import Ran
from lagoonpulley.runtime.role import Now
from lagoonpulley.upstream.lease_check import check_sender_lease
from lagoonpulley.upstream.messages import Fence, UpstreamCall


def test_command_after_the_lease_surely_did_not_run():
    call = UpstreamCall("w1", "http://127.0.0.1:1", Fence(3), valid_until=10.0)
    assert check_sender_lease(call, Now(10.0, 0.0)) is None
    assert check_sender_lease(call, Now(10.1, 0.0)).ran is Ran.NO
