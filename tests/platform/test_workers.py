"""Odd answers of workers and advisors, which must count as not understood."""

from __future__ import annotations

import pytest

from lagoonpulley.model.verdict import Ran
from lagoonpulley.platform.workers import PlatformWorkerCodec
from lagoonpulley.runtime.curl import HttpAnswer
from lagoonpulley.runtime.role import CallFailed
from lagoonpulley.upstream.tasks import (
    Advice,
    AskAdvice,
    CommandAccepted,
    CommandRefused,
    StopTask,
    SyncWorker,
    TaskRef,
    WorkerAddress,
    WorkerReport,
)
from lagoonpulley.workload.spec import TaskKey

TO = WorkerAddress("i-1", "10.0.0.1:80")
SYNC = SyncWorker(TO, 7, 57, 486000, 1.0)
STOP = StopTask(TO, TaskRef("a" * 16, TaskKey(0, 1, 17), 2), 7)
ADVICE = AskAdvice("a" * 16, 0, 1, ("i-1",))
NAME = "a" * 16 + ".0.1.17"
HUGE = "9" * 4000
DEEP = "[" * 100_000 + "]" * 100_000
OUT_OF_RANGE = [HUGE, "9" * 400, "9" * 20, "-1", "NaN", "Infinity", "1e999", DEEP]


def decode(operation, text, status=200):
    """Decode an answer, as a text that Python's JSON encoder would not write."""
    codec = PlatformWorkerCodec("10.0.0.8:1")
    return codec.decode(operation, HttpAnswer(status, text.encode()))


def report(
    clock="1", born="2", run="1", saved='"s"', percent="41", load="1.5", name=NAME
):
    running = f'["{name}", {run}, {saved}, {percent}, {load}]'
    text = f'{{"clockMs": {clock}, "born": {born}, "running": [{running}]}}'
    return decode(SYNC, text)


def report_end(number="1", run="1", saved='"s"'):
    row = f'[{number}, "{NAME}", {run}, "done", {saved}]'
    return decode(SYNC, f'{{"clockMs": 1, "finished": [{row}]}}')


def is_not_understood(result):
    return isinstance(result, CallFailed) and result.ran is Ran.MAYBE


def test_report_with_ordinary_numbers_is_understood():
    result = report()
    assert (result.clock_ms, result.born) == (1, 2)
    running = result.running[0]
    assert (running.checkpoint, running.percent, running.load) == ("s", 41, 1.5)
    assert report_end().ended[0].number == 1


@pytest.mark.parametrize(
    "change",
    [
        {"percent": "41.7"},
        {"load": "null"},
        {"load": "-1"},
        {"saved": "null"},
        {"saved": '"' + "x" * 4096 + '"'},
        {"clock": str(2**53)},
    ],
)
def test_report_with_a_rough_figure_or_without_one_is_understood(change):
    assert isinstance(report(**change), WorkerReport)


@pytest.mark.parametrize("value", OUT_OF_RANGE)
@pytest.mark.parametrize("field", ["clock", "born", "run", "percent"])
def test_report_with_a_number_out_of_range_is_not_understood(field, value):
    assert is_not_understood(report(**{field: value}))


@pytest.mark.parametrize("value", [HUGE, "NaN", "-Infinity", "1e999", "[]", DEEP])
def test_report_with_a_load_that_is_not_finite_is_not_understood(value):
    assert is_not_understood(report(load=value))


@pytest.mark.parametrize("value", OUT_OF_RANGE)
@pytest.mark.parametrize("field", ["number", "run"])
def test_report_of_an_end_with_a_number_out_of_range_is_not_understood(field, value):
    assert is_not_understood(report_end(**{field: value}))


def test_report_with_a_checkpoint_that_cannot_be_stored_is_not_understood():
    saved = '"' + "x" * 4097 + '"'
    assert is_not_understood(report(saved=saved))
    assert is_not_understood(report_end(saved=saved))


@pytest.mark.parametrize("part", ["\u00b2", "\u0661", HUGE, "9" * 5000, "-1", ""])
def test_run_whose_name_has_an_odd_number_is_left_out(part):
    result = report(name=f"a.0.0.{part}")
    assert isinstance(result, WorkerReport) and result.running == ()


@pytest.mark.parametrize("value", [HUGE, "-1", "NaN", "1e999"])
def test_answer_with_a_clock_out_of_range_is_not_understood(value):
    assert is_not_understood(decode(STOP, f'{{"clockMs": {value}}}'))


@pytest.mark.parametrize("value", [HUGE, "-1", "NaN", "1e999", DEEP])
def test_refusal_with_a_clock_out_of_range_has_none(value):
    result = decode(STOP, f'{{"clockMs": {value}}}', status=503)
    assert isinstance(result, CommandRefused) and result.clock_ms is None


@pytest.mark.parametrize("value", [HUGE, "-1", "NaN", "1e999", "Infinity"])
def test_advice_that_is_valid_for_no_finite_time_is_not_understood(value):
    text = f'{{"good": [["i-1", "ticket"]], "validMs": {value}}}'
    assert is_not_understood(decode(ADVICE, text))


def test_ordinary_answers_are_understood():
    assert decode(STOP, '{"clockMs": 5}') == CommandAccepted(5)
    text = '{"good": [["i-1", "ticket"]], "validMs": 2000.5}'
    assert decode(ADVICE, text) == Advice({"i-1": "ticket"}, 2.0005)


@pytest.mark.parametrize("field", ["running", "finished", "good"])
def test_answer_with_many_faults_is_not_understood_at_the_first(field):
    rows = ",".join(["1"] * 10_000)
    result = decode(SYNC, f'{{"clockMs": 1, "{field}": [{rows}]}}')
    assert is_not_understood(result)
    assert result.reason == "worker answer has 1 faults"
