"""Tests of the HTTP interface for callers."""

from __future__ import annotations

import pytest
from tests.support.fleet import Fleet


@pytest.fixture(scope="module")
def fleet():
    made = Fleet(entries=1)
    made.wait_for_owner()
    yield made
    made.close()


@pytest.fixture
def call(fleet):
    def send(*args, **fields):
        return fleet.call(fleet.entries[0], *args, **fields)

    return send


JOB = {"queue": "reviews", "run_time_s": 0.05}


@pytest.mark.parametrize(
    ("body", "status", "title", "detail"),
    [
        (b"{", 400, "bad_request", "not JSON"),
        ([], 400, "bad_request", "not a JSON object"),
        ({**JOB, "tasks": "3"}, 400, "bad_request", "tasks"),
        ({**JOB, "colour": 1}, 400, "bad_request", "colour"),
        ({**JOB, "tasks": 10**30}, 400, "bad_request", "tasks"),
        ({**JOB, "run_time_s": -1}, 400, "bad_request", "run_time_s"),
        (b'{"queue":"reviews","run_time_s":1e999}', 400, "bad_request", "run_time_s"),
        (
            {**JOB, "resources": {"memory_mb": -1}},
            400,
            "bad_request",
            "resources.memory_mb",
        ),
        ({"queue": "missing"}, 404, "unknown_queue", "missing"),
        ({"queue": "packets"}, 403, "wrong_team", "packets"),
        ({**JOB, "payload": "x" * 30_000}, 413, "too_large", "bytes"),
        ({**JOB, "repeatable": False}, 400, "idempotency_key_missing", "Idempotency"),
        (
            {**JOB, "resources": {"processors": 64.0}},
            422,
            "unsatisfiable",
            "processors_milli",
        ),
        (
            {**JOB, "kind": "gang", "tasks": 9},
            422,
            "over_limit",
            "north",
        ),
    ],
)
def test_submit_bad_input_is_refused_as_not_run(call, body, status, title, detail):
    got, problem = call("POST", "/v1/jobs", body, team="north")
    assert (got, problem["title"], problem["ran"]) == (status, title, "no")
    assert detail in problem["detail"]


def test_submit_with_a_missing_or_wrong_key_is_refused(call):
    assert call("POST", "/v1/jobs", JOB)[1]["title"] == "key_missing"
    status, problem = call("POST", "/v1/jobs", JOB, Authorization="Bearer lp_x_y")
    assert (status, problem["title"]) == (401, "key_unknown")


def test_open_queue_needs_no_key(call):
    body = {"queue": "enquiries", "run_time_s": 0.05, "payload": {"answer": 7}}
    status, answer = call("POST", "/v1/jobs", body, Prefer="wait=10")
    assert (status, answer["state"]) == (200, "finished")
    assert '"answer": 7' in answer["tasks"][0]["output"]


def test_same_key_returns_the_same_job_and_refuses_another_body(call):
    first = call("POST", "/v1/jobs", JOB, team="north", Idempotency_Key="one")
    again = call("POST", "/v1/jobs", JOB, team="north", Idempotency_Key="one")
    assert first[0] == again[0] == 202
    assert first[1]["job"] == again[1]["job"]
    other = {**JOB, "tasks": 2}
    status, problem = call(
        "POST", "/v1/jobs", other, team="north", Idempotency_Key="one"
    )
    assert (status, problem["title"]) == (422, "idempotency_mismatch")


def test_submit_of_several_jobs_returns_a_verdict_for_each(call):
    jobs = [
        {**JOB, "idempotency_key": "several-1"},
        {**JOB, "resources": {"processors": 64.0}, "idempotency_key": "several-2"},
    ]
    status, answer = call("POST", "/v1/jobs", {"jobs": jobs}, team="north")
    assert status == 207
    good, bad = answer["jobs"]
    assert good["state"] == "pending"
    assert (bad["title"], bad["ran"]) == ("unsatisfiable", "no")


def test_fetch_waits_for_completion(call):
    _, answer = call("POST", "/v1/jobs", {**JOB, "tasks": 3}, team="north")
    status, state = call("GET", f"/v1/jobs/{answer['job']}?wait=20", team="north")
    assert (status, state["state"], len(state["tasks"])) == (200, "finished", 3)


def test_other_team_does_not_see_a_job(call):
    _, answer = call("POST", "/v1/jobs", JOB, team="north")
    path = f"/v1/jobs/{answer['job']}"
    assert call("GET", path, team="south")[1]["title"] == "unknown_job"
    assert call("GET", path)[1]["title"] == "key_missing"


def test_unknown_job_path_and_method(call):
    path = f"/v1/jobs/timisoara-{'0' * 24}"
    assert call("GET", path, team="north")[1]["title"] == "unknown_job"
    assert call("GET", "/v1/jobs/nonsense", team="north")[1]["title"] == "unknown_job"
    assert call("GET", "/v2/jobs")[0] == 404
    assert call("DELETE", "/v1/jobs")[0] == 405
    assert call("GET", f"{path}?wait=never", team="north")[0] == 400


def test_cancel_stops_a_running_job(call):
    body = {**JOB, "kind": "service", "run_time_s": 1000.0}
    _, answer = call("POST", "/v1/jobs", body, team="north")
    path = f"/v1/jobs/{answer['job']}"
    call("DELETE", path, team="north")
    assert call("GET", f"{path}?wait=20", team="north")[1]["state"] == "cancelled"


def test_wait_timeout_is_answered_as_maybe_or_yes(call):
    body = {**JOB, "run_time_s": 1000.0}
    status, problem = call("POST", "/v1/jobs", body, team="north", Prefer="wait=1")
    assert (status, problem["title"]) == (504, "wait_ended")
    assert problem["ran"] in ("maybe", "yes")


def test_decisions_contain_the_placement(call):
    _, answer = call("POST", "/v1/jobs", JOB, team="north")
    path = f"/v1/jobs/{answer['job']}"
    call("GET", f"{path}?wait=20", team="north")
    events = call("GET", f"{path}/decisions", team="north")[1]["events"]
    placed = next(event for event in events if event["event"] == "task_placed")
    assert {"job", "attempt", "worker", "epoch", "reason", "candidates", "took_us"} <= (
        placed.keys()
    )


def test_new_id_names_the_data_centre(call):
    status, answer = call("POST", "/v1/ids", b"")
    assert status == 201
    assert answer["idempotency_key"].startswith("timisoara/")
