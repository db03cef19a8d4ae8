"""Tests of the HTTP client's timeouts against a server that answers in pieces."""

from __future__ import annotations

import queue
import socket
import threading

import pytest

from lagoonpulley.runtime.curl import CurlLoop, HttpAnswer, HttpCall, HttpFailure

PIECE = b"x" * 1000
PIECE_INTERVAL_S = 0.05
MAX_WAIT_S = 20.0


@pytest.fixture
def loop():
    made = CurlLoop("test")
    yield made
    made.close()


class PieceServer:
    """Answers one request with a body in pieces; stops after some of them.

    :param declared: number of pieces that the headers announce.
    :param sent: number of pieces that are sent.
    """

    def __init__(self, declared: int, sent: int) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._sent = sent
        self._length = declared * len(PIECE)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}/"

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        with connection:
            connection.recv(4096)
            if self._sent:
                headers = f"HTTP/1.1 200 OK\r\nContent-Length: {self._length}\r\n\r\n"
                connection.sendall(headers.encode())
            for _ in range(self._sent):
                connection.sendall(PIECE)
                if self._stopped.wait(PIECE_INTERVAL_S):
                    return
            self._stopped.wait(MAX_WAIT_S)

    def close(self) -> None:
        """Close the connection."""
        self._stopped.set()
        self._thread.join()
        self._listener.close()


def fetch(loop, declared, sent, timeout_s, total_timeout_s):
    server = PieceServer(declared, sent)
    outcomes = queue.SimpleQueue()
    call = HttpCall("GET", server.url, b"", timeout_s, total_timeout_s=total_timeout_s)
    try:
        loop.submit(call, outcomes.put)
        return outcomes.get(timeout=MAX_WAIT_S)
    finally:
        server.close()


def test_response_that_keeps_arriving_may_take_longer_than_the_timeout(loop):
    # The body takes at least 1.5 s.
    outcome = fetch(loop, declared=30, sent=30, timeout_s=1.0, total_timeout_s=15.0)
    assert isinstance(outcome, HttpAnswer)
    assert (outcome.status, outcome.body) == (200, PIECE * 30)


def test_response_that_stops_arriving_times_out(loop):
    outcome = fetch(loop, declared=30, sent=2, timeout_s=0.4, total_timeout_s=1000.0)
    assert isinstance(outcome, HttpFailure)
    assert outcome.partial


def test_server_that_sends_nothing_times_out(loop):
    outcome = fetch(loop, declared=30, sent=0, timeout_s=0.4, total_timeout_s=1000.0)
    assert isinstance(outcome, HttpFailure)
    assert not outcome.partial
    assert not outcome.closed


def test_response_that_keeps_arriving_is_bounded_by_the_total_timeout(loop):
    outcome = fetch(loop, declared=400, sent=400, timeout_s=1.0, total_timeout_s=1.2)
    assert isinstance(outcome, HttpFailure)
    assert outcome.partial


def test_without_a_total_timeout_the_timeout_limits_the_whole_call(loop):
    outcome = fetch(loop, declared=400, sent=400, timeout_s=0.4, total_timeout_s=None)
    assert isinstance(outcome, HttpFailure)
    assert outcome.partial
