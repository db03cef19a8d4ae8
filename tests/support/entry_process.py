"""A process of an entry on a simulated platform, and callers outside of all bounds."""

from __future__ import annotations

import http.client
import json
import resource
import socket
import subprocess
import sys
import threading
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any

from .platform_standin import PlatformStandin

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

__all__ = [
    "HOST",
    "KEY",
    "MAX_DESCRIPTORS",
    "MEMORY_MB",
    "EntryProcess",
    "run_entry",
    "run_platform",
    "send_at_most",
]

# Limits of the process, low enough for a small crowd to meet them.
MEMORY_MB = 128
MAX_DESCRIPTORS = 256
# Only end a failing test: no ordinary request takes long.
START_TIMEOUT_S = 30.0
ANSWER_TIMEOUT_S = 20.0
SEND_TIMEOUT_S = 5.0
KB = 1024

HOST = "desk.example"
KEY = "secret"
CONFIG = {
    "version": 3,
    "routes": [
        {"name": "r-1", "host": HOST, "prefix": "/work/", "service": "desk"},
    ],
    "services": [{"name": "desk", "enforcesCapacity": False}],
    "tenants": [{"name": "north", "apiKeys": [KEY], "weight": 4}],
}


def _settings(platform: str) -> dict[str, Any]:
    return {
        "node": "edge-1",
        "zone": "a",
        "ip": "127.0.0.1",
        "listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"},
        "portRange": [0, 15],
        "platform": {"address": platform, "ttlMinMs": 1000},
        "bounds": {"holdMaxMs": 6000, "early_ms": 250, "status_s": 120, "graceS": 6},
        "limits": {"memoryMb": MEMORY_MB, "maxFds": MAX_DESCRIPTORS},
        "advice": platform,
    }


class EntryProcess:
    """A running process of an entry.

    :param process: reads no standard input; its standard output has the log lines.
    """

    @classmethod
    def start(cls, path: Path) -> EntryProcess:
        """Start a process and wait until it is the owner, or follows one.

        :param path: its settings file.
        """
        return cls(
            subprocess.Popen(
                [sys.executable, "-m", "lagoonpulley", "platform", str(path)],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
                text=True,
                preexec_fn=_limit_descriptors,
            )
        )

    def __init__(self, process: subprocess.Popen) -> None:
        self._process = process
        self.address_by_name: dict[str, tuple[str, int]] = {}
        self._started = threading.Event()
        self._elected = threading.Event()
        self._reader = threading.Thread(target=self._read_lines, daemon=True)
        self._reader.start()
        # In either order: the roles start before the servers.
        for event in (self._started, self._elected):
            assert event.wait(START_TIMEOUT_S), "the entry does not start"

    def _read_lines(self) -> None:
        for line in self._process.stdout:
            event = json.loads(line)
            if event.get("event") == "started":
                for name in ("callers", "ready"):
                    host, _, port = event[name].rpartition(":")
                    self.address_by_name[name] = (host, int(port))
                self._started.set()
            if event.get("event") == "jobs_loaded":
                self._elected.set()

    @property
    def is_alive(self) -> bool:
        """Whether the process runs."""
        return self._process.poll() is None

    @property
    def peak_memory_mb(self) -> float:
        """The most memory that the process has had."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        (line,) = (each for each in status.splitlines() if each.startswith("VmHWM"))
        return int(line.split()[1]) / KB

    @property
    def open_descriptors(self) -> int:
        """How many files and sockets the process has open."""
        return len(list(Path(f"/proc/{self._process.pid}/fd").iterdir()))

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def wait(self) -> int:
        """Wait for the end of the process, and return its exit code."""
        return self._process.wait(START_TIMEOUT_S)

    def kill(self) -> None:
        """End the process at once."""
        self._process.kill()
        self._process.wait()

    def connect(self, name: str) -> socket.socket:
        """Open a connection to one of its addresses, ``callers`` or ``ready``."""
        return socket.create_connection(self.address_by_name[name], SEND_TIMEOUT_S)

    def answers(self, name: str) -> bool:
        """Return whether one ordinary request at an address is answered with success.

        A caller that is refused or gets no answer asks once more, as callers do.
        """
        return self.ask_twice(name)[-1] == 200

    def ask_twice(self, name: str) -> list[int]:
        """Make an ordinary request, and another one unless it is successful.

        :returns: the status of each, 0 if there was no answer in time.
        """
        first = self._status_of_request(name)
        return [first] if first == 200 else [first, self._status_of_request(name)]

    def _status_of_request(self, name: str) -> int:
        host, port = self.address_by_name[name]
        connection = http.client.HTTPConnection(host, port, timeout=ANSWER_TIMEOUT_S)
        path = "/work/" if name == "callers" else "/api/readyz"
        with suppress(OSError, http.client.HTTPException):
            connection.request("GET", path, headers={"Host": HOST, "X-Api-Key": KEY})
            return connection.getresponse().status
        return 0


@contextmanager
def run_entry(directory: Path) -> Iterator[EntryProcess]:
    """Run a process of an entry with low limits; it is killed at the end.

    :param directory: for its settings file.
    """
    with run_platform(directory) as path:
        entry = EntryProcess.start(path)
        try:
            yield entry
        finally:
            entry.kill()


@contextmanager
def run_platform(directory: Path) -> Iterator[Path]:
    """Run a simulated platform; yields the settings file of an entry there.

    :param directory: for the settings file.
    """
    standin = PlatformStandin()
    standin.put("op/config", CONFIG)
    path = directory / "boot.json"
    path.write_text(json.dumps(_settings(standin.address)))
    try:
        yield path
    finally:
        standin.close()


def _limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))


def send_at_most(
    connect: Callable[[], socket.socket],
    head: bytes,
    piece: bytes,
    megabytes: int,
    connections: int,
) -> None:
    """Send a head and then the same piece again and again, on some connections at once.

    A connection that is closed, or takes nothing for some seconds, gets no more.
    """
    pieces = megabytes * KB * KB // len(piece)

    def send() -> None:
        with suppress(OSError), connect() as connection:
            connection.sendall(head)
            for _ in range(pieces):
                connection.sendall(piece)

    _run_all([threading.Thread(target=send) for _ in range(connections)])


def _run_all(threads: Iterable[threading.Thread]) -> None:
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
