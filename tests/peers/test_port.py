"""Calls to addresses that are none, over the real port."""

from __future__ import annotations

import queue

import pytest

from lagoonpulley.model.verdict import Ran
from lagoonpulley.peers.calls import PeerCall
from lagoonpulley.peers.on_demand import OnDemandPeersPort
from lagoonpulley.runtime.role import CallFailed, Request
from lagoonpulley.upstream.tasks import AskAdvice

MAX_WAIT_S = 30.0
QUESTION = AskAdvice("a" * 16, 0, 0, ("w0",))


@pytest.fixture
def delivered():
    return queue.SimpleQueue()


@pytest.fixture
def port(delivered):
    made = OnDemandPeersPort("127.0.0.1", 0, lambda *sent: delivered.put(sent))
    yield made
    made.close()


@pytest.mark.parametrize(
    "address",
    [
        "",
        "127.0.0.1",
        "127.0.0.1:abc",
        "127.0.0.1:99999",
        "127.0.0.1:-1",
        "127.0.0.1:" + "9" * 5000,
        "a\0b:1",
        "x" * 300 + ":1",
    ],
)
def test_call_to_an_address_that_is_none_was_not_sent(port, delivered, address):
    port.submit(Request("1", "owner", PeerCall(address, QUESTION), MAX_WAIT_S))
    _, reply = delivered.get(timeout=MAX_WAIT_S)
    assert isinstance(reply.result, CallFailed) and reply.result.ran is Ran.NO
    port.submit(Request("2", "owner", PeerCall(port.address, QUESTION), MAX_WAIT_S))
    _, request = delivered.get(timeout=MAX_WAIT_S)
    assert request.operation == QUESTION
