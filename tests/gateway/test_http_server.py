"""The HTTP server over real sockets: whole requests, bounds and its end."""

from __future__ import annotations

import select
import socket
import struct
import threading
import tracemalloc
from contextlib import suppress
from dataclasses import replace
from itertools import pairwise
from unittest.mock import Mock

import pytest
from werkzeug.exceptions import RequestEntityTooLarge
from werkzeug.wrappers import Request, Response

from lagoonpulley.gateway.http_connection import PARTS_AT_ONCE, HttpConnection
from lagoonpulley.gateway.http_limits import HttpLimits
from lagoonpulley.gateway.http_server import GatewayServer, HttpListener

TIMEOUT_S = 30.0
LIMITS = HttpLimits(head_bytes=2_000, headers=20, body_bytes=10_000)
HOST = b"Host: desk.example\r\n"
GET = b"GET /a HTTP/1.1\r\n" + HOST
POST = b"POST /a HTTP/1.1\r\n" + HOST
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


class EchoApp:
    """Answers with the path and the body; ``/hold`` is answered once released."""

    def __init__(self):
        self.release = threading.Event()
        self.holds = threading.Event()
        self.paths = []

    def __call__(self, environ, start_response):
        return self._answer(Request(environ))(environ, start_response)

    def _answer(self, request):
        self.paths.append(request.path)
        if request.path == "/fail":
            raise ValueError("odd")
        if request.path == "/odd":
            return Response("", headers={"X-Odd": "a\x00b"})
        if request.path == "/hold":
            self.holds.set()
            self.release.wait(TIMEOUT_S)
        try:
            body = request.get_data()
        except RequestEntityTooLarge:
            return Response(b"too large", status=413)
        key = request.headers.get("X-Key", "")
        return Response(f"{request.path}|{body.decode()}|{key}")


@pytest.fixture
def app():
    return EchoApp()


@pytest.fixture
def serve(app):
    servers, opened = [], []

    def make(limits=LIMITS):
        server = GatewayServer(HttpListener("127.0.0.1", 0, 2), app, limits)
        server.start()
        servers.append(server)
        host, _, port = server.address.rpartition(":")

        def connect():
            connection = socket.create_connection((host, int(port)), TIMEOUT_S)
            opened.append(connection)
            return connection

        return server, connect

    yield make
    app.release.set()
    for connection in opened:
        connection.close()
    for server in servers:
        server.close()


def read_response(connection):
    """Return status, lines of the head and body of one response."""
    received = b""
    while b"\r\n\r\n" not in received:
        received += receive(connection)
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    (length,) = (
        int(line.split(":")[1])
        for line in lines
        if line.lower().startswith("content-length")
    )
    while len(body) < length:
        body += receive(connection)
    assert len(body) == length
    return int(lines[0].split()[1]), lines[1:], body.decode()


def receive(connection):
    data = connection.recv(1)
    assert data, "the connection is closed"
    return data


def is_closed(connection):
    """Return whether nothing more comes, waiting for the end of the connection."""
    with suppress(ConnectionResetError):
        return connection.recv(1) == b""
    return True


def send_and_read(connection, data):
    connection.sendall(data)
    return read_response(connection)


def test_trailers_are_not_taken_for_the_next_request(serve):
    _, connect = serve()
    body = b"2\r\nhi\r\n0\r\nGET /stolen HTTP/1.1\r\nX: y\r\n\r\n"
    connection = connect()
    status, _, _ = send_and_read(connection, POST + CHUNKED + body)
    assert status == 400
    connection = connect()
    body = b"2\r\nhi\r\n0\r\nX-Trailer: y\r\n\r\n"
    assert send_and_read(connection, POST + CHUNKED + body)[::2] == (200, "/a|hi|")
    assert send_and_read(connection, GET + b"\r\n")[::2] == (200, "/a||")


def test_body_that_the_application_does_not_read_is_not_the_next_request(serve):
    _, connect = serve()
    body = GET.replace(b"/a", b"/stolen") + b"\r\n"
    head = b"POST /fail HTTP/1.1\r\n" + HOST
    length = f"Content-Length: {len(body)}\r\n\r\n".encode()
    connection = connect()
    assert send_and_read(connection, head + length + body)[0] == 500
    assert send_and_read(connection, GET + b"\r\n")[::2] == (200, "/a||")


