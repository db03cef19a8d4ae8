"""Peers port that opens with the first call."""

from __future__ import annotations

import queue

import pytest

from lagoonpulley.peers.calls import AdviceAnswer, PeerCall
from lagoonpulley.peers.on_demand import OnDemandPeersPort, PreparePeers
from lagoonpulley.runtime.role import Reply, Request
from lagoonpulley.upstream.tasks import Advice, AskAdvice

MAX_WAIT_S = 30.0
QUESTION = AskAdvice("a" * 16, 0, 0, ("w0", "w1"))
ANSWER = AdviceAnswer(Advice({"w0": "permit"}, 2.0))


class Entry:
    def __init__(self):
        self.received = queue.SimpleQueue()
        self.port = OnDemandPeersPort("127.0.0.1", 0, self._deliver)

    def _deliver(self, _role, message):
        self.received.put(message)

    def next_message(self):
        return self.received.get(timeout=MAX_WAIT_S)


@pytest.fixture
def entries():
    made = (Entry(), Entry())
    yield made
    for entry in made:
        entry.port.close()


def test_call_opens_the_ports_of_both_sides_and_is_answered(entries):
    caller, callee = entries
    call = PeerCall(callee.port.address, QUESTION)
    caller.port.submit(Request("1", "owner", call, MAX_WAIT_S))
    request = callee.next_message()
    assert request.operation == QUESTION
    callee.port.submit(Reply(request.request_id, ANSWER))
    assert caller.next_message().result == ANSWER


def test_prepared_port_sends_calls_as_well(entries):
    caller, callee = entries
    caller.port.submit(PreparePeers())
    call = PeerCall(callee.port.address, QUESTION)
    caller.port.submit(Request("1", "owner", call, MAX_WAIT_S))
    assert callee.next_message().operation == QUESTION


def test_port_without_a_call_can_be_closed():
    Entry().port.close()
