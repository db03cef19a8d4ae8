"""Tests of the codecs for the platform's store, workers and documents.

A request whose answer is lost or malformed must count as possibly executed, because
a retry could execute it twice. Malformed records must be rejected, because other
clients write to the same store.
"""

from __future__ import annotations

import json

import pytest

from lagoonpulley.model.verdict import Ran
from lagoonpulley.platform.documents import PlatformDirectory, PlatformPolicy
from lagoonpulley.platform.store import PlatformStoreCodec
from lagoonpulley.platform.workers import PlatformWorkerCodec
from lagoonpulley.runtime.curl import HttpAnswer, HttpFailure
from lagoonpulley.runtime.role import CallFailed
from lagoonpulley.store.messages import (
    Get,
    KeyValue,
    ReadRange,
    StoreStatus,
    Transaction,
    WatchPrefix,
)
from lagoonpulley.upstream.tasks import (
    CommandRefused,
    Refusal,
    StartTask,
    SyncWorker,
    TaskRef,
    WorkerAddress,
)
from lagoonpulley.workload.record import EndKind
from lagoonpulley.workload.spec import TaskKey

TO = WorkerAddress("i-1", "10.0.0.1:80")
START = StartTask(TO, TaskRef("a" * 16, TaskKey(0, 1, 17), 2), "text", 486000, 7)
SYNC = SyncWorker(TO, 7, 57, 486000, 1.0)
SERVER = {
    "service": "desk",
    "address": "10.0.0.9:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 4,
    "capacity": {"cpu": 16000, "memMb": 32768},
    "labels": ["a", "r1-3"],
    "born": 1700000000000,
}


@pytest.fixture
def store():
    return PlatformStoreCodec("10.0.0.7:1")


@pytest.fixture
def workers():
    return PlatformWorkerCodec("10.0.0.8:1")


@pytest.mark.parametrize("status", [429, 503])
def test_store_rejection_counts_as_not_executed(store, status):
    result = store.decode(Transaction(), HttpAnswer(status, b""))
    assert isinstance(result, CallFailed) and result.ran is Ran.NO


def test_store_timeout_counts_as_maybe_executed(store):
    result = store.decode(Transaction(), HttpFailure(Ran.MAYBE, "timed out"))
    assert result.ran is Ran.MAYBE


def test_store_malformed_answer_counts_as_maybe_executed(store):
    result = store.decode(Transaction(), HttpAnswer(200, b"[1"))
    assert isinstance(result, CallFailed) and result.ran is Ran.MAYBE


def test_store_watch_of_a_compacted_revision_is_not_found(store):
    result = store.decode(WatchPrefix("p", 1, 1.0), HttpAnswer(410, b"{}"))
    assert result.status is StoreStatus.NOT_FOUND


def test_store_value_that_is_not_text_is_replaced(store):
    body = json.dumps({"key": "k", "value": "/w==", "revision": 3, "storeRevision": 9})
    result = store.decode(Get("k"), HttpAnswer(200, body.encode()))
    assert result.entry.revision == 3
    assert result.entry.value == "\0"


@pytest.mark.parametrize("value", ["\u00e9", "YQ=", "/w=="])
def test_store_value_that_is_not_base64_of_text_spares_the_rest_of_its_page(
    store, value
):
    items = [
        {"key": "p/1", "value": value, "revision": 3},
        {"key": "p/2", "value": "dGV4dA==", "revision": 4},
    ]
    body = json.dumps({"items": items, "storeRevision": 9}).encode()
    result = store.decode(ReadRange("p/"), HttpAnswer(200, body))
    assert [entry.value for entry in result.entries] == ["\0", "text"]


def test_start_command_is_encoded_for_the_worker(workers):
    call = workers.encode(START, 1.0)
    assert call.url == "http://10.0.0.1:80/api/run-start"
    assert "Expected-Instance: i-1" in call.headers
    assert json.loads(call.body) == {
        "task": "a" * 16 + ".0.1.17",
        "run": 2,
        "spec": "text",
        "deadlineMs": 486000,
        "fencingToken": 7,
    }


@pytest.mark.parametrize(
    ("status", "body", "reason"),
    [
        (409, b'{"reason":"fence","clockMs":5}', Refusal.FENCED),
        (409, b'{"reason":"late","clockMs":5}', Refusal.LATE),
        (409, b'{"reason":"ticket","clockMs":5}', Refusal.PERMIT),
        (421, b"", Refusal.OTHER_LIFE),
        (503, b"busy", Refusal.UNHEALTHY),
    ],
)
def test_worker_refusal_is_decoded(workers, status, body, reason):
    result = workers.decode(START, HttpAnswer(status, body))
    assert isinstance(result, CommandRefused) and result.reason is reason


def test_worker_report_is_decoded(workers):
    name = "a" * 16 + ".0.1.17"
    body = {
        "clockMs": 482113,
        "born": 12,
        "running": [[name, 2, "00000bb8", 41, 700]],
        "finished": [[58, name, 1, "done", ""]],
    }
    report = workers.decode(SYNC, HttpAnswer(200, json.dumps(body).encode()))
    assert report.running[0].ref == START.ref
    assert report.running[0].percent == 41
    assert report.ended[0].number == 58


def test_worker_report_with_an_unknown_kind_of_end_is_decoded(workers):
    first, second = ("a" * 16 + f".0.1.{index}" for index in (17, 18))
    finished = [[58, first, 1, "expired", ""], [59, second, 1, "done", ""]]
    body = {"clockMs": 482113, "born": 12, "finished": finished}
    report = workers.decode(SYNC, HttpAnswer(200, json.dumps(body).encode()))
    assert [ended.number for ended in report.ended] == [58, 59]
    assert [ended.kind for ended in report.ended] == [EndKind.FAILED, EndKind.DONE]


@pytest.mark.parametrize(
    "change",
    [
        {"service": 7},
        {"state": "sleeping"},
        {"capacity": {"cpu": "many"}},
        {"born": "1.5"},
        {"born": 0},
        {"address": None},
        {"labels": None},
    ],
)
def test_directory_rejects_an_invalid_field(change):
    entry = KeyValue("servers/i-1", json.dumps(SERVER | change), 3)
    assert PlatformDirectory().decode(entry).is_error()


@pytest.mark.parametrize(
    "field", ["service", "seq", "capacity", "labels", "zone", "born"]
)
def test_directory_rejects_a_missing_field(field):
    value = {name: given for name, given in SERVER.items() if name != field}
    entry = KeyValue("servers/i-1", json.dumps(value), 3)
    assert PlatformDirectory().decode(entry).is_error()


def test_directory_decodes_a_worker():
    worker = (
        PlatformDirectory().decode(KeyValue("servers/i-1", json.dumps(SERVER), 3)).ok
    )
    assert (worker.id, worker.rack, worker.draining) == ("i-1", "r1-3", False)


@pytest.mark.parametrize("value", ["", "\0", "[]", '{"version":"x"}'])
def test_policy_rejects_an_invalid_document(value):
    assert PlatformPolicy().decode(KeyValue("op/config", value, 3)).is_error()
