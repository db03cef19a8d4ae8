"""Operations of the HTTP ports that cannot be encoded, or whose answers are odd."""

from __future__ import annotations

import queue

import pytest
from tests.support.logged_events import capture_events

from lagoonpulley.model.verdict import Ran
from lagoonpulley.platform.ports import HttpPort, StoreHttpPort
from lagoonpulley.platform.store import PlatformStoreCodec
from lagoonpulley.platform.workers import PlatformWorkerCodec
from lagoonpulley.runtime.actors import read_clocks
from lagoonpulley.runtime.curl import HttpCall
from lagoonpulley.runtime.load import LoadMeter
from lagoonpulley.runtime.role import CallFailed, Request
from lagoonpulley.store.health import StoreHealthTracker
from lagoonpulley.store.messages import Get, GrantLease, Transaction, WatchPrefix, Write
from lagoonpulley.upstream.tasks import StopTask, TaskRef, WorkerAddress
from lagoonpulley.workload.spec import TaskKey

MAX_WAIT_S = 30.0
# More failures than make the store count as unreachable.
SUBMITTED = 10
URL = "http://127.0.0.1:1/"


class Codec:
    """Encodes any operation as the same call; decoding raises the given error."""

    def __init__(self, error):
        self._error = error

    def encode(self, operation, timeout_s):
        """Return a call that fails at once."""
        return HttpCall("GET", URL, b"", timeout_s)

    def decode(self, operation, outcome):
        """Raise the error."""
        raise self._error


@pytest.fixture
def delivered():
    return queue.SimpleQueue()


@pytest.fixture
def open_port(delivered):
    ports = []

    def open_one(codec):
        port = HttpPort(
            "test", codec, lambda *sent: delivered.put(sent), LoadMeter().add_port("p")
        )
        ports.append(port)
        return port

    yield open_one
    for port in ports:
        port.close()


def request(operation):
    return Request("1", "owner", operation, MAX_WAIT_S)


def test_operation_that_cannot_be_encoded_is_answered(open_port, delivered):
    to = WorkerAddress("i-1", "127.0.0.1:1")
    stop = StopTask(to, TaskRef("a" * 16, TaskKey(0, 0, 0), 10**5000), 1)
    port = open_port(PlatformWorkerCodec("127.0.0.1:2"))
    port.submit(request(stop))
    role, reply = delivered.get(timeout=MAX_WAIT_S)
    assert (role, reply.request_id) == ("owner", "1")
    assert isinstance(reply.result, CallFailed) and reply.result.ran is Ran.NO


@pytest.mark.parametrize(
    "operation",
    [
        WatchPrefix("p", 1, float("inf")),
        GrantLease(float("nan")),
        Transaction(puts=(Write("k", "", lease_id="none"),)),
        Get("\ud800"),
    ],
)
def test_store_operation_that_cannot_be_encoded_says_nothing_about_the_store(
    delivered, operation
):
    health = StoreHealthTracker(read_clocks)
    port = StoreHttpPort(
        PlatformStoreCodec("127.0.0.1:1"),
        lambda *sent: delivered.put(sent),
        LoadMeter().add_port("p"),
        health,
    )
    for _ in range(SUBMITTED):
        port.submit(request(operation))
    results = [delivered.get(timeout=MAX_WAIT_S) for _ in range(SUBMITTED)]
    port.close()
    assert {role for role, _ in results} == {"owner"}
    assert all(reply.result.ran is Ran.NO for _, reply in results)
    assert not health.is_directly_unreachable()


@pytest.mark.usefixtures("fresh_log_limits")
@pytest.mark.parametrize(
    "error", [OverflowError("inf"), KeyError("k"), RecursionError("deep")]
)
def test_answer_whose_decoding_raises_is_not_understood(open_port, delivered, error):
    with capture_events() as events:
        open_port(Codec(error)).submit(request("operation"))
        _, reply = delivered.get(timeout=MAX_WAIT_S)
    assert isinstance(reply.result, CallFailed) and reply.result.ran is Ran.MAYBE
    assert events.named("answer_not_understood")
