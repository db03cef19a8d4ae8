"""Bytes that the HTTP client counts and calls that fail alone, over real sockets."""

from __future__ import annotations

import socket
import threading
from concurrent.futures import Future
from contextlib import contextmanager

import pytest
from werkzeug.wrappers import Request, Response

from lagoonpulley.model.verdict import Ran
from lagoonpulley.runtime.curl import CurlLoop, HttpAnswer, HttpCall, HttpFailure
from lagoonpulley.standin.http import StandinServer

TIMEOUT_S = 30.0
BODY_BYTES = 200_000
ANSWER_BYTES = 300_000
MAX_HEADER_BYTES = 1_000


@pytest.fixture
def loop():
    made = CurlLoop("test")
    yield made
    made.close()


def perform(loop, call):
    outcome = Future()
    loop.submit(call, outcome.set_result)
    return outcome.result(timeout=TIMEOUT_S)


@contextmanager
def serve_one_connection(handle):
    """Serve one connection by ``handle(connection, listener)``; yields the URL."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        connection, _ = listener.accept()
        with connection:
            handle(connection, listener)

    thread = threading.Thread(target=serve)
    thread.start()
    yield f"http://127.0.0.1:{listener.getsockname()[1]}/"
    thread.join()
    listener.close()


def test_answer_has_the_bytes_of_both_directions(loop):
    def application(environ, start_response):
        Request(environ).get_data()
        return Response(b"x" * ANSWER_BYTES)(environ, start_response)

    server = StandinServer(application)
    try:
        call = HttpCall("POST", server.url, b"y" * BODY_BYTES, TIMEOUT_S)
        answer = perform(loop, call)
    finally:
        server.close()
    assert isinstance(answer, HttpAnswer)
    headers = answer.traffic.sent_bytes - BODY_BYTES
    assert 0 < headers < MAX_HEADER_BYTES
    headers = answer.traffic.received_bytes - ANSWER_BYTES
    assert 0 < headers < MAX_HEADER_BYTES


def test_failure_has_the_bytes_that_arrived(loop):
    header = b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"

    def answer_in_part(connection, listener):
        connection.recv(65536)
        connection.sendall(header + b"123")

    with serve_one_connection(answer_in_part) as url:
        failure = perform(loop, HttpCall("GET", url, b"", TIMEOUT_S))
    assert isinstance(failure, HttpFailure)
    assert failure.traffic.received_bytes == len(header) + 3
    assert failure.traffic.sent_bytes > 0
    assert failure.closed


def test_connection_that_is_closed_without_an_answer_is_told(loop):
    def close_after_request(connection, listener):
        connection.recv(65536)

    with serve_one_connection(close_after_request) as url:
        failure = perform(loop, HttpCall("POST", url, b"body", TIMEOUT_S))
    assert (failure.ran, failure.closed) == (Ran.MAYBE, True)


@pytest.mark.parametrize("body", [b"", b"2"])
def test_request_that_was_sent_before_a_refused_retry_may_have_run(loop, body):
    def answer_once_then_close(connection, listener):
        connection.recv(65536)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        # The client sends the next request on this connection, and tries a new one
        # when this one is closed without an answer.
        connection.recv(65536)
        listener.close()

    with serve_one_connection(answer_once_then_close) as url:
        answer = perform(loop, HttpCall("POST", url, b"1", TIMEOUT_S))
        assert isinstance(answer, HttpAnswer)
        failure = perform(loop, HttpCall("POST", url, body, TIMEOUT_S))
    assert (failure.ran, failure.closed) == (Ran.MAYBE, True)


def test_failure_to_connect_has_no_bytes(loop):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    call = HttpCall("GET", f"http://127.0.0.1:{port}/", b"", TIMEOUT_S)
    failure = perform(loop, call)
    assert (failure.traffic.sent_bytes, failure.traffic.received_bytes) == (0, 0)
    assert failure.ran is Ran.NO
    assert failure.closed


def test_request_with_a_body_is_not_sent_again_on_another_connection(loop):
    """A server that refuses the second request knows nothing of the first."""
    answer = b"HTTP/1.1 %d OK\r\nContent-Length: 2\r\n\r\nok"
    last = b"no more requests"
    received = []

    def close_after_the_second_request(connection, listener):
        received.append(connection.recv(65536))
        connection.sendall(answer % 200)
        received.append(connection.recv(65536))
        connection.close()
        while received[-1] != last:
            other, _ = listener.accept()
            with other:
                received.append(other.recv(65536))
                other.sendall(answer % 503)

    with serve_one_connection(close_after_the_second_request) as url:
        first = perform(loop, HttpCall("POST", url, b"1", TIMEOUT_S))
        outcome = perform(loop, HttpCall("POST", url, b"2", TIMEOUT_S))
        host, _, port = url.removeprefix("http://").rstrip("/").partition(":")
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(last)
    assert isinstance(first, HttpAnswer)
    assert len(received) == 3
    assert isinstance(outcome, HttpFailure)
    assert (outcome.ran, outcome.closed) == (Ran.MAYBE, True)


ODD_CALLS = [
    HttpCall("GET", "http://127.0.0.1\0:1/", b"", TIMEOUT_S),
    HttpCall("GET", "http://caf\u00e9:1/", b"", TIMEOUT_S),
    HttpCall("GET", "http://127.0.0.1:1/", b"", TIMEOUT_S, ("Name: \u00e9",)),
    HttpCall("GET", "http://127.0.0.1:1/", b"", float("inf")),
    HttpCall("GET", "http://127.0.0.1:1/", b"", float("nan")),
    HttpCall("GET", "http://127.0.0.1:1/", b"", TIMEOUT_S, (), float("inf")),
]


def perform_ordinary(loop):
    def answer(connection, listener):
        connection.recv(65536)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    with serve_one_connection(answer) as url:
        return perform(loop, HttpCall("GET", url, b"", TIMEOUT_S))


@pytest.mark.parametrize(
    "call",
    ODD_CALLS,
    ids=["nul", "letter", "header", "infinite", "not-a-number", "infinite-total"],
)
def test_call_that_cannot_be_prepared_fails_alone(loop, call):
    failure = perform(loop, call)
    assert isinstance(failure, HttpFailure)
    assert failure.ran is Ran.NO and failure.reason
    assert perform_ordinary(loop).body == b"ok"


@pytest.mark.parametrize(
    "address", ["10.0.0.1:99999", "10.0.0.1:abc", "10.0.0.1 :80", "10.0.0.1\n:80"]
)
def test_call_to_an_address_that_is_none_fails_alone(loop, address):
    failure = perform(loop, HttpCall("GET", f"http://{address}/", b"", TIMEOUT_S))
    assert isinstance(failure, HttpFailure) and failure.ran is Ran.NO
    assert perform_ordinary(loop).body == b"ok"


def test_completion_that_raises_does_not_end_the_loop(loop):
    def complete(outcome):
        raise OverflowError("cannot convert float infinity to integer")

    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    loop.submit(HttpCall("GET", f"http://127.0.0.1:{port}/", b"", TIMEOUT_S), complete)
    assert perform_ordinary(loop).body == b"ok"


def test_completion_of_an_odd_call_that_raises_does_not_end_the_loop(loop):
    def complete(outcome):
        raise ValueError("odd")

    loop.submit(ODD_CALLS[0], complete)
    assert perform_ordinary(loop).body == b"ok"


def test_reason_of_a_failure_is_text_when_the_server_sends_other_bytes(loop):
    def answer(connection, listener):
        connection.recv(65536)
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: \xffx\r\n\r\n")

    with serve_one_connection(answer) as url:
        failure = perform(loop, HttpCall("GET", url, b"", TIMEOUT_S))
    assert isinstance(failure, HttpFailure)
    assert "?x" in failure.reason


class _QueueThatWaits:
    """Puts a request and waits until the thread of a loop has ended by it."""

    def __init__(self, loop):
        self._loop = loop
        self._queue = loop._submitted_calls
        self.get_nowait = self._queue.get_nowait

    def put(self, submitted):
        self._queue.put(submitted)
        self._loop._wake()
        self._loop._thread.join(TIMEOUT_S)


def test_loop_that_ends_before_it_is_woken_fails_to_close():
    loop = CurlLoop("test")
    loop._submitted_calls = _QueueThatWaits(loop)
    loop.close()
    assert not loop._thread.is_alive()


def test_large_body_waits_for_a_server_that_does_not_ask_for_it(loop):
    """A commit of over 1 MB had no time left after the wait for "100 Continue"."""
    body = b"y" * 1_500_000
    heads = []

    def answer(connection, listener):
        received = b""
        while b"\r\n\r\n" not in received:
            received += connection.recv(65536)
        head, _, rest = received.partition(b"\r\n\r\n")
        heads.append(head)
        left = len(body) - len(rest)
        while left > 0:
            left -= len(connection.recv(65536))
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    with serve_one_connection(answer) as url:
        result = perform(loop, HttpCall("POST", url, body, TIMEOUT_S))
    assert isinstance(result, HttpAnswer)
    assert b"expect:" not in heads[0].lower()
