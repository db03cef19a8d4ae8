"""Tests of the journal over a store with injected failures."""

from __future__ import annotations

import json

import pytest

from lagoonpulley.journal.messages import (
    Append,
    Committed,
    JournalOpened,
    JournalRefused,
    NotCommitted,
    OpenJournal,
)
from lagoonpulley.journal.records import pointer_key, segment_key
from lagoonpulley.journal.role import JournalRole
from lagoonpulley.model.verdict import Ran
from lagoonpulley.runtime.role import STORE, CallFailed, Now, Reply, Request, Tick
from lagoonpulley.settings.schema import Settings
from lagoonpulley.standin.store import StoreState
from lagoonpulley.store.messages import Put

GROUP = "timisoara/0"
SETTINGS = Settings.model_validate(
    {
        "entry_id": "timisoara-1",
        "data_centre": "timisoara",
        "data_centres": ["timisoara"],
        "store": {"url": "http://127.0.0.1:1"},
    }
)


class Journal:
    """A journal role on a simulated store that answers every call at once.

    ``failure_for`` returns the failure to inject into an operation, or ``None``. If its
    ``ran`` is ``Ran.YES``, the operation takes effect and only its answer is lost.
    """

    def __init__(self, store, incarnation=1):
        self.role = JournalRole.from_settings("timisoara-1", incarnation, SETTINGS)
        self.store = store
        self.time = 0.0
        self.results = {}
        self.other_sends = []
        self.failure_for = lambda operation: None
        self._count = 0

    def send(self, message):
        pending = [message]
        while pending:
            for send in self.role.handle(pending.pop(0), Now(self.time, self.time)):
                if send.to == STORE:
                    pending.append(self._perform(send.message))
                elif isinstance(send.message, Reply):
                    self.results[send.message.request_id] = send.message.result
                else:
                    self.other_sends.append(send)

    def _perform(self, request):
        failure = self.failure_for(request.operation)
        if failure is None or failure.ran is Ran.YES:
            result = self.store.apply(request.operation, self.time)
        if failure is not None:
            result = CallFailed(Ran.MAYBE, failure.reason)
        return Reply(request.request_id, result)

    def send_request(self, operation):
        self._count += 1
        request_id = f"test-{self._count}"
        self.send(Request(request_id, "test", operation, 5.0))
        return request_id

    def open(self, epoch=1):
        return self.results.get(self.send_request(OpenJournal(GROUP, epoch)))

    def append(self, key, text, epoch=1, fail_fast=False):
        return self.send_request(
            Append(GROUP, epoch, ((key, text),), fail_fast=fail_fast)
        )

    def wait(self, seconds):
        for _ in range(int(seconds / 0.1)):
            self.time += 0.1
            self.send(Tick())


@pytest.fixture
def store():
    return StoreState()


def test_documents_are_replayed_by_the_next_owner(store):
    first = Journal(store)
    first.open()
    for number in range(5):
        first.append(f"key{number % 3}", f"text{number}")
    opened = Journal(store, incarnation=2).open(epoch=2)
    assert opened == JournalOpened({"key0": "text3", "key1": "text4", "key2": "text2"})


def test_earlier_owner_cannot_append_after_the_next_has_opened(store):
    first = Journal(store)
    first.open()
    Journal(store, incarnation=2).open(epoch=2)
    request = first.append("late", "text")
    assert first.results[request] == NotCommitted(
        Ran.MAYBE, "another entry owns the group"
    )
    assert {send.to for send in first.other_sends} == {"ownership", "scheduler"}
    assert "late" not in Journal(store, incarnation=3).open(epoch=3).document_by_key


@pytest.mark.parametrize("took_effect", [Ran.YES, Ran.NO])
def test_lost_answer_is_resolved_and_not_written_twice(store, took_effect):
    journal = Journal(store)
    journal.open()
    lost_puts = []

    def lose_first_put(operation):
        if isinstance(operation, Put) and not lost_puts:
            lost_puts.append(operation)
            return CallFailed(took_effect, "lost")
        return None

    journal.failure_for = lose_first_put
    request = journal.append("key", "text")
    assert request not in journal.results
    journal.wait(1.0)
    assert isinstance(journal.results[request], Committed)
    assert Journal(store, 2).open(2).document_by_key == {"key": "text"}


def test_fail_fast_appends_are_refused_while_the_store_is_down(store):
    journal = Journal(store)
    journal.open()
    journal.failure_for = lambda operation: CallFailed(Ran.NO, "down")
    queued = journal.append("queued", "text")
    fail_fast = journal.append("fail_fast", "text", fail_fast=True)
    assert journal.results[fail_fast].ran is Ran.NO
    journal.failure_for = lambda operation: None
    journal.wait(1.0)
    assert isinstance(journal.results[queued], Committed)


def test_commits_are_bounded_whatever_the_load(store):
    journal = Journal(store)
    journal.open()
    before = store.writes
    for step in range(1000):
        journal.append(f"key{step}", "text")
        if step % 20 == 0:
            journal.wait(0.1)
    assert store.writes - before <= 10 + 20 * 5 + 1


def test_snapshot_shortens_replay_and_keeps_documents(store):
    journal = Journal(store)
    journal.open()
    for number in range(450):
        journal.append(f"key{number % 7}", f"text{number}")
        journal.wait(0.1)
    journal.wait(60.0)
    assert pointer_key(GROUP) in store.key_value_by_key
    assert segment_key(GROUP, 3) not in store.key_value_by_key
    opened = Journal(store, 2).open(2).document_by_key
    assert opened["key1"] == "text449"
    assert len(opened) == 7


@pytest.mark.parametrize(
    ("damage", "reason"),
    [
        (lambda value: value.replace('"checksum":', '"checksum":1'), "checksum"),
        (lambda value: value.replace('"version":1', '"version":2'), "version 2"),
        (lambda value: value[:-5], "envelope"),
    ],
)
def test_unreadable_record_is_reported_and_kept(store, damage, reason):
    journal = Journal(store)
    journal.open()
    journal.append("key", "text")
    key = segment_key(GROUP, 1)
    entry = store.key_value_by_key[key]
    damaged = damage(entry.value)
    store.apply(Put(key, damaged, entry.revision, "damage"), 0.0)
    refused = Journal(store, 2).open(2)
    assert isinstance(refused, JournalRefused)
    assert refused.is_permanent
    assert key in refused.reason
    assert reason in refused.reason
    assert store.key_value_by_key[key].value == damaged


def test_segments_are_json(store):
    journal = Journal(store)
    journal.open()
    journal.append("key", "text")
    value = json.loads(store.key_value_by_key[segment_key(GROUP, 1)].value)
    assert json.loads(value["body"])["puts"] == {"key": "text"}
