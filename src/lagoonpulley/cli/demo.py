"""``lagoonpulley demo``: a small cell in one process, from sheet to answers."""

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
from .errors import EXIT_DONE, EXIT_REFUSED, CommandError

if TYPE_CHECKING:
    import argparse

__all__ = ["register"]

DATA_CENTRES = ("timisoara", "arad")
ENTRY_IDS = {"timisoara-1": "timisoara", "timisoara-2": "timisoara", "arad-1": "arad"}
READY_TIMEOUT_S = 15.0
POLL_S = 0.1
WAIT_S = 10

SHEET = """\ufeffEchipă;Coadă;Cotă;Limită procesoare;Deschisă
flight-schools;reviews;2,5;64;nu
flight-schools;status;2,5;64;da
crew-offices;checks;1;32;nu
"""


@dataclass(frozen=True, slots=True)
class _DemoRequest:
    """One request of the demonstration and what should come of it."""

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
        "batch work of three tasks",
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
        "an all-at-once job of four tasks",
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
        "a status enquiry without a key",
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
        "work for another team's queue",
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
        description="Start stand-ins and entries on loopback, apply a sheet, submit "
        "jobs of every kind for two teams, and print what ran where and why.",
    )
    parser.set_defaults(run=run)


def run(_options: argparse.Namespace) -> int:
    """Run the demonstration."""
    logging.getLogger(ROOT_LOGGER).propagate = False
    logging.getLogger(ROOT_LOGGER).addHandler(logging.NullHandler())
    plan = StandinPlan(DATA_CENTRES, workers_per_data_centre=8)
    cell = StandinCell.from_plan(plan)
    entries = [_start_entry(cell, name, where) for name, where in ENTRY_IDS.items()]
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
    """The course of the demonstration and its counts."""

    def __init__(self, cell: StandinCell, entries: list[Entry]) -> None:
        self._cell = cell
        self._entries = entries
        self._key_by_team: dict[str, str] = {}
        self._accepted = 0
        self._answered = 0
        self._refused = 0
        self._unexpected = 0

    def run(self) -> int:
        """Apply the sheet, submit, print, and return the exit code."""
        self._apply_sheet()
        self._wait_until_ready()
        for number, request in enumerate(_REQUESTS):
            entry = self._entries[number % len(self._entries)]
            self._submit(entry, number, request)
        print(
            f"demo: {self._accepted} accepted, {self._answered} answered, "
            f"{self._refused} refused"
        )
        return EXIT_REFUSED if self._unexpected else EXIT_DONE

    def _apply_sheet(self) -> None:
        content = parse_sheet(SHEET.encode("utf-8"))
        if content.is_error():
            raise CommandError("\n".join(str(fault) for fault in content.error))
        store = StoreClient(self._cell.store_url, READY_TIMEOUT_S)
        editor = ConfigurationEditor(store)
        loaded = editor.load()
        document = apply_content(loaded.ok.document, content.ok)
        keys = {}
        for team in document.teams:
            new = create_key(team)
            self._key_by_team[team] = new.text
            keys[new.id] = new.entry
        document = document.model_copy(update={"keys": keys})
        saved = editor.save(loaded.ok, document)
        store.close()
        if saved.is_error():
            raise CommandError(saved.error.message)
        print(
            f"sheet: {len(content.ok.teams)} teams and {len(content.ok.queues)} "
            f"queues in force as revision {document.revision}"
        )

    def _wait_until_ready(self) -> None:
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            if all(self._serves(entry) for entry in self._entries):
                return
            time.sleep(POLL_S)
        raise CommandError("the entries did not become ready")

    @staticmethod
    def _serves(entry: Entry) -> bool:
        if not entry.is_ready:
            return False
        status = call_entry(f"http://{entry.http_address}", "GET", "/v1/status")
        owned = {owner["group"].partition("/")[0] for owner in status["owners"]}
        opening = [group for group in status["groups"] if group["phase"] != "active"]
        return owned == set(DATA_CENTRES) and not opening

    def _submit(self, entry: Entry, number: int, request: _DemoRequest) -> None:
        print(f"\n{request.title} through {entry.settings.entry_id}")
        address = f"http://{entry.http_address}"
        headers = self._headers(request, f"Idempotency-Key: demo-{number}")
        if request.expected_state == "finished":
            headers += (f"Prefer: wait={WAIT_S}",)
        try:
            answer = call_entry(address, "POST", "/v1/jobs", request.body, headers)
            self._accepted += 1
            state = self._follow(address, request, answer["job"])
        except CommandError as error:
            self._refused += 1
            print(f"  refused: {error}")
            if not request.expected_code or request.expected_code not in str(error):
                self._unexpected += 1
            return
        if state != request.expected_state:
            print(f"  expected {request.expected_state}, saw {state}")
            self._unexpected += 1

    def _follow(self, address: str, request: _DemoRequest, job_id: str) -> str:
        until = time.monotonic() + WAIT_S
        headers = self._headers(request)
        while True:
            status = call_entry(address, "GET", f"/v1/jobs/{job_id}", headers=headers)
            placed = all(
                task["state"] in ("running", "finished") for task in status["tasks"]
            )
            if placed or time.monotonic() >= until:
                break
            time.sleep(POLL_S)
        if placed:
            self._answered += 1
        self._print(job_id, status)
        return status["state"]

    def _print(self, job_id: str, status: Any) -> None:
        print(f"  job {job_id}: {status['state']}, ran: {status['ran']}")
        reasons = self._reasons(job_id)
        for task in status["tasks"]:
            reason = reasons.get(f"{job_id}/{task['index']}", "?")
            output = f", answer {task['output']}" if task["output"] else ""
            print(
                f"    task {task['index']} on {task['worker']} ({reason}): "
                f"{task['state']}{output}"
            )

    def _reasons(self, job_id: str) -> dict[str, str]:
        events = self._entries[0].decisions.events_of_job(job_id)
        return {
            event["task"]: f"{event['reason']}, {event['candidates']} workers seen"
            for event in events
            if event.get("event") == "task_placed"
        }

    def _headers(self, request: _DemoRequest, *more: str) -> tuple[str, ...]:
        if not request.team:
            return more
        return (f"Authorization: Bearer {self._key_by_team[request.team]}", *more)
