"""Callers that no limit of the pages binds, against a process of an entry."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress

import pytest
from tests.support.entry_process import (
    MAX_DESCRIPTORS,
    MEMORY_MB,
    run_entry,
    send_at_most,
)

ADDRESSES = ("callers", "ready")
# The crowds. Without limits, each fills more memory than the process has.
SENDERS = 4
MEGABYTES_EACH = 32
STALLED = 64
CROWD = 2 * MAX_DESCRIPTORS
# Descriptors that a crowd of callers leaves for the store, the workers and the entries.
SPARE_DESCRIPTORS = MAX_DESCRIPTORS // 4
DRIPS = 4
DRIP_INTERVAL_S = 0.3
PIPELINED = 4_000
SMALL_WINDOW = 2_048
LEAVING = 3_000
AHEAD_S = 4.0
SHORT_WAIT_S = 0.02

GET = b"GET /work/ HTTP/1.1\r\nHost: desk.example\r\nX-Api-Key: secret\r\n"
POST = b"POST /work/0123456789abcdef HTTP/1.1\r\nHost: desk.example\r\n"
STRANGER = POST + b"X-Api-Key: other\r\n"
KNOWN = POST + b"X-Api-Key: secret\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LONG = b"x" * 65_536
LINE = b"X-Filler: " + b"x" * 1_000 + b"\r\n"
CHUNK = b"10000\r\n" + LONG + b"\r\n"

# Parts of a request that never end: what is sent first, and then without end.
PARTS = {
    "request-line": (b"GET /", LONG),
    "header-line": (GET + b"X-Filler: ", LONG),
    "headers": (GET, LINE),
    "trailer-line": (KNOWN + CHUNKED + b"2\r\n{}\r\n0\r\nX-Filler: ", LONG),
    "trailers": (KNOWN + CHUNKED + b"2\r\n{}\r\n0\r\n", LINE),
    "trailers-of-a-stranger": (STRANGER + CHUNKED + b"2\r\n{}\r\n0\r\n", LINE),
    "chunk-size": (KNOWN + CHUNKED, b"0" * 65_536),
    "chunk-extension": (KNOWN + CHUNKED + b"2;x=", LONG),
    "chunk": (KNOWN + CHUNKED + b"fffffff\r\n", LONG),
    "chunk-of-a-stranger": (STRANGER + CHUNKED + b"fffffff\r\n", LONG),
    "chunks": (KNOWN + CHUNKED, CHUNK),
    "chunks-of-a-stranger": (STRANGER + CHUNKED, CHUNK),
    "body": (KNOWN + b"Content-Length: 1000000000\r\n\r\n", LONG),
    "body-of-a-stranger": (STRANGER + b"Content-Length: 1000000000\r\n\r\n", LONG),
    "negative-body": (STRANGER + b"Content-Length: -1\r\n\r\n", LONG),
    "empty-lines": (b"", b"\r\n" * 32_768),
    "requests": (b"", (GET + b"\r\n") * 500),
}
# How far a caller gets before it falls silent.
STALLS = {
    "nothing": b"",
    "request-line": b"GET /work",
    "headers": GET,
    "body": KNOWN + b"Content-Length: 1000\r\n\r\n{",
    "chunk": KNOWN + CHUNKED + b"10\r\n{",
    "trailers": KNOWN + CHUNKED + b"2\r\n{}\r\n0\r\nX-Filler: x",
}
# The most that a request may have, and slow to read.
LARGE_BODY = b'{"steps":[{"count":0}' + b" " * 250_000 + b"]}"
LARGE = KNOWN + f"Content-Length: {len(LARGE_BODY)}\r\n\r\n".encode() + LARGE_BODY
# Bodies that take many times their size once they are decoded.
SWELLING_BODIES = {
    "steps": b'{"steps":[' + b",".join([b"{}"] * 87_000) + b"]}",
    "lists": b'{"steps":[' + b",".join([b"[]"] * 87_000) + b"]}",
    "unknown": b'{"steps":[],"x":[' + b",".join([b"{}"] * 87_000) + b"]}",
}
TUNNEL = b"CONNECT /metrics HTTP/1.1\r\nHost: desk.example\r\n\r\n"


@pytest.fixture
def entry(tmp_path):
    with run_entry(tmp_path) as process:
        yield process


@pytest.fixture
def connections():
    opened = []
    yield opened
    for connection in opened:
        connection.close()


def check(entry):
    """Check what holds whatever callers send."""
    assert entry.is_alive
    assert entry.peak_memory_mb < MEMORY_MB
    assert entry.open_descriptors < MAX_DESCRIPTORS - SPARE_DESCRIPTORS
    for address in ADDRESSES:
        assert entry.answers(address), f"no answer at {address}"
    assert entry.is_alive
    assert entry.peak_memory_mb < MEMORY_MB


def open_crowd(entry, address, connections, count):
    """Open connections, as many of them as the entry takes."""
    for _ in range(count):
        with suppress(OSError):
            connections.append(entry.connect(address))


def send_to_all(connections, data):
    """Send the same to all connections, some of which may be closed by now."""
    for connection in connections:
        with suppress(OSError):
            connection.sendall(data)


def send_ahead(connections, duration_s):
    """Keep all connections full of requests and read their answers, for a while."""
    end = time.monotonic() + duration_s
    while time.monotonic() < end:
        for connection in connections:
            with suppress(OSError):
                connection.send((GET + b"\r\n") * 100)
            with suppress(OSError):
                connection.recv(65_536)


@pytest.mark.parametrize("address", ADDRESSES)
@pytest.mark.parametrize("part", PARTS)
def test_part_of_a_request_without_end_fills_the_memory(entry, part, address):
    head, piece = PARTS[part]
    send_at_most(lambda: entry.connect(address), head, piece, MEGABYTES_EACH, SENDERS)
    check(entry)


@pytest.mark.parametrize("address", ADDRESSES)
@pytest.mark.parametrize("stall", STALLS)
def test_callers_that_fall_silent_keep_the_others_without_an_answer(
    entry, connections, stall, address
):
    open_crowd(entry, address, connections, STALLED)
    send_to_all(connections, STALLS[stall])
    check(entry)


def test_callers_that_send_a_byte_now_and_then_keep_the_others_without_an_answer(
    entry, connections
):
    open_crowd(entry, "callers", connections, STALLED)
    send_to_all(connections, GET + b"X-Filler: ")
    for _ in range(DRIPS):
        send_to_all(connections, b"x")
        time.sleep(DRIP_INTERVAL_S)
    check(entry)


@pytest.mark.parametrize("address", ADDRESSES)
@pytest.mark.parametrize("stall", ["nothing", "headers", "body"])
def test_crowd_of_connections_uses_up_the_descriptors(
    entry, connections, stall, address
):
    open_crowd(entry, address, connections, CROWD)
    send_to_all(connections, STALLS[stall])
    check(entry)


@pytest.mark.parametrize("address", ADDRESSES)
def test_callers_that_read_no_answers_keep_the_others_without_one(
    entry, connections, address
):
    for _ in range(STALLED):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
        connection.settimeout(1.0)
        connections.append(connection)
        with suppress(OSError):
            connection.connect(entry.address_by_name[address])
            connection.sendall((GET + b"\r\n") * PIPELINED)
    check(entry)


@pytest.mark.parametrize("address", ADDRESSES)
def test_callers_that_ask_for_a_tunnel_keep_the_others_without_an_answer(
    entry, connections, address
):
    for _ in range(CROWD // 4):
        open_crowd(entry, address, connections, 1)
        send_to_all(connections[-1:], TUNNEL)
    # So that all of them have been handled.
    for connection in connections:
        connection.settimeout(SHORT_WAIT_S)
        with suppress(OSError):
            connection.recv(1)
    check(entry)


def test_callers_that_leave_before_their_answers_fill_the_memory(entry):
    for _ in range(LEAVING):
        with suppress(OSError), entry.connect("callers") as connection:
            connection.sendall(LARGE)
    check(entry)


@pytest.mark.parametrize("swelling", SWELLING_BODIES)
def test_bodies_that_swell_when_they_are_decoded_fill_the_memory(
    entry, connections, swelling
):
    body = SWELLING_BODIES[swelling]
    length = f"Content-Length: {len(body)}\r\n\r\n".encode()
    open_crowd(entry, "callers", connections, STALLED // 2)
    for number, connection in enumerate(connections):
        head = KNOWN.replace(b"0123456789abcdef", b"%016x" % number)
        send_to_all([connection], head + length + body)
    # So that all of them have been decoded.
    for connection in connections:
        with suppress(OSError):
            connection.recv(1)
    check(entry)


def test_callers_that_send_requests_ahead_keep_the_others_without_an_answer(
    entry, connections
):
    open_crowd(entry, "callers", connections, STALLED)
    for connection in connections:
        connection.setblocking(False)
    ahead = threading.Thread(target=send_ahead, args=(connections, AHEAD_S))
    ahead.start()
    time.sleep(AHEAD_S / 4)
    check(entry)
    ahead.join()
