"""Calls of other entries that are not answered in time are no faults of the process."""

from __future__ import annotations

import asyncio
import logging
import queue
import time
from types import SimpleNamespace

import pytest
from grpclib.client import Channel
from grpclib.const import Cardinality
from grpclib.exceptions import GRPCError
from grpclib.metadata import Deadline
from tests.support.logged_events import capture_events

from lagoonpulley.observability import events as event_quotas
from lagoonpulley.peers.calls import AdviceAnswer, PeerCall
from lagoonpulley.peers.codec import JsonCodec
from lagoonpulley.peers.on_demand import open_listener
from lagoonpulley.peers.port import PeersPort
from lagoonpulley.peers.service import METHOD_BY_REQUEST
from lagoonpulley.runtime.role import CallFailed, Reply, Request
from lagoonpulley.upstream.tasks import Advice, AskAdvice

MAX_WAIT_S = 30.0
SHORT_S = 0.1
# Lines that no test reaches.
MAX_LINES_PER_S = 1000
QUESTION = AskAdvice("a" * 16, 0, 0, ("w0", "w1"))
ANSWER = AdviceAnswer(Advice({"w0": "permit"}, 2.0))
METHOD = METHOD_BY_REQUEST[AskAdvice]


class Entry:
    """A real port; ``on_request`` takes the calls of other entries, on its thread."""

    def __init__(self):
        self.results = queue.SimpleQueue()
        self.on_request = self.answer
        self.port = PeersPort(open_listener("127.0.0.1", 0), self._deliver)

    def answer(self, request, result=ANSWER):
        self.port.submit(Reply(request.request_id, result))

    def call(self, other, timeout_s=MAX_WAIT_S):
        call = PeerCall(other.port.address, QUESTION)
        self.port.submit(Request("1", "owner", call, timeout_s))
        return self.results.get(timeout=MAX_WAIT_S).result

    def _deliver(self, _role, message):
        if isinstance(message, Request):
            self.on_request(message)
        else:
            self.results.put(message)


class SpentDeadline(Deadline):
    """A deadline that passes between the check of the caller and its request."""

    checks = 0

    def time_remaining(self):
        self.checks += 1
        return MAX_WAIT_S if self.checks == 1 else 0.0


@pytest.fixture
def entries():
    made = (Entry(), Entry())
    yield made
    for entry in made:
        entry.port.close()


@pytest.fixture
def events(monkeypatch):
    monkeypatch.setattr(event_quotas, "_quota_by_event", {})
    monkeypatch.setattr(event_quotas, "MAX_FAILURE_LINES_PER_S", MAX_LINES_PER_S)
    with capture_events() as captured:
        yield captured


def faults(caplog):
    return [record for record in caplog.records if record.levelno >= logging.ERROR]


def call_in_vain(caller, callee, on_request):
    """Call another entry until it has received a call that ended without an answer.

    On a busy machine a call may run out of time before it arrives.
    """
    received = queue.SimpleQueue()

    def receive(request):
        received.put(request)
        on_request(request)

    callee.on_request = receive
    while received.empty():
        assert isinstance(caller.call(callee, SHORT_S), CallFailed)
    callee.on_request = callee.answer


def wait_for_late_call(events):
    """Wait until a late call was logged that had reached its handler."""
    until = time.monotonic() + MAX_WAIT_S
    while time.monotonic() < until:
        if any(late["call"] == "AskAdvice" for late in events.named("peer_call_late")):
            return
        time.sleep(0.01)
    raise AssertionError("no late call was logged")


def call_after_the_deadline(address):
    async def call():
        host, _, port = address.rpartition(":")
        channel = Channel(host, int(port), codec=JsonCodec())
        deadline = SpentDeadline.from_timeout(MAX_WAIT_S)
        stream = channel.request(
            METHOD.path,
            Cardinality.UNARY_UNARY,
            METHOD.request_type,
            METHOD.answer_type,
            deadline=deadline,
        )
        try:
            async with stream:
                await stream.send_message(QUESTION, end=True)
                await stream.recv_message()
        finally:
            channel.close()

    with pytest.raises(GRPCError):
        asyncio.run(call())


def test_answer_that_meets_the_deadline_leaves_an_event_and_no_traceback(
    entries, events, caplog
):
    caller, callee = entries

    def answer_at_the_deadline(request):
        callee.answer(request)
        # The port's thread finds the answer and the passed deadline at once.
        time.sleep(request.timeout_s + 0.05)

    call_in_vain(caller, callee, answer_at_the_deadline)
    assert caller.call(callee) == ANSWER
    wait_for_late_call(events)
    assert not faults(caplog)


def test_call_without_an_answer_leaves_an_event_and_no_traceback(
    entries, events, caplog
):
    caller, callee = entries
    call_in_vain(caller, callee, lambda request: None)
    assert caller.call(callee) == ANSWER
    wait_for_late_call(events)
    assert not faults(caplog)


def test_call_that_arrives_after_its_deadline_leaves_an_event_and_no_traceback(
    entries, events, caplog
):
    caller, callee = entries
    call_after_the_deadline(callee.port.address)
    assert caller.call(callee) == ANSWER
    assert not faults(caplog)
    assert len(events.named("peer_call_late")) == 1


def test_late_calls_write_no_more_lines_than_failures(entries, events, monkeypatch):
    monkeypatch.setattr(event_quotas, "time", SimpleNamespace(monotonic=lambda: 0.0))
    monkeypatch.setattr(event_quotas, "MAX_FAILURE_LINES_PER_S", 2)
    _, callee = entries
    for _ in range(5):
        call_after_the_deadline(callee.port.address)
    lines = events.named("peer_call_late")
    assert len(lines) == event_quotas.MAX_FAILURE_LINES_PER_S


def test_calls_that_the_closing_port_ends_are_not_late(events):
    caller, callee = Entry(), Entry()
    waiting = queue.SimpleQueue()
    callee.on_request = waiting.put
    call = PeerCall(callee.port.address, QUESTION)
    caller.port.submit(Request("1", "owner", call, MAX_WAIT_S))
    waiting.get(timeout=MAX_WAIT_S)
    callee.port.close()
    caller.port.close()
    assert not events.named("peer_call_late")


@pytest.mark.parametrize("error", [TimeoutError("of a role"), RuntimeError("fault")])
def test_fault_of_the_process_keeps_its_traceback(entries, caplog, error):
    caller, callee = entries

    def fail(_request):
        raise error

    callee.on_request = fail
    assert isinstance(caller.call(callee), CallFailed)
    assert [record.exc_info[1] for record in faults(caplog)] == [error]