def test_requests_that_come_at_once_are_answered_in_order(serve):
    _, connect = serve()
    connection = connect()
    paths = [f"/{number}" for number in range(50)]
    requests = [GET.replace(b"/a", path.encode()) + b"\r\n" for path in paths]
    connection.sendall(b"".join(requests))
    answers = [read_response(connection)[2] for _ in paths]
    assert answers == [f"{path}||" for path in paths]


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_caller_with_a_body_that_is_too_large_reads_the_refusal(serve, framing):
    _, connect = serve()
    connection = connect()
    large = b"x" * 100_000
    head = POST + b"Content-Length: 100000\r\n\r\n"
    if framing == "chunked":
        head = POST + CHUNKED + b"186a0\r\n"
    connection.sendall(head + large)
    status, lines, text = read_response(connection)
    assert (status, text) == (413, "too large")
    assert "connection: close" in [line.lower() for line in lines]
    assert is_closed(connection)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /" + b"x" * 5_000, 431),
        (GET + b"X: y\r\n" * 30 + b"\r\n", 431),
        (GET + b"X: " + b"y" * 5_000, 431),
        (b"GET a HTTP/1.1\r\n" + HOST + b"\r\n", 400),
        (b"CONNECT /a HTTP/1.1\r\n" + HOST + b"\r\n", 400),
        (b"GET /a HTTP/1.1\r\n\r\n", 400),
        (b"\x16\x03\x01\r\n\r\n", 400),
        (POST + b"Content-Length: -1\r\n\r\n", 400),
        (POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (POST + b"Transfer-Encoding: gzip\r\n\r\n", 501),
        (POST + CHUNKED + b"x\r\n", 400),
        (POST + CHUNKED + b"2;" + b"x" * 5_000, 431),
        (POST + CHUNKED + b"0\r\nX: " + b"y" * 5_000, 431),
    ],
    ids=[
        "request-line",
        "headers",
        "header",
        "target",
        "tunnel",
        "host",
        "bytes",
        "negative",
        "lengths",
        "encoding",
        "chunk",
        "extension",
        "trailer",
    ],
)
def test_odd_request_is_refused_and_others_are_answered(serve, data, status):
    _, connect = serve()
    connection = connect()
    assert send_and_read(connection, data)[0] == status
    assert is_closed(connection)
    assert send_and_read(connect(), GET + b"\r\n")[0] == 200


def test_connection_whose_response_cannot_be_sent_is_closed(serve):
    _, connect = serve()
    connection = connect()
    connection.sendall(GET.replace(b"/a", b"/odd") + b"\r\n")
    assert is_closed(connection)
    assert send_and_read(connect(), GET + b"\r\n")[0] == 200


