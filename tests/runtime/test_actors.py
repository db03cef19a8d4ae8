"""Roles that a runtime runs: their measurements, and ports that raise."""

from __future__ import annotations

import queue
import threading

import pytest

from lagoonpulley.model.verdict import Ran
from lagoonpulley.runtime.actors import Runtime
from lagoonpulley.runtime.flows import Call, FlowRole
from lagoonpulley.runtime.load import LoadMeter
from lagoonpulley.runtime.role import CallFailed, Now, Reply, Request, Tick
from lagoonpulley.store.messages import Get

MAX_WAIT_S = 30.0


class StepClock:
    """A clock that only tests advance."""

    def __init__(self) -> None:
        self.mono = 0.0

    def now(self) -> Now:
        """Return both clocks."""
        return Now(self.mono, self.mono)

    def monotonic(self) -> float:
        """Return the monotonic time."""
        return self.mono


class Work:
    """A message that takes a second and waits for the test."""

    def __init__(self) -> None:
        self.began = threading.Event()
        self.proceed = threading.Event()


class Subject(FlowRole):
    """Processes :class:`Work`, and makes a call on each tick."""

    name = "subject"

    def __init__(self, clock: StepClock) -> None:
        super().__init__("subject")
        self._clock = clock

    def receive(self, message):
        """Process one message."""
        if isinstance(message, Work):
            message.began.set()
            assert message.proceed.wait(MAX_WAIT_S)
            self._clock.mono += 1.0
        elif isinstance(message, Tick):
            self.start(self._read())
        elif isinstance(message, ValueError):
            raise message

    def _read(self):
        yield Call("store", Get("key"), 1.0)


class Store:
    """A port that answers at once."""

    def __init__(self, runtime):
        self._runtime = runtime

    def submit(self, message):
        """Answer a request."""
        self._runtime.deliver(message.reply_to, Reply(message.request_id, None))

    def close(self):
        """Do nothing."""


@pytest.fixture
def clock():
    return StepClock()


@pytest.fixture
def load():
    return LoadMeter()


@pytest.fixture
def runtime(clock, load):
    made = Runtime(clock.now, clock.monotonic, load)
    made.add_role(Subject(clock))
    made.add_port("store", Store(made))
    yield made
    made.stop()


def work_through(runtime):
    """Wait until all messages that are queued now are processed."""
    last = Work()
    last.proceed.set()
    runtime.deliver("subject", last)
    assert last.began.wait(MAX_WAIT_S)


def test_runtime_measures_delay_and_processing_time(runtime, load):
    reader = load.add_reader()
    first, second = Work(), Work()
    runtime.deliver("subject", first)
    assert first.began.wait(MAX_WAIT_S)
    runtime.deliver("subject", second)
    assert load.role_by_name["subject"].queued == 1
    first.proceed.set()
    assert second.began.wait(MAX_WAIT_S)
    subject = reader.read(1.0).role_by_name["subject"]
    assert subject.by_kind["Work"] == (1, 1.0)
    assert subject.max_delay_s == 1.0
    assert subject.queued == 0
    second.proceed.set()


def test_runtime_names_replies_and_requests_by_their_operation(runtime, load):
    runtime.deliver("subject", Tick())
    runtime.deliver("subject", Request("1", "callers", Get("key"), 1.0))
    runtime.deliver("subject", Reply("unknown", None))
    work_through(runtime)
    work_through(runtime)
    kinds = set(load.role_by_name["subject"].totals())
    assert kinds == {"Tick", "request:Get", "reply:unexpected", "reply:Get", "Work"}


def test_runtime_measures_a_message_whose_processing_fails(runtime, load):
    runtime.deliver("subject", ValueError("expected by this test"))
    work_through(runtime)
    assert load.role_by_name["subject"].totals()["ValueError"].messages == 1


class Faulty:
    """A port that raises for every message."""

    def submit(self, message):
        """Raise."""
        raise OverflowError("expected by this test")

    def close(self):
        """Do nothing."""


class Caller(FlowRole):
    """Calls the faulty port and then the store, and keeps both results."""

    name = "caller"
    tick_interval_s = None

    def __init__(self):
        super().__init__("caller")
        self.results = queue.SimpleQueue()

    def receive(self, message):
        """Start the calls."""
        self.start(self._call_both())

    def _call_both(self):
        results = yield [Call("faulty", "odd", 1.0), Call("store", "sound", 1.0)]
        self.results.put(results)


def test_port_that_raises_fails_that_request_and_not_the_others(runtime):
    caller = Caller()
    runtime.add_role(caller)
    runtime.add_port("faulty", Faulty())
    runtime.deliver("caller", Tick())
    failed, sound = caller.results.get(timeout=MAX_WAIT_S)
    assert isinstance(failed, CallFailed) and failed.ran is Ran.MAYBE
    assert sound is None
