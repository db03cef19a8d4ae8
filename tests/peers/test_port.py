"""Odd addresses and messages of other entries, over the real port."""

from __future__ import annotations

import asyncio
import queue

import pytest
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError

from lagoonpulley.model.verdict import Ran
from lagoonpulley.peers.calls import PeerCall
from lagoonpulley.peers.on_demand import OnDemandPeersPort
from lagoonpulley.peers.service import METHOD_BY_REQUEST
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


class BytesCodec(CodecBase):
    """Sends bytes as they are, in the place of messages in JSON."""

    __content_subtype__ = "json"

    def encode(self, message, message_type):
        """Return the bytes."""
        return message

    def decode(self, data, message_type):
        """Return the bytes."""
        return data


async def send_bytes(address, path, data):
    """Send bytes as a message; return the status of the refusal."""
    host, _, port = address.rpartition(":")
    async with Channel(host, int(port), codec=BytesCodec()) as channel:
        call = UnaryUnaryMethod(channel, path, bytes, bytes)
        try:
            await call(data, timeout=MAX_WAIT_S)
        except GRPCError as error:
            return error.status
    return Status.OK


FIELDS = b'"job_id": "a", "occurrence": 0, "step": 0, "worker_ids": '


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xfe",
        b"{" + FIELDS + b"[" * 50_000 + b"]" * 50_000 + b"}",
        b"{" + FIELDS + b'["\\ud800"]}',
        b"{" + FIELDS + b'[], "step": 1e999}',
        b"{" + FIELDS + b'[], "step": ' + b"9" * 5000 + b"}",
    ],
    ids=["bytes", "nested", "half-character", "infinite", "long"],
)
def test_odd_message_of_another_entry_is_refused_alone(port, delivered, data):
    path = METHOD_BY_REQUEST[AskAdvice].path
    assert asyncio.run(send_bytes(port.address, path, data)) is Status.UNKNOWN
    port.submit(Request("2", "owner", PeerCall(port.address, QUESTION), MAX_WAIT_S))
    _, request = delivered.get(timeout=MAX_WAIT_S)
    assert request.operation == QUESTION
