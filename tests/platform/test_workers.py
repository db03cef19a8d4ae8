"""Odd answers of workers and advisors: what is odd in them costs only itself."""

from __future__ import annotations

import pytest

import lagoonpulley.platform.worker_rows
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
from lagoonpulley.workload.record import EndKind
from lagoonpulley.workload.spec import TaskKey

TO = WorkerAddress("i-1", "10.0.0.1:80")
SYNC = SyncWorker(TO, 7, 57, 486000, 1.0)
STOP = StopTask(TO, TaskRef("a" * 16, TaskKey(0, 1, 17), 2), 7)
ADVICE = AskAdvice("a" * 16, 0, 1, ("i-1",))
NAME = "a" * 16 + ".0.1.17"
HUGE = "9" * 4000
HUGER = "9" * 5000
DEEP = "[" * 100_000 + "]" * 100_000
OUT_OF_RANGE = [
    HUGE,
    HUGER,
    "9" * 400,
    "9" * 20,
    "-1",
    "NaN",
    "Infinity",
    "1e999",
    DEEP,
]


@pytest.fixture
def events(monkeypatch):
    """Return the events that reading the rows logs, as pairs of name and fields."""
    seen = []

    def log_event(name, **fields):
        seen.append((name, fields))

    monkeypatch.setattr(lagoonpulley.platform.worker_rows, "log_event", log_event)
    return seen


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


def is_not_understood(result):
    return isinstance(result, CallFailed) and result.ran is Ran.MAYBE


def test_report_with_ordinary_numbers_is_understood():
    result = report()
    assert (result.clock_ms, result.born) == (1, 2)
    running = result.running[0]
    assert (running.checkpoint, running.percent, running.load) == ("s", 41, 1.5)
    assert sound_rows(report_beside(row(), end_row())).ended[0].number == 1


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
@pytest.mark.parametrize("field", ["clock", "born"])
def test_report_with_a_number_out_of_range_is_not_understood(field, value):
    assert is_not_understood(report(**{field: value}))


def row(run="1", saved='"s"', percent="41", load="1.5", name=f'"{NAME}"'):
    return f"[{name}, {run}, {saved}, {percent}, {load}]"


def end_row(number="1", run="1", saved='"s"', kind='"done"', name=f'"{NAME}"'):
    return f"[{number}, {name}, {run}, {kind}, {saved}]"


OTHER = "b" * 16 + ".0.0.0"


def report_beside(odd="", odd_end=""):
    """Return a report with odd rows before, between and after sound ones."""
    runs = [odd, row(name=f'"{OTHER}"'), odd]
    ends = [odd_end, end_row(number="7", name=f'"{OTHER}"'), odd_end]
    running = ",".join(filter(None, runs))
    finished = ",".join(filter(None, ends))
    lists = f'"running": [{running}], "finished": [{finished}]'
    return decode(SYNC, f'{{"clockMs": 1, "born": 2, {lists}}}')


def sound_rows(result):
    """Return the runs and ends that a report lists of the other task."""
    assert isinstance(result, WorkerReport)
    runs = [run for run in result.running if run.ref.job_id == "b" * 16]
    ends = [end for end in result.ended if end.ref.job_id == "b" * 16]
    assert [(run.percent, run.checkpoint) for run in runs] == [(41, "s")]
    assert [(end.number, end.kind) for end in ends] == [(7, EndKind.DONE)]
    return result


VALUES_OUT_OF_RANGE = [value for value in OUT_OF_RANGE if value != DEEP]
ODD_ROWS = ["null", "[]", "5", "{}", '"x"', "[5, 1]", "[null, 1, null, 41]"]


@pytest.mark.parametrize("odd", ODD_ROWS + [row(run=v) for v in VALUES_OUT_OF_RANGE])
def test_row_of_a_run_that_cannot_be_read_costs_the_runs_beside_it(odd, events):
    """One odd row made a worker silent, whose tasks were then started elsewhere."""
    result = sound_rows(report_beside(odd=odd))
    assert len(result.running) == 1
    assert not result.all_read
    assert [(name, fields["rows"]) for name, fields in events] == [
        ("worker_rows_refused", 2)
    ]


@pytest.mark.parametrize(
    "odd", ODD_ROWS + [end_row(run=value) for value in VALUES_OUT_OF_RANGE]
)
def test_row_of_an_end_that_cannot_be_read_costs_the_ends_beside_it(odd, events):
    result = sound_rows(report_beside(odd_end=odd))
    assert len(result.ended) == 1
    assert not result.all_read
    assert [name for name, _ in events] == ["worker_rows_refused"]


