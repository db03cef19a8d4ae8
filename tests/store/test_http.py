"""Timeouts of store calls over HTTP."""

from __future__ import annotations

import pytest

from lagoonpulley.runtime.role import Request
from lagoonpulley.store.http import StorePort
from lagoonpulley.store.messages import Get


class RecordingLoop:
    """Records the calls that a port submits."""

    def __init__(self):
        self.calls = []

    def submit(self, call, complete):
        self.calls.append(call)


@pytest.mark.parametrize("total_timeout_s", [None, 10.0])
def test_call_has_both_timeouts_of_its_request(total_timeout_s):
    port = StorePort("http://127.0.0.1:1", lambda to, message: None)
    port.close()
    port._loop = RecordingLoop()
    port.submit(Request("id", "role", Get("key"), 0.5, total_timeout_s))
    (call,) = port._loop.calls
    assert (call.timeout_s, call.total_timeout_s) == (0.5, total_timeout_s)
