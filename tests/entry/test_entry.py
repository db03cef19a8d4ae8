"""Failure tests of entries over real sockets: crash, drain and store outage."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import threading

import pytest
from tests.support.fleet import Fleet

from lagoonpulley.model.verdict import Ran
from lagoonpulley.peers.calls import PeerCall
from lagoonpulley.peers.messages import Heartbeat, PeerInfo
from lagoonpulley.peers.on_demand import open_listener
from lagoonpulley.peers.port import PeersPort
from lagoonpulley.runtime.role import Request


@pytest.fixture
def fleet():
    made = Fleet(entries=2)
    yield made
    made.close()


JOB = {"queue": "reviews", "run_time_s": 1.5, "payload": {"answer": "done"}}


def test_job_survives_a_crash_of_its_owner(fleet):
    owner = fleet.wait_for_owner()
    other = fleet.other_entry(owner)
    body = {**JOB, "repeatable": False}
    status, answer = fleet.call(
        other, "POST", "/v1/jobs", body, team="north", Idempotency_Key="dies"
    )
    assert status == 202
    owner.close()
    path = f"/v1/jobs/{answer['job']}?wait=40"
    _, state = fleet.call(other, "GET", path, team="north")
    assert state["state"] == "finished"
    assert json.loads(state["tasks"][0]["output"])["answer"] == "done"
    runs = [
        execution.task_id
        for worker in fleet.cell.workers.worker_by_id.values()
        for execution in worker.executions
    ]
    assert runs == [f"{answer['job']}/0"]
    again = fleet.call(
        other, "POST", "/v1/jobs", body, team="north", Idempotency_Key="dies"
    )
    assert again[1]["job"] == answer["job"]


def test_drain_answers_requests_in_flight(fleet):
    owner = fleet.wait_for_owner()
    answers = []

    def submit_and_wait():
        answers.append(
            fleet.call(owner, "POST", "/v1/jobs", JOB, team="north", Prefer="wait=30")
        )

    caller = threading.Thread(target=submit_and_wait)
    caller.start()
    while not any(worker.executions for worker in workers_of(fleet)):
        pass
    owner.drain(deadline_s=30.0)
    caller.join()
    status, answer = answers[0]
    assert (status, answer["state"]) == (200, "finished")
    assert fleet.call(owner, "GET", "/v1/ready")[0] == 503
    assert fleet.wait_for_owner() is not owner


def workers_of(fleet):
    return fleet.cell.workers.worker_by_id.values()


def test_store_outage_refuses_durable_work_and_serves_the_rest(fleet):
    entry = fleet.wait_for_owner()
    fleet.cell.store.available = False
    open_queue_job = {"queue": "enquiries", "run_time_s": 0.05, "exclusive": False}
    status, answer = fleet.call(
        entry, "POST", "/v1/jobs", open_queue_job, Prefer="wait=20"
    )
    assert (status, answer["state"]) == (200, "finished")
    first = fleet.call(entry, "POST", "/v1/jobs", JOB, team="north")
    assert first[0] == 503
    while first[1]["ran"] != "no":
        first = fleet.call(entry, "POST", "/v1/jobs", JOB, team="north")
    assert first[1]["title"] == "store_unavailable"
    fleet.cell.store.available = True
    while first[0] != 202:
        first = fleet.call(entry, "POST", "/v1/jobs", JOB, team="north")
    path = f"/v1/jobs/{first[1]['job']}?wait=30"
    assert fleet.call(entry, "GET", path, team="north")[1]["state"] == "finished"


@pytest.fixture
def port():
    replies = []
    arrived = threading.Event()

    def deliver(_role, message):
        replies.append(message)
        arrived.set()

    made = PeersPort(open_listener("127.0.0.1", 0), deliver)

    def call(address, timeout_s):
        heartbeat = Heartbeat(PeerInfo("a", 1, "timisoara", made.address))
        call = PeerCall(address, heartbeat)
        made.submit(Request("1", "membership", call, timeout_s))
        arrived.wait()
        return replies[0].result

    yield call
    made.close()


def test_refused_connection_counts_as_not_executed(port):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    assert port(address, 5.0).ran is Ran.NO


def test_unanswered_connection_counts_as_maybe_executed(port):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        assert port(address, 0.3).ran is Ran.MAYBE


def test_serve_stops_on_sigterm(fleet, tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(fleet.settings(9)))
    command = [sys.executable, "-m", "lagoonpulley", "serve", str(path)]
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
    )
    assert process.stdout.readline().startswith("http 127.0.0.1:")
    process.send_signal(signal.SIGTERM)
    assert process.wait(timeout=60) == 0
    process.stdout.close()
