"""Real entries, a stand-in store and stand-in workers connected over sockets."""

from __future__ import annotations

import json
import queue
from typing import Any

from lagoonpulley.configuration.document import (
    ConfigurationDocument,
    LimitEntry,
    QueueEntry,
    TeamEntry,
)
from lagoonpulley.configuration.editor import ConfigurationEditor
from lagoonpulley.configuration.keys import create_key
from lagoonpulley.entry.entry import Entry
from lagoonpulley.runtime.curl import CurlLoop, HttpAnswer, HttpCall
from lagoonpulley.settings.schema import Settings
from lagoonpulley.standin.cell import StandinCell, StandinPlan
from lagoonpulley.store.client import StoreClient

DATA_CENTRE = "timisoara"


class Fleet:
    """Entries, store and workers of one data centre."""

    def __init__(self, entries: int) -> None:
        self.cell = StandinCell.from_plan(StandinPlan((DATA_CENTRE,), 3))
        self.keys = {team: create_key(team) for team in ("north", "south")}
        self._configure()
        self._http = CurlLoop("test-caller")
        self.entries = [self._start(number) for number in range(entries)]

    def _configure(self) -> None:
        document = ConfigurationDocument(
            revision=1,
            teams={
                "north": TeamEntry(limit=LimitEntry(processors_milli=8000)),
                "south": TeamEntry(),
            },
            queues={
                "reviews": QueueEntry(team="north"),
                "packets": QueueEntry(team="south"),
                "enquiries": QueueEntry(team="south", open=True),
            },
            keys={key.id: key.entry for key in self.keys.values()},
        )
        client = StoreClient(self.cell.store_url, 5.0)
        editor = ConfigurationEditor(client)
        assert editor.save(editor.load().ok, document).is_ok()
        client.close()

    def settings(self, number: int) -> dict[str, Any]:
        """Return the settings of an entry, by its number."""
        return {
            "entry_id": f"{DATA_CENTRE}-{number}",
            "data_centre": DATA_CENTRE,
            "data_centres": [DATA_CENTRE],
            "store": {"url": self.cell.store_url},
            "heartbeat_interval_s": 0.2,
            "session_lease_s": 1.0,
            "task_lease_s": 4.0,
            "admission": {"body_bytes": 20_000, "waiting_callers": 8},
        }

    def _start(self, number: int) -> Entry:
        entry = Entry.from_settings(Settings.model_validate(self.settings(number)))
        self.cell.add_entry(entry.settings.entry_id, DATA_CENTRE, entry.peer_address)
        entry.start()
        return entry

    def wait_for_owner(self) -> Entry:
        """Poll until an entry reports an active group, and return that entry."""
        while True:
            for entry in self.entries:
                _, status = self.call(entry, "GET", "/v1/status")
                if any(group["phase"] == "active" for group in status["groups"]):
                    return entry

    def other_entry(self, entry: Entry) -> Entry:
        """Return an entry that is not the given one."""
        return next(other for other in self.entries if other is not entry)

    def call(
        self,
        entry: Entry,
        method: str,
        path: str,
        body: Any = None,
        team: str = "",
        **headers: str,
    ) -> tuple[int, Any]:
        """Send an HTTP request and return the status and the decoded JSON body.

        :param body: bytes are sent as they are, other values as JSON.
        :param team: the team whose key is sent; no key is sent if empty.
        :param headers: further headers; an underscore in a name stands for a hyphen.
        """
        raw = body if isinstance(body, bytes) else b""
        if body is not None and not isinstance(body, bytes):
            raw = json.dumps(body).encode()
        lines = ["Content-Type: application/json"]
        if team:
            lines.append(f"Authorization: Bearer {self.keys[team].text}")
        for name, value in headers.items():
            lines.append(f"{name.replace('_', '-')}: {value}")
        url = f"http://{entry.http_address}{path}"
        answers: queue.SimpleQueue = queue.SimpleQueue()
        self._http.submit(HttpCall(method, url, raw, 60.0, tuple(lines)), answers.put)
        answer = answers.get()
        assert isinstance(answer, HttpAnswer), answer
        return answer.status, json.loads(answer.body)

    def close(self) -> None:
        """Stop the entries, the store and the workers."""
        for entry in self.entries:
            entry.close()
        self._http.close()
        self.cell.close()