def test_caller_that_waits_for_100_continue_is_told_to_go_on(serve):
    _, connect = serve()
    connection = connect()
    connection.sendall(POST + b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n")
    expected = b"HTTP/1.1 100 \r\n\r\n"
    assert b"".join(receive(connection) for _ in expected) == expected
    assert send_and_read(connection, b"hi")[2] == "/a|hi|"


def test_body_of_many_small_chunks_arrives_whole(serve):
    _, connect = serve()
    connection = connect()
    chunks = b"1\r\nx\r\n" * 5_000
    connection.sendall(POST + CHUNKED + chunks + b"0\r\n\r\n" + GET + b"\r\n")
    assert read_response(connection)[2] == f"/a|{'x' * 5_000}|"
    assert read_response(connection)[2] == "/a||"


def test_many_small_chunks_give_other_connections_a_turn():
    buffer = bytearray(POST + CHUNKED + b"1\r\nx\r\n" * 1_000 + b"0\r\n\r\n")
    owner = Mock(limits=LIMITS, receive_buffer=memoryview(buffer), is_closing=False)
    owner.set_phase = lambda connection, phase: setattr(connection, "phase", phase)
    connection = HttpConnection(owner)
    connection.connection_made(Mock())
    connection.buffer_updated(len(buffer))
    turns = 0
    while not owner.answer.called:
        turns += 1
        assert owner.call_soon.call_count == turns
        owner.call_soon.call_args.args[0]()
    assert turns >= 1_000 // PARTS_AT_ONCE
    request = owner.answer.call_args.args[1]
    assert request.body == b"x" * 1_000


def test_header_with_an_underscore_does_not_stand_for_another_one(serve):
    _, connect = serve()
    headers = b"X-Key: mine\r\nX_Key: other\r\n\r\n"
    assert send_and_read(connect(), GET + headers)[2] == "/a||mine"


def test_connection_that_waits_longest_makes_room_for_a_new_one(serve):
    _, connect = serve(replace(LIMITS, connections=3))
    first, second, third = connect(), connect(), connect()
    for connection in (first, second, third):
        assert send_and_read(connection, GET + b"\r\n")[0] == 200
    assert send_and_read(connect(), GET + b"\r\n")[0] == 200
    assert is_closed(first)
    assert send_and_read(third, GET + b"\r\n")[0] == 200
    assert send_and_read(second, GET + b"\r\n")[0] == 200


def test_connections_that_send_requests_ahead_make_room_for_a_new_one(serve, app):
    _, connect = serve(replace(LIMITS, connections=3))
    hold = GET.replace(b"/a", b"/hold") + b"\r\n"
    ahead = [connect() for _ in range(3)]
    for connection in ahead:
        connection.sendall(hold + GET + b"\r\n")
    assert app.holds.wait(TIMEOUT_S)
    ordinary = connect()
    ordinary.sendall(GET + b"\r\n")
    assert select.select(ahead, [], [], TIMEOUT_S)[0]
    app.release.set()
    assert read_response(ordinary)[0] == 200


def test_caller_that_holds_most_is_refused_when_all_hold_too_much(serve):
    _, connect = serve(replace(LIMITS, held_bytes=12_000))
    small, large = connect(), connect()
    head = POST + b"Content-Length: 9000\r\n\r\n"
    small.sendall(head + b"x" * 4_000)
    large.sendall(head + b"x" * 8_900)
    status, lines, _ = read_response(large)
    assert status == 503
    assert "retry-after: 1" in [line.lower() for line in lines]
    assert send_and_read(small, b"x" * 5_000)[0] == 200


def test_request_that_is_refused_for_its_size_is_let_go(serve):
    sizes = {"body_bytes": 1_000_000, "held_bytes": 1_500_000}
    _, connect = serve(replace(LIMITS, **sizes))
    connections = [connect() for _ in range(24)]
    head = POST + b"Content-Length: 950000\r\n\r\n"
    part = b"x" * 900_000
    tracemalloc.start()
    try:
        connections[0].sendall(head + part)
        for previous, connection in pairwise(connections):
            connection.sendall(head + part)
            # The one that holds most is refused, as two hold too much together.
            assert select.select([previous, connection], [], [], TIMEOUT_S)[0]
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < 8_000_000


def test_heads_of_requests_are_held_as_well(serve):
    sizes = {"head_bytes": 32_000, "headers": 256, "held_bytes": 200_000}
    _, connect = serve(replace(LIMITS, **sizes))
    connections = [connect() for _ in range(8)]
    head = POST + b"X: y\r\n" * 200 + b"Content-Length: 2\r\n\r\nh"
    for connection in connections:
        connection.sendall(head)
    readable = select.select(connections, [], [], TIMEOUT_S)[0]
    assert readable
    assert read_response(readable[0])[0] == 503
    assert send_and_read(connect(), head + b"i")[0] == 200


def test_request_that_does_not_arrive_in_time_is_refused(serve):
    _, connect = serve(replace(LIMITS, request_s=0.1))
    connection = connect()
    assert send_and_read(connection, GET)[0] == 408
    assert is_closed(connection)


def test_idle_connection_is_closed_in_the_end(serve):
    _, connect = serve(replace(LIMITS, idle_s=0.1))
    assert is_closed(connect())


def test_request_whose_caller_has_left_is_not_kept_for_a_thread(serve, app):
    _, connect = serve()
    hold = GET.replace(b"/a", b"/hold") + b"\r\n"
    busy = [connect(), connect()]
    for connection in busy:
        connection.sendall(hold)
    assert app.holds.wait(TIMEOUT_S)
    leaving = connect()
    leaving.sendall(POST.replace(b"/a", b"/left") + b"Content-Length: 2\r\n\r\nhi")
    # Closing with this is a reset.
    option = struct.pack("ii", 1, 0)
    leaving.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    # So that the server has read the request.
    assert send_and_read(connect(), POST + b"Content-Length: -1\r\n\r\n")[0] == 400
    leaving.close()
    assert send_and_read(connect(), POST + b"Content-Length: -1\r\n\r\n")[0] == 400
    app.release.set()
    assert send_and_read(connect(), GET + b"\r\n")[0] == 200
    assert "/left" not in app.paths


def test_request_in_progress_is_answered_before_the_server_ends(serve, app):
    server, connect = serve()
    busy, receiving, idle = connect(), connect(), connect()
    assert send_and_read(idle, GET + b"\r\n")[0] == 200
    busy.sendall(GET.replace(b"/a", b"/hold") + b"\r\n")
    assert app.holds.wait(TIMEOUT_S)
    assert send_and_read(receiving, GET + b"\r\n")[0] == 200
    receiving.sendall(POST + b"Content-Length: 2\r\n\r\nh")
    closer = threading.Thread(target=server.close)
    # So that the server has read the part of the request.
    assert send_and_read(connect(), GET + b"\r\n")[0] == 200
    closer.start()
    assert is_closed(idle)
    receiving.sendall(b"i")
    assert read_response(receiving)[2] == "/a|hi|"
    app.release.set()
    assert read_response(busy)[2] == "/hold||"
    closer.join(TIMEOUT_S)
    assert not closer.is_alive()
    assert is_closed(busy)


def test_server_may_be_closed_twice_and_before_its_start(app):
    server = GatewayServer(HttpListener("127.0.0.1", 0, 1), app, LIMITS)
    server.close()
    server = GatewayServer(HttpListener("127.0.0.1", 0, 1), app, LIMITS)
    server.start()
    server.close()
    server.close()


def test_limits_follow_the_memory_and_the_descriptors_of_the_process():
    limits = HttpLimits.from_process(100, 400, body_bytes=5)
    assert (limits.held_bytes, limits.connections) == (10_000_000, 100)
    assert limits.body_bytes == 5
    assert HttpLimits.from_process(0, 0, 1_000_000) == HttpLimits()
