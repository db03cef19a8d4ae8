"""Tests of one entry on a simulated platform, over real sockets."""

from __future__ import annotations

import http.client
import json
import signal
import subprocess
import sys
import threading
import time

import pytest
from tests.support.logged_events import capture_events
from tests.support.platform_standin import PlatformStandin

from lagoonpulley.platform.entry import PlatformEntry
from lagoonpulley.platform.settings import read_settings

MAX_WAIT_S = 30.0

CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r-1",
            "host": "desk.example",
            "prefix": "/work/",
            "service": "desk",
            "maxAttempts": 2,
            "slackFactor": 2,
            "targetDurationMs": 1000,
            "advice": {"decideMs": 5.0, "eachMs": 0.5, "validMs": 2000},
        }
    ],
    "services": [{"name": "desk", "enforcesCapacity": False}],
    "limits": {"maxBodyBytes": 262144},
    "tenants": [{"name": "north", "apiKeys": ["secret"], "weight": 4}],
}
DOCUMENTED_METRICS = (
    "lagoonpulley_events_total",
    "lagoonpulley_request_seconds",
    "lagoonpulley_refused_submissions_total",
    "lagoonpulley_store_call_seconds",
    "lagoonpulley_policy_version",
    "lagoonpulley_policy_age_seconds",
    "lagoonpulley_start_wait_seconds",
    "lagoonpulley_role_delay_seconds",
    "lagoonpulley_role_messages_total",
    "lagoonpulley_role_busy_seconds_total",
    "lagoonpulley_role_queued_messages",
    "lagoonpulley_calls_total",
    "lagoonpulley_call_bytes_total",
)
JOB = "5c0e7a21d94b36f8"


@pytest.fixture
def standin():
    made = PlatformStandin()
    made.put("op/config", CONFIG)
    yield made
    made.close()


@pytest.fixture
def settings_path(settings_file, standin):
    text = settings_file.read_text().replace("127.0.0.1:1", standin.address)
    settings_file.write_text(text.replace("127.0.0.1:2", standin.address))
    return str(settings_file)


@pytest.fixture
def entry(settings_path):
    made = PlatformEntry.from_settings(read_settings(settings_path).ok)
    made.start()
    wait_until(lambda: made.is_ready)
    yield made
    made.drain(0.0, threading.Event())
    made.close()


def wait_until(condition):
    """Wait until a condition holds; the limit only ends a failing test."""
    deadline = time.monotonic() + MAX_WAIT_S
    while not condition():
        assert time.monotonic() < deadline, "condition does not hold in time"
        time.sleep(0.02)


def call(entry, method, path, body=None, key="secret"):
    connection = http.client.HTTPConnection(entry.callers_address, timeout=30)
    headers = {"Host": "desk.example", "X-Api-Key": key, "Deadline-Ms": "5000"}
    data = json.dumps(body) if body is not None else None
    connection.request(method, path, data, headers)
    response = connection.getresponse()
    text = response.read()
    connection.close()
    return response.status, json.loads(text) if text.startswith(b"{") else text


def submission(count=2):
    step = {"count": count, "cpu": 500, "memMb": 256, "estimateMs": 200}
    return {"spec": "seconds=0.2", "steps": [step, {**step, "after": [0]}]}


def test_job_is_accepted_run_and_shown_as_completed(entry, standin):
    assert call(entry, "POST", f"/work/{JOB}", submission())[0] == 200
    assert call(entry, "POST", f"/work/{JOB}", submission())[0] == 200
    wait_until(
        lambda: call(entry, "GET", f"/work/{JOB}") == (200, {"state": "completed"})
    )
    runs = [e for w in standin.worker_by_id.values() for e in w.executions]
    assert len(runs) == 4
    assert len(standin.advice_requests) == 2


def test_caller_without_a_known_key_is_refused(entry):
    assert call(entry, "POST", f"/work/{JOB}", submission(), key="other")[0] == 401


def test_unknown_queue_unknown_job_and_invalid_body_are_refused(entry):
    assert call(entry, "GET", "/other/")[0] == 404
    assert call(entry, "GET", f"/work/{JOB}")[0] == 410
    assert call(entry, "POST", f"/work/{JOB}", {"steps": []})[0] == 400
    assert call(entry, "GET", "/work/") == (200, {"pending": 0})


