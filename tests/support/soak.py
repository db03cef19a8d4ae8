"""Ordinary callers beside hostile ones, while a process is signalled and replaced."""

from __future__ import annotations

import http.client
import json
import random
import signal
import threading
import time
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .entry_process import (
    HOST,
    KEY,
    MAX_DESCRIPTORS,
    MEMORY_MB,
    EntryProcess,
    run_platform,
    send_at_most,
)

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["SoakReport", "soak"]

CALLERS = 4
STEPS = 5
REQUEST_TIMEOUT_S = 15.0
MAX_PAUSE_S = 0.4
STALLED = 48
STALLS = (b"", b"GET /work", b"POST /work/0123456789abcdef HTTP/1.1\r\nHost: x\r\n")
HEADS = (
    b"GET /",
    b"GET /work/ HTTP/1.1\r\nHost: x\r\nX: ",
    b"POST /work/0123456789abcdef HTTP/1.1\r\nHost: x\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\nX: ",
)


@dataclass
class SoakReport:
    """What the callers and the processes of a soak have seen.

    ``cut_off`` counts responses that ended in the middle, ``closed`` connections that
    ended without any part of one. ``statuses_at_the_end`` are those of a request at
    each address, and of a second one if the first had no success.
    """

    answered: int = 0
    closed: int = 0
    cut_off: int = 0
    exit_codes: list[int] = field(default_factory=list)
    peak_memory_mb: float = 0.0
    most_descriptors: int = 0
    statuses_at_the_end: dict[str, list[int]] = field(default_factory=dict)

    def faults(self) -> list[str]:
        """Return what must not be."""
        faults = []
        if self.cut_off:
            faults.append(f"{self.cut_off} responses were cut off")
        if any(self.exit_codes):
            faults.append(f"processes ended with {self.exit_codes}")
        if self.peak_memory_mb >= MEMORY_MB:
            faults.append(f"a process had {self.peak_memory_mb:.0f} MB")
        if self.most_descriptors >= MAX_DESCRIPTORS:
            faults.append(f"a process had {self.most_descriptors} descriptors")
        if not self.answered:
            faults.append("no ordinary caller was answered")
        if not self.statuses_at_the_end:
            faults.append("nobody asked at the end")
        for name, statuses in self.statuses_at_the_end.items():
            if statuses[-1] != 200:
                faults.append(f"an ordinary caller is not answered: {name} {statuses}")
        return faults


def soak(seed: int, directory: Path) -> SoakReport:
    """Play a random series of signals, replacements and hostile callers.

    Ordinary callers use their connections until these are closed.

    :param directory: for the settings file.
    """
    with run_platform(directory) as path:
        play = _Play(random.Random(seed), path)
        try:
            play.run()
        finally:
            play.end()
        return play.report


class _Play:
    def __init__(self, rng: random.Random, path: Path) -> None:
        self.report = SoakReport()
        self._rng = rng
        self._path = path
        self._lock = threading.Lock()
        self._over = threading.Event()
        self._entry = EntryProcess.start(path)
        self._stalled: list = []
        self._threads = [
            threading.Thread(target=self._call_until_over, args=(rng.random(),))
            for _ in range(CALLERS)
        ]

    def run(self) -> None:
        for thread in self._threads:
            thread.start()
        for _ in range(STEPS):
            step = self._rng.choice(
                [self._hang_up, self._replace, self._stall, self._flood, self._stall]
            )
            step()
            self._record_use(self._entry)
            time.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))
        for name in ("callers", "ready"):
            self.report.statuses_at_the_end[name] = self._entry.ask_twice(name)
        self._record_use(self._entry)

    def end(self) -> None:
        self._over.set()
        for thread in self._threads:
            thread.join()
        for connection in self._stalled:
            connection.close()
        self._entry.kill()

    def _hang_up(self) -> None:
        for _ in range(self._rng.randint(1, 4)):
            self._entry.signal(signal.SIGHUP)
            time.sleep(self._rng.uniform(0.0, 0.1))

    def _replace(self) -> None:
        """Stop the process while callers use it, beside its successor."""
        earlier = self._entry
        self._record_use(earlier)
        if self._rng.random() < 0.5:
            earlier.signal(signal.SIGHUP)
        earlier.signal(signal.SIGTERM)
        self._entry = EntryProcess.start(self._path)
        self.report.exit_codes.append(earlier.wait())

    def _stall(self) -> None:
        name = self._rng.choice(["callers", "ready"])
        begun = self._rng.choice(STALLS)
        for _ in range(STALLED):
            with suppress(OSError):
                connection = self._entry.connect(name)
                self._stalled.append(connection)
                connection.sendall(begun)

    def _flood(self) -> None:
        entry, name = self._entry, self._rng.choice(["callers", "ready"])
        head = self._rng.choice(HEADS)
        send_at_most(lambda: entry.connect(name), head, b"x" * 65_536, 8, 2)

    def _record_use(self, entry: EntryProcess) -> None:
        peak, descriptors = entry.peak_memory_mb, entry.open_descriptors
        self.report.peak_memory_mb = max(self.report.peak_memory_mb, peak)
        most = max(self.report.most_descriptors, descriptors)
        self.report.most_descriptors = most

    def _call_until_over(self, seed: float) -> None:
        rng = random.Random(seed)
        while not self._over.is_set():
            host, port = self._entry.address_by_name["callers"]
            connection = http.client.HTTPConnection(
                host, port, timeout=REQUEST_TIMEOUT_S
            )
            while not self._over.is_set() and self._call(connection, rng):
                time.sleep(rng.uniform(0.0, 0.02))
            connection.close()

    def _call(self, connection: http.client.HTTPConnection, rng: random.Random) -> bool:
        """Make a request; return whether the connection may be used for another one."""
        job_id = f"{rng.getrandbits(64):016x}"
        method, path = rng.choice([("GET", ""), ("GET", job_id), ("POST", job_id)])
        step = {"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 200}
        body = json.dumps({"spec": "seconds=0.1", "steps": [step]})
        headers = {"Host": HOST, "X-Api-Key": KEY, "Deadline-Ms": "3000"}
        try:
            connection.request(
                method, f"/work/{path}", body if method == "POST" else None, headers
            )
            response = connection.getresponse()
        except (OSError, http.client.HTTPException) as error:
            is_part = isinstance(error, http.client.BadStatusLine)
            is_part = is_part and not isinstance(error, http.client.RemoteDisconnected)
            self._count("cut_off" if is_part else "closed")
            return False
        try:
            response.read()
        except (OSError, http.client.HTTPException):
            self._count("cut_off")
            return False
        self._count("answered")
        return not response.will_close

    def _count(self, what: str) -> None:
        with self._lock:
            setattr(self.report, what, getattr(self.report, what) + 1)
