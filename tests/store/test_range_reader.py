"""Tests of reading a prefix in parts, against the store stand-in."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest

from lagoonpulley.model.verdict import Ran
from lagoonpulley.runtime.flows import Call, Sleep
from lagoonpulley.runtime.role import CallFailed, Now
from lagoonpulley.standin.store import StoreState
from lagoonpulley.store.messages import (
    Get,
    StoreResult,
    StoreStatus,
    Transaction,
    Write,
)
from lagoonpulley.store.range_reader import (
    MAX_CALLS_IN_FLIGHT,
    MAX_TIMEOUT_S,
    PROBE_TIMEOUT_S,
    SILENCE_TIMEOUT_S,
    TOTAL_TIMEOUT_S,
    WHOLE_TIMEOUT_S,
    read_range,
)

PRINTABLE_COUNT = 95
HEX = "0123456789abcdefABCDEF"
PREFIX = "jobs/"


TIMED_OUT = CallFailed(Ran.MAYBE, "timeout")


class Reading:
    """Runs a read against a store; each batch of calls takes a given time.

    ``failure_of`` returns the failure of a page, or ``None`` if the store answers it;
    ``probe_failure_of`` that of a small read. With ``is_split``, a page of the whole
    prefix times out.
    """

    def __init__(self, likely=HEX, took_s=0.01, is_split=False):
        self.store = StoreState()
        # As on the platform, the revision starts above 0.
        self.store.apply(Transaction(puts=(Write("other", ""),)), 0.0)
        self.clock = SimpleNamespace(now=Now(0.0, 0.0))
        self.took_s = took_s
        self.likely = likely
        self.is_split = is_split
        self.batches = []
        self.failure_of = lambda call: None
        self.probes = []
        self.probe_failure_of = lambda call: None

    def put(self, key, value="value"):
        self.store.apply(Transaction(puts=(Write(key, value),)), 0.0)

    def run(self, has_ended=lambda: False):
        flow = read_range(self.clock, PREFIX, has_ended, self.likely)
        results = None
        while True:
            try:
                yielded = flow.send(results)
            except StopIteration as stopped:
                return stopped.value
            results = None
            if isinstance(yielded, Sleep):
                self._advance(yielded.duration_s)
                continue
            if isinstance(yielded[0].operation, Get):
                results = [self._probe(*yielded)]
                continue
            if self.is_split and _is_whole(yielded[0]):
                results = [TIMED_OUT]
                self._advance(WHOLE_TIMEOUT_S)
                continue
            self.batches.append(yielded)
            results = [self._answer(call) for call in yielded]
            self._advance(self.took_s)

    def _answer(self, call: Call):
        failed = self.failure_of(call)
        return failed or self.store.apply(call.operation, 0.0)

    def _probe(self, call: Call):
        self.probes.append(call)
        failed = self.probe_failure_of(call)
        self._advance(call.timeout_s if failed else 0.0)
        return failed or self.store.apply(call.operation, 0.0)

    def _advance(self, seconds):
        self.clock.now = Now(self.clock.now.mono + seconds, 0.0)


def _is_whole(call):
    return call.operation.prefix == PREFIX and call.total_timeout_s is None


@pytest.fixture
def reading():
    return Reading(is_split=True)


def test_read_that_is_fast_is_not_split():
    reading = Reading()
    for number in range(1200):
        reading.put(f"{PREFIX}{number:06}")
    assert len(reading.run().items) == 1200
    assert len(reading.batches) == 3


def test_read_is_split_where_it_became_slow():
    reading = Reading()
    rng = random.Random(1)
    keys = {f"{PREFIX}{rng.getrandbits(64):016x}" for _ in range(2000)}
    for key in keys:
        reading.put(key)
    pages = []

    def fail_third_page(call):
        pages.append(call.operation)
        reading.took_s = 0.01 if len(pages) != 3 else WHOLE_TIMEOUT_S
        return TIMED_OUT if len(pages) == 3 else None

    reading.failure_of = fail_third_page
    read = reading.run()
    assert set(read.item_by_key) == keys
    last = pages[2].after
    assert all(page.prefix + "~" > last for page in pages[3:])


def test_read_that_failed_early_is_not_split():
    reading = Reading()
    failed = CallFailed(Ran.NO, "connection refused")
    reading.failure_of = lambda call: failed if len(reading.batches) < 4 else None
    reading.run()
    assert [len(batch) for batch in reading.batches] == [1] * 4


def test_every_key_is_read_whatever_follows_the_prefix(reading):
    rng = random.Random(1)
    ids = [f"{rng.getrandbits(64):016x}" for _ in range(2000)]
    ids += ["", " ", "~", "g0", "Zz", ":", "_", "!", "\x7f", "é", "f~", "\U0010ffff"]
    keys = {PREFIX + job_id + "/submission" for job_id in ids}
    for key in keys | {"jobs", "jobs0"}:
        reading.put(key)
    assert set(reading.run().item_by_key) == keys


def test_part_of_several_pages_is_read_to_its_end():
    reading = Reading(likely="")
    for number in range(1200):
        reading.put(f"{PREFIX}{number:06}")
    assert len(reading.run().items) == 1200
    assert len(reading.batches) == 3


def test_revision_is_the_lowest_of_all_pages(reading):
    reading.put(PREFIX + "a")
    lowest = reading.store.revision
    reading.failure_of = lambda call: reading.put("other")
    read = reading.run()
    assert read.revision == lowest + 1
    assert reading.store.revision > read.revision


def test_part_that_was_read_is_not_read_again_after_failures(reading):
    for character in HEX:
        reading.put(PREFIX + character)
    rng = random.Random(1)
    failed = CallFailed(Ran.MAYBE, "no answer")
    answered = []

    def fail_some(call):
        if rng.random() < 0.5:
            return failed
        answered.append(call.operation)
        return None

    reading.failure_of = fail_some
    read = reading.run()
    assert len(read.items) == len(HEX)
    assert len(answered) == len(set(answered)) == PRINTABLE_COUNT + 1
    assert read.failures == sum(map(len, reading.batches)) - len(answered) + 1


def test_relay_that_used_up_its_timeout_gets_a_longer_one():
    reading = Reading(likely="", took_s=MAX_TIMEOUT_S)
    failed = CallFailed(Ran.MAYBE, "timeout")
    reading.failure_of = lambda call: failed if len(reading.batches) < 6 else None
    reading.run()
    calls = [call for batch in reading.batches for call in batch]
    timeouts = [call.relayed_timeout_s for call in calls]
    assert timeouts == [1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
    # A direct call shows by its first bytes that its answer is on the way.
    assert {call.timeout_s for call in calls} == {SILENCE_TIMEOUT_S}
    assert {call.total_timeout_s for call in calls} == {TOTAL_TIMEOUT_S}


def test_call_that_failed_early_keeps_its_timeout():
    reading = Reading(likely="", took_s=0.1)
    failed = CallFailed(Ran.NO, "connection refused")
    reading.failure_of = lambda call: failed if len(reading.batches) < 4 else None
    reading.run()
    calls = [call for batch in reading.batches for call in batch]
    assert [call.timeout_s for call in calls] == [1.0] * 4
    assert [call.relayed_timeout_s for call in calls] == [1.0] * 4


def test_silent_read_goes_on_once_a_small_answer_arrives():
    reading = Reading(likely="", took_s=1.0)
    reading.put(PREFIX + "a")

    def fail_for_long(call):
        return TIMED_OUT if reading.clock.now.mono < 20.0 else None

    reading.failure_of = reading.probe_failure_of = fail_for_long
    assert reading.run().items
    # No page is asked for before a small answer arrives.
    assert len(reading.batches) == 2
    assert reading.probes[-1].operation == Get(PREFIX)
    assert {call.timeout_s for call in reading.probes} == {PROBE_TIMEOUT_S}


def test_silence_of_one_call_beside_an_answer_is_noticed():
    reading = Reading(is_split=True, took_s=1.0)
    before = []

    def fail_first_call(call):
        before.append(call)
        return TIMED_OUT if len(before) == 1 else None

    reading.failure_of = fail_first_call
    reading.run()
    # One small read after the whole page, one after the call that was silent.
    assert len(reading.probes) == 2


def test_call_that_failed_early_is_repeated_without_a_small_read():
    reading = Reading(likely="", took_s=0.1)
    failed = CallFailed(Ran.NO, "connection refused")
    reading.failure_of = lambda call: failed if len(reading.batches) < 4 else None
    reading.run()
    assert not reading.probes


def test_silent_read_stops_when_it_is_no_longer_needed():
    reading = Reading(likely="", took_s=1.0)
    reading.failure_of = reading.probe_failure_of = lambda call: TIMED_OUT
    reading.run(has_ended=lambda: len(reading.probes) >= 3)
    assert len(reading.probes) == 3


INVALID_PAGES = (
    StoreResult(StoreStatus.NOT_FOUND, revision=9),
    StoreResult(StoreStatus.CONFLICT, revision=9),
    StoreResult(StoreStatus.OK, revision=0),
    StoreResult(StoreStatus.OK, revision=9, truncated=True),
)


@pytest.mark.parametrize("likely", ["", HEX])
@pytest.mark.parametrize("page", INVALID_PAGES)
def test_invalid_page_is_read_again(page, likely):
    reading = Reading(likely=likely)
    reading.put(PREFIX + "a")
    reading.failure_of = lambda call: page if len(reading.batches) < 3 else None
    read = reading.run()
    assert set(read.item_by_key) == {PREFIX + "a"}
    assert read.revision == reading.store.revision
    assert len(reading.batches) == 3
    assert read.failures == 2
    assert not reading.probes


@pytest.mark.parametrize("page", INVALID_PAGES)
def test_invalid_page_keeps_timeouts_however_late_it_is(page):
    reading = Reading(likely="", took_s=MAX_TIMEOUT_S)
    reading.failure_of = lambda call: page if len(reading.batches) < 4 else None
    reading.run()
    calls = [call for batch in reading.batches for call in batch]
    assert [call.relayed_timeout_s for call in calls] == [1.0] * 4


@pytest.mark.parametrize(("took_s", "most"), [(0.01, MAX_CALLS_IN_FLIGHT), (0.4, 1)])
def test_number_of_calls_in_flight_is_bounded(took_s, most):
    reading = Reading(took_s=took_s, is_split=True)
    reading.run()
    assert max(map(len, reading.batches)) == most


def test_slow_calls_are_made_one_at_a_time():
    reading = Reading(took_s=0.4, is_split=True)
    reading.run()
    assert {len(batch) for batch in reading.batches} == {1}


def test_read_stops_when_it_is_no_longer_needed(reading):
    reading.run(has_ended=lambda: len(reading.batches) >= 2)
    assert len(reading.batches) == 2