def test_new_policy_is_in_force_without_a_restart(entry, standin):
    tenants = [{"name": "north", "apiKeys": ["fresh"], "weight": 4}]
    standin.put("op/config", CONFIG | {"version": 9, "tenants": tenants})
    wait_until(lambda: call(entry, "GET", "/work/")[0] == 401)
    assert call(entry, "GET", "/work/", key="fresh")[0] == 200


def test_metrics_are_served_beside_readiness(entry):
    call(entry, "POST", f"/work/{JOB}", submission())
    connection = http.client.HTTPConnection(entry.ready_address, timeout=30)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    connection.close()
    for name in DOCUMENTED_METRICS:
        assert f"# TYPE {name} " in text
    assert 'event="job_submitted"' in text
    calls = "lagoonpulley_calls_total{"
    assert calls + 'operation="Transaction",port="store"}' in text


def test_malformed_worker_records_are_ignored(entry, standin):
    standin.put("servers/i-bad", {"service": 7})
    standin.put("servers/i-odd", "text")
    assert call(entry, "POST", f"/work/{JOB}", submission())[0] == 200
    wait_until(
        lambda: call(entry, "GET", f"/work/{JOB}") == (200, {"state": "completed"})
    )


RECORD = (
    '{"address": "127.0.0.1:1", "service": "desk", "zone": "a", "version": "v1",'
    '"slots": 8, "state": "ready", "seq": 1, "capacity": {"cpu": 16000},'
    '"labels": ["a", "r1-1"], "born": 1700000000000, '
)


@pytest.mark.parametrize(
    ("name", "odd"),
    [
        ("i-odd", '"address": "127.0.0.1\\u0000:1"'),
        ("i-odd", '"address": "caf\u00e9:1"'),
        ("i-odd", '"address": "127.0.0.1:99999"'),
        ("i-odd", '"capacity": {"cpu": ' + "9" * 4000 + "}"),
        ("i-odd", '"born": ' + "9" * 300),
        ("i-odd", '"drainRemainingMs": Infinity'),
        ("i-odd", '"deep": ' + "[" * 5000 + "]" * 5000),
        ("i-od\u00e9", '"born": 1'),
    ],
    ids=["nul", "letter", "port", "amount", "born", "time", "nested", "name"],
)
def test_odd_worker_record_is_refused_and_the_others_work(entry, standin, name, odd):
    with capture_events() as events:
        standin.put_text(f"servers/{name}", RECORD + odd + "}")
        wait_until(lambda: events.named("worker_entry_refused"))
    assert call(entry, "POST", f"/work/{JOB}", submission())[0] == 200
    wait_until(
        lambda: call(entry, "GET", f"/work/{JOB}") == (200, {"state": "completed"})
    )


@pytest.mark.usefixtures("fresh_log_limits")
@pytest.mark.parametrize(
    "odd",
    [
        '"version": ' + "9" * 400,
        '"version": 4, "routes": [{"name": "r-1", "host": "desk.example", '
        '"prefix": "/work/", "service": "desk", "advice": {"decideMs": Infinity}}]',
    ],
    ids=["version", "time"],
)
def test_odd_policy_is_refused_and_a_later_one_is_in_force(entry, standin, odd):
    with capture_events() as events:
        standin.put_text("op/config", json.dumps(CONFIG)[:-1] + "," + odd + "}")
        wait_until(lambda: events.named("policy_refused"))
    assert call(entry, "POST", f"/work/{JOB}", submission())[0] == 200
    wait_until(
        lambda: call(entry, "GET", f"/work/{JOB}") == (200, {"state": "completed"})
    )
    tenants = [{"name": "north", "apiKeys": ["fresh"], "weight": 4}]
    standin.put("op/config", CONFIG | {"version": 9, "tenants": tenants})
    wait_until(lambda: call(entry, "GET", "/work/")[0] == 401)


def test_program_survives_sighup_and_stops_on_sigterm(settings_path, standin):
    command = [sys.executable, "-m", "lagoonpulley", "platform", settings_path]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        events = iter(process.stdout.readline, "")
        wait_for_event(events, "elected")
        process.send_signal(signal.SIGHUP)
        wait_for_event(events, "settings_reloaded")
        process.send_signal(signal.SIGTERM)
        wait_for_event(events, "stopped")
        assert process.wait(timeout=MAX_WAIT_S) == 0
    finally:
        process.kill()
        process.wait()


def wait_for_event(lines, name):
    for line in lines:
        if json.loads(line).get("event") == name:
            return
    raise AssertionError(f"the program ended before {name}")
