"""Job submissions that the entry must refuse because the owner could not run them."""

from __future__ import annotations

import pytest

from lagoonpulley.platform.submission import MAX_STEPS, decode_submission_body


def decode(more="", step=""):
    """Decode a body; Python's JSON encoder would not write the numbers under test."""
    body = '{"spec": "text"' + more + ', "steps": [{"count": 1' + step + "}]}"
    return decode_submission_body(body.encode(), "a" * 16, "reviews", "north", 1.0)


def test_submission_with_finite_numbers_is_decoded():
    assert decode(', "startAtMs": 5.0', ', "estimateMs": 900').is_ok()


@pytest.mark.parametrize("value", ["1e999", "NaN", "Infinity"])
@pytest.mark.parametrize("field", ["estimateMs", "targetMs"])
def test_submission_with_a_step_value_that_is_not_finite_is_refused(field, value):
    assert decode(step=f', "{field}": {value}').is_error()


@pytest.mark.parametrize("field", ["startAtMs", "intervalMs"])
def test_submission_with_a_time_that_is_not_finite_is_refused(field):
    assert decode(f', "{field}": 1e999').is_error()


@pytest.mark.parametrize("value", ["9" * 4000, "9" * 400, "1e300", "-1"])
@pytest.mark.parametrize("field", ["estimateMs", "targetMs"])
def test_submission_with_a_step_time_out_of_range_is_refused(field, value):
    assert decode(step=f', "{field}": {value}').is_error()


@pytest.mark.parametrize("value", ["9" * 4000, "9" * 400, "1e300", "-1"])
@pytest.mark.parametrize("field", ["startAtMs", "intervalMs"])
def test_submission_with_a_time_out_of_range_is_refused(field, value):
    assert decode(f', "{field}": {value}').is_error()


@pytest.mark.parametrize("value", ["9" * 4000, "9" * 400, "9" * 20, "-1", "1e999"])
@pytest.mark.parametrize("field", ["cpu", "memMb", "gpu", "mayMiss", "maxPerServer"])
def test_submission_with_an_amount_out_of_range_is_refused(field, value):
    assert decode(step=f', "{field}": {value}').is_error()


@pytest.mark.parametrize("value", ["0", "1", "2000000"])
@pytest.mark.parametrize("field", ["cpu", "memMb", "gpu", "mayMiss", "maxPerServer"])
def test_submission_with_an_ordinary_amount_is_decoded(field, value):
    assert decode(step=f', "{field}": {value}').is_ok()


@pytest.mark.parametrize("value", ["[" * 50_000 + "]" * 50_000, '"\\ud800"'])
def test_submission_that_is_deeply_nested_or_no_text_is_refused(value):
    assert decode(f', "unknown": {value}').is_error()
    assert decode(step=f', "image": {value}').is_error()


MANY = "[" + ",".join(['"x"'] * 50_000) + "]"


@pytest.mark.parametrize(
    "body", [f'{{"steps": {MANY}}}', f'{{"steps": [{{"after": {MANY}}}]}}']
)
def test_refusal_of_a_submission_with_many_faults_is_short(body):
    refused = decode_submission_body(body.encode(), "a" * 16, "reviews", "north", 1.0)
    assert 0 < len(refused.error) < 200


@pytest.mark.parametrize(("steps", "is_ok"), [(MAX_STEPS, True), (87_000, False)])
def test_submission_with_more_steps_than_the_memory_takes_is_refused(steps, is_ok):
    body = '{"steps": [' + ",".join(["{}"] * steps) + "]}"
    decoded = decode_submission_body(body.encode(), "a" * 16, "reviews", "north", 1.0)
    assert decoded.is_ok() == is_ok


@pytest.mark.parametrize(("tasks", "is_ok"), [(1000, True), (1001, False)])
def test_submission_with_more_tasks_at_a_time_than_can_be_stored_is_accepted(
    tasks, is_ok
):
    """Its progress would not fit into one value, so no task of it could start."""
    steps = f'[{{"count": 5000}}, {{"count": {tasks}}}]'
    body = f'{{"spec": "", "steps": {steps}}}'.encode()
    result = decode_submission_body(body, "a" * 16, "reviews", "north", 1.0)
    assert result.is_ok() == is_ok
    if not is_ok:
        assert "6001 tasks at a time; at most 6000" in result.error


def test_submission_that_repeats_often_is_refused_for_its_tasks_in_total():
    text = ', "repeatCount": 5000, "startAtMs": 5.0, "intervalMs": 60000'
    body = f'{{"spec": "x"{text}, "steps": [{{"count": 5000}}]}}'.encode()
    assert decode_submission_body(body, "a" * 16, "reviews", "north", 1.0).is_ok()
