"""``lagoonpulley demo``: run a small cell in one process and submit example jobs."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..configuration.editor import ConfigurationEditor
from ..configuration.keys import create_key
from ..entry.entry import Entry
from ..observability.logs import ROOT_LOGGER
from ..settings.schema import Settings
from ..sheet.diff import apply_content
from ..sheet.parse import parse_sheet
from ..standin.cell import StandinCell, StandinPlan
from ..store.client import StoreClient
from .common import call_entry
from .errors import EXIT_FAILURE, EXIT_SUCCESS, CommandError

if TYPE_CHECKING:
    import argparse

__all__ = ["register"]

DATA_CENTRES = ("timisoara", "arad")
DATA_CENTRE_BY_ENTRY_ID = {
    "timisoara-1": "timisoara",
    "timisoara-2": "timisoara",
    "arad-1": "arad",
}
READY_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.1
JOB_TIMEOUT_S = 10

SHEET = """\ufeffEchipă;Coadă;Cotă;Limită procesoare;Deschisă
flight-schools;reviews;2,5;64;nu
flight-schools;status;2,5;64;da
crew-offices;checks;1;32;nu
"""


@dataclass(frozen=True, slots=True)
class _DemoRequest:
    """One request of the demonstration and its expected state or refusal code."""

    title: str
    team: str
    body: dict[str, Any]
    expected_state: str
    expected_code: str = ""


_REQUESTS = (
    _DemoRequest(
        "a service with two replicas",
        "flight-schools",
        {
            "queue": "reviews",
            "kind": "service",
            "tasks": 2,
            "resources": {"processors": 1, "memory_mb": 512},
            "run_time_s": 3600,
        },
        "running",
    ),
    _DemoRequest(
        "a batch job of three tasks",
        "crew-offices",
        {
            "queue": "checks",
            "kind": "batch",
            "tasks": 3,
            "resources": {"processors": 2, "memory_mb": 1024},
            "run_time_s": 0.3,
            "payload": {"answer": "certificate valid"},
        },
        "finished",
    ),
    _DemoRequest(
        "a gang job of four tasks",
        "flight-schools",
        {
            "queue": "reviews",
            "kind": "gang",
            "tasks": 4,
            "repeatable": False,
            "resources": {"processors": 4, "memory_mb": 4096},
            "run_time_s": 0.5,
            "payload": {"answer": "licence renewed"},
        },
        "finished",
    ),
    _DemoRequest(
        "an urgent job without a key to an open queue",
        "",
        {
            "queue": "status",
            "kind": "urgent",
            "exclusive": False,
            "resources": {"processors": 0.1, "memory_mb": 64},
            "run_time_s": 0.1,
            "deadline_s": 1,
            "payload": {"answer": "in review"},
        },
        "finished",
    ),
    _DemoRequest(
        "a job to the queue of another team",
        "crew-offices",
        {"queue": "reviews", "run_time_s": 0.1},
        "",
        "wrong_team",
    ),
)


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "demo",
        help="run a small cell in this process and show what it does",
        description="Start a simulated store and workers and three entries on "
        "loopback, apply a sheet, submit jobs of every kind for two teams, and print "
        "where and why each task was placed.",
    )
    parser.set_defaults(run=run)


def run(_options: argparse.Namespace) -> int:
    """Start the cell, run the demonstration and stop the cell."""
    logging.getLogger(ROOT_LOGGER).propagate = False
    logging.getLogger(ROOT_LOGGER).addHandler(logging.NullHandler())
    plan = StandinPlan(DATA_CENTRES, workers_per_data_centre=8)
    cell = StandinCell.from_plan(plan)
    entries = [
        _start_entry(cell, name, data_centre)
        for name, data_centre in DATA_CENTRE_BY_ENTRY_ID.items()
    ]
    try:
        return _Demo(cell, entries).run()
    finally:
        for entry in entries:
            entry.close()
        cell.close()


def _start_entry(cell: StandinCell, entry_id: str, data_centre: str) -> Entry:
    settings = Settings.model_validate(
        {
            "entry_id": entry_id,
            "data_centre": data_centre,
            "data_centres": DATA_CENTRES,
            "store": {"url": cell.store_url},
            "heartbeat_interval_s": 0.3,
        }
    )
    entry = Entry.from_settings(settings)
    cell.add_entry(entry_id, data_centre, entry.peer_address)
    entry.start()
    return entry


class _Demo:
    """Runs the demonstration and counts the outcomes."""

    def __init__(self, cell: StandinCell, entries: list[Entry]) -> None:
        self._cell = cell
        self._entries = entries
        self._key_by_team: dict[str, str] = {}
        self._accepted = 0
        self._answered = 0
        self._refused = 0
        self._unexpected = 0

    def run(self) -> int:
        """Apply the sheet, submit every request and return the exit code."""
        self._apply_sheet()
        self._wait_until_ready()
        for number, request in enumerate(_REQUESTS):
            entry = self._entries[number % len(self._entries)]
            self._submit(entry, number, request)
        print(
            f"demo: {self._accepted} accepted, {self._answered} answered, "
            f"{self._refused} refused"
        )
        return EXIT_FAILURE if self._unexpected else EXIT_SUCCESS

    def _apply_sheet(self) -> None:
        content = parse_sheet(SHEET.encode("utf-8"))
        if content.is_error():
            raise CommandError(
                "\n".join(str(sheet_error) for sheet_error in content.error)
            )
        store = StoreClient(self._cell.store_url, READY_TIMEOUT_S)
        editor = ConfigurationEditor(store)
        loaded = editor.load()
        document = apply_content(loaded.ok.document, content.ok)
        keys = {}
        for team in document.teams:
            new_key = create_key(team)
            self._key_by_team[team] = new_key.text
            keys[new_key.id] = new_key.entry
        document = document.model_copy(update={"keys": keys})
        saved = editor.save(loaded.ok, document)
        store.close()
        if saved.is_error():
            raise CommandError(saved.error.message)
        print(
            f"sheet: {len(content.ok.teams)} teams and {len(content.ok.queues)} "
            f"queues applied as revision {document.revision}"
        )

    def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if all(self._is_serving(entry) for entry in self._entries):
                return
            time.sleep(POLL_INTERVAL_S)
        raise CommandError("timed out waiting for the entries to become ready")

    @staticmethod
    def _is_serving(entry: Entry) -> bool:
        if not entry.is_ready:
            return False
        status = call_entry(f"http://{entry.http_address}", "GET", "/v1/status")
        owned = {owner["group"].partition("/")[0] for owner in status["owners"]}
        opening = [group for group in status["groups"] if group["phase"] != "active"]
        return owned == set(DATA_CENTRES) and not opening

    def _submit(self, entry: Entry, number: int, request: _DemoRequest) -> None:
        print(f"\nsubmitting {request.title} through {entry.settings.entry_id}")
        address = f"http://{entry.http_address}"
        headers = self._headers(request, f"Idempotency-Key: demo-{number}")
        if request.expected_state == "finished":
            headers += (f"Prefer: wait={JOB_TIMEOUT_S}",)
        try:
            answer = call_entry(address, "POST", "/v1/jobs", request.body, headers)
            self._accepted += 1
            state = self._wait_until_placed(address, request, answer["job"])
        except CommandError as error:
            self._refused += 1
            print(f"  refused: {error}")
            if not request.expected_code or request.expected_code not in str(error):
                self._unexpected += 1
            return
        if state != request.expected_state:
            print(f"  expected state {request.expected_state}, got {state}")
            self._unexpected += 1

    def _wait_until_placed(
        self, address: str, request: _DemoRequest, job_id: str
    ) -> str:
        deadline = time.monotonic() + JOB_TIMEOUT_S
        headers = self._headers(request)
        while True:
            status = call_entry(address, "GET", f"/v1/jobs/{job_id}", headers=headers)
            placed = all(
                task["state"] in ("running", "finished") for task in status["tasks"]
            )
            if placed or time.monotonic() >= deadline:
                break
            time.sleep(POLL_INTERVAL_S)
        if placed:
            self._answered += 1
        self._print_job(job_id, status)
        return status["state"]

    def _print_job(self, job_id: str, status: Any) -> None:
        print(f"  job {job_id}: {status['state']}, ran: {status['ran']}")
        reason_by_task = self._reason_by_task(job_id)
        for task in status["tasks"]:
            reason = reason_by_task.get(f"{job_id}/{task['index']}", "?")
            output = f", answer {task['output']}" if task["output"] else ""
            print(
                f"    task {task['index']} on {task['worker']} ({reason}): "
                f"{task['state']}{output}"
            )

    def _reason_by_task(self, job_id: str) -> dict[str, str]:
        # The decision logger is shared by all entries of this process, so the buffer
        # of any entry holds the decisions of all.
        events = self._entries[0].decisions.events_of_job(job_id)
        return {
            event[
                "task"
            ]: f"{event['reason']}, workers considered: {event['candidates']}"
            for event in events
            if event.get("event") == "task_placed"
        }

    def _headers(self, request: _DemoRequest, *more: str) -> tuple[str, ...]:
        if not request.team:
            return more
        return (f"Authorization: Bearer {self._key_by_team[request.team]}", *more)