@pytest.mark.parametrize("number", VALUES_OUT_OF_RANGE)
def test_end_with_a_number_out_of_range_costs_the_ends_beside_it(number, events):
    result = sound_rows(report_beside(odd_end=end_row(number=number)))
    assert len(result.ended) == 1 and result.unread_ends == ()
    assert [name for name, _ in events] == ["worker_rows_refused"]


def test_number_of_an_end_that_cannot_be_read_is_lost():
    result = sound_rows(report_beside(odd_end="[8, null, 1, null, null]"))
    assert result.unread_ends == (8, 8)


@pytest.mark.parametrize("value", VALUES_OUT_OF_RANGE)
def test_percent_out_of_range_costs_its_run(value, events):
    result = sound_rows(report_beside(odd=row(percent=value)))
    odd = result.running[0]
    assert (odd.percent, odd.checkpoint, odd.load) == (None, "s", 1.5)
    assert result.all_read
    assert {(name, fields["field"]) for name, fields in events} == {
        ("worker_value_refused", "percent")
    }


@pytest.mark.parametrize("value", [HUGE, "NaN", "-Infinity", "1e999", "[]"])
def test_load_that_is_not_finite_costs_its_run(value, events):
    result = sound_rows(report_beside(odd=row(load=value)))
    odd = result.running[0]
    assert (odd.percent, odd.checkpoint, odd.load) == (41, "s", 0.0)
    assert {(name, fields["field"]) for name, fields in events} == {
        ("worker_value_refused", "load")
    }


def test_checkpoint_of_five_thousand_characters_is_not_kept(events):
    saved = "x" * 5000
    odd, odd_end = row(saved=f'"{saved}"'), end_row(number="6", saved=f'"{saved}"')
    result = sound_rows(report_beside(odd, odd_end))
    assert result.running[0].checkpoint == result.ended[0].checkpoint == saved
    assert not events


TOO_LONG = "x" * (2**20 + 1)
TOO_MANY_BYTES = "\u00e9" * (2**19 + 1)


@pytest.mark.parametrize(
    "saved",
    [f'"{TOO_LONG}"', f'"{TOO_MANY_BYTES}"', "5", "[]", "{}", r'"\ud800"'],
    ids=["long", "bytes", "number", "list", "object", "surrogate"],
)
def test_checkpoint_that_cannot_be_stored_costs_its_run(saved, events):
    """A task ended as done, and its end was never read for its long checkpoint."""
    odd, odd_end = row(saved=saved), end_row(number="6", saved=saved)
    result = sound_rows(report_beside(odd, odd_end))
    assert result.all_read and result.unread_ends == ()
    assert (result.running[0].percent, result.running[0].checkpoint) == (41, "")
    assert (result.ended[0].number, result.ended[0].checkpoint) == (6, "")
    assert {(name, fields["field"]) for name, fields in events} == {
        ("worker_value_refused", "checkpoint")
    }


@pytest.mark.parametrize("kind", ["null", "5", "[]", '"gone"'])
def test_end_of_an_unknown_kind_costs_its_run(kind, events):
    result = sound_rows(report_beside(odd_end=end_row(number="6", kind=kind)))
    assert result.ended[0].kind is EndKind.FAILED
    assert {name for name, _ in events} == {"end_kind_unknown"}


@pytest.mark.parametrize("odd", ODD_ROWS)
def test_permit_that_cannot_be_read_costs_the_permits_beside_it(odd, events):
    text = f'{{"good": [{odd}, ["i-1", "ticket"]], "validMs": 2000.0}}'
    assert decode(ADVICE, text) == Advice({"i-1": "ticket"}, 2.0)
    assert [name for name, _ in events] == ["worker_rows_refused"]


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


@pytest.mark.parametrize("field", ["running", "finished"])
def test_list_with_many_odd_rows_floods_the_log(field, events):
    rows = ",".join(["1"] * 10_000)
    result = decode(SYNC, f'{{"clockMs": 1, "{field}": [{rows}]}}')
    assert isinstance(result, WorkerReport)
    assert [fields["rows"] for _, fields in events] == [10_000]


@pytest.mark.parametrize("field", ["running", "finished"])
def test_report_with_something_else_than_a_list_is_not_understood(field):
    assert is_not_understood(decode(SYNC, f'{{"clockMs": 1, "{field}": 5}}'))


def test_bytes_that_are_no_text_cost_the_rows_beside_them(events):
    codec = PlatformWorkerCodec("10.0.0.8:1")
    odd, sound = row(saved='"?"'), row(name=f'"{OTHER}"')
    lists = f'"running": [{odd}, {sound}]'
    data = f'{{"clockMs": 1, "born": 2, {lists}}}'.encode().replace(b"?", b"\xff")
    result = codec.decode(SYNC, HttpAnswer(200, data))
    assert [run.checkpoint for run in result.running] == ["", "s"]
    assert [name for name, _ in events] == ["worker_value_refused"]
