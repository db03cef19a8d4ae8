"""A small deployment on loopback: store, workers and entries as separate processes.

Entries run by the command and the template of the deploy file. All times in the record
are seconds since the deployment began.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

ROOT = Path(__file__).resolve().parents[2]
STANDINS = Path(__file__).resolve().parent
HOST = "127.0.0.1"
DOMAIN = "queue.example"
KEY = "key-of-north"
ZONES = ("a", "b", "c")
HEARTBEAT_MS = 1500
START_WAIT_S = 30.0
RESTART_DELAY_S = 0.5
MEMORY_MB = 300
# Of the rule LOST: for how long a job has nothing running, and the calm before it.
IDLE_S = 3.0
CALM_BEFORE_S = 4.0
HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "failClosed": False,
    "revokeMs": 5000,
    "quotaWindowS": 5,
    "quotaBurst": 0.1,
    "quotaSlack": 20,
    "recoverS": 12,
    "holdMaxMs": 10000,
    "stopMs": 200,
    "gangMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "farX": 2,
    "saveS": 0.5,
    "restoreMs": 250,
    "noticeMs": 4500,
    "moveS": 1.5,
    "maintenanceS": 2,
    "checksFence": False,
    "leaseMs": 3000,
    "thawMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}


class CannotRun(Exception):
    """The case could not be played."""


def has_trouble() -> bool:
    """Return whether the case is to be played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def queue(name: str, service: str = "desk", **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": DOMAIN,
        "prefix": f"/{name}/",
        "service": service,
        "priority": 1,
        "maxAttempts": 4,
        "slackFactor": 2.0,
        "targetDurationMs": 1000,
        "timeoutMs": 3000,
    } | fields


@dataclass(slots=True)
class WorkerProcess:
    """One worker: its settings and its process."""

    settings: dict[str, Any]
    process: subprocess.Popen | None = None
    lives: int = 0


@dataclass(slots=True)
class EntryProcess:
    """One entry: its addresses, settings file and process."""

    name: str
    front: str
    ready: str
    settings_path: Path
    process: subprocess.Popen | None = None
    restart_at: float = 0.0
    own_ends: int = 0
    peak_mb: float = 0.0


@dataclass(slots=True)
class Deployment:
    """All processes of one play; ``close`` ends them."""

    folder: Path
    workers: dict[str, WorkerProcess] = field(default_factory=dict)
    entries: list[EntryProcess] = field(default_factory=list)
    lines: list[tuple[float, str]] = field(default_factory=list)
    began: float = 0.0
    store: str = ""
    temporary: str = ""
    version: int = 0
    others: list[subprocess.Popen] = field(default_factory=list)

    @classmethod
    def begin(cls, folder: Path, entries: int = 3) -> Deployment:
        """Start the store and prepare the entries."""
        made = cls(folder, began=time.time())
        made.temporary = tempfile.mkdtemp(prefix="review-")
        port = free_ports(1)[0]
        made.store = f"{HOST}:{port}"
        made._run_standin("store.py", HOST, str(port))
        for index in range(entries):
            made._add_entry(index)
        made._wait_for(lambda: made._is_open(made.store), "the store")
        return made

    def _run_standin(self, name: str, *arguments: str) -> subprocess.Popen:
        with (Path(self.temporary) / f"{name}.err").open("a") as errors:
            process = subprocess.Popen(
                [sys.executable, str(STANDINS / name), *arguments],
                stdout=subprocess.DEVNULL,
                stderr=errors,
            )
        self.others.append(process)
        return process

    # Entries.

    def _add_entry(self, index: int) -> None:
        ports = free_ports(4)
        zone = ZONES[index % len(ZONES)]
        name = f"edge-{zone}-{index + 1}"
        fields = {
            "node": name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": HOST,
            "zone": zone,
            "region": "r",
            "zones": dict.fromkeys(ZONES, "r"),
            "listen": {
                "front": f"{HOST}:{ports[0]}",
                "ready": f"{HOST}:{ports[1]}",
                "control": f"{HOST}:{ports[2]}",
            },
            "portRange": [ports[3], ports[3]],
            "seeds": [],
            "bootstrap": True,
            "lossCounts": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": MEMORY_MB,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "sched", "tenants", "platform"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "controlMode": "request",
            "advice": "",
            "platform": {
                "address": self.store,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }
        template = (ROOT / _deploy_role()["template"]).read_text()
        path = Path(self.temporary) / f"{name}.settings"
        path.write_text(template.replace("{{.|json}}", json.dumps(fields)))
        listen = fields["listen"]
        self.entries.append(EntryProcess(name, listen["front"], listen["ready"], path))

    def start_entries(self) -> None:
        """Start every entry that does not run, and wait until all are ready."""
        for entry in self.entries:
            if entry.process is None:
                self._start_entry(entry)
        for entry in self.entries:
            self._wait_for(lambda entry=entry: self._is_ready(entry), entry.name)

    def _start_entry(self, entry: EntryProcess) -> None:
        words = _deploy_role()["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["LANG"] = "C.UTF-8"
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["LAGOONPULLEY_SETTINGS"] = str(entry.settings_path)
        with (Path(self.temporary) / f"{entry.name}.log").open("a") as log:
            entry.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.note(f"{entry.name} is started")

    def kill_entries(self, entries: list[EntryProcess], down_s: float) -> None:
        """Kill entries at once; the platform starts them again after a while."""
        for entry in entries:
            entry.process.kill()
        self.note("SIGKILL of " + ", ".join(entry.name for entry in entries))
        for entry in entries:
            entry.process.wait()
            entry.process = None
        time.sleep(down_s)
        self.start_entries()

    def kill_over_memory(self) -> None:
        """Do as the platform: kill what exceeds ``memoryMb``, and start it again."""
        for entry in self.entries:
            if entry.process is None:
                if time.monotonic() >= entry.restart_at:
                    self._start_entry(entry)
                continue
            if entry.process.poll() is not None:
                self.note(f"{entry.name} has ended: {entry.process.returncode}")
            else:
                used_mb = _resident_mb(entry.process.pid)
                entry.peak_mb = max(entry.peak_mb, used_mb)
                if used_mb <= MEMORY_MB:
                    continue
                entry.process.kill()
                self.note(f"{entry.name} uses {used_mb:.0f} MB of {MEMORY_MB}: killed")
            entry.process.wait()
            entry.process = None
            entry.own_ends += 1
            entry.restart_at = time.monotonic() + RESTART_DELAY_S

    def running_entries(self) -> list[int]:
        """Return the indexes of the entries that are up."""
        return [
            index
            for index, entry in enumerate(self.entries)
            if entry.process is not None and entry.process.poll() is None
        ]

    def owner(self) -> EntryProcess | None:
        """Return the entry that acts, as its record in the store tells."""
        query = urlencode({"key": "lagoonpulley/owner"})
        item = self._get_from_store(f"/api/kv-key?{query}")
        if "value" not in item:
            return None
        name = json.loads(base64.b64decode(item["value"]))["name"]
        return next(entry for entry in self.entries if entry.name == name)

    def _get_from_store(self, path: str) -> dict[str, Any]:
        host, _, port = self.store.rpartition(":")
        channel = http.client.HTTPConnection(host, int(port), timeout=5.0)
        channel.request("GET", path)
        body = json.loads(channel.getresponse().read())
        channel.close()
        return body

    # Workers.

    def add_worker(
        self,
        name: str,
        cpu: int = 32000,
        service: str = "desk",
        labels: tuple[str, ...] = ("k1", "r1"),
        zone: str = "a",
    ) -> None:
        """Start a worker."""
        settings = {
            "name": name,
            "host": HOST,
            "port": free_ports(1)[0],
            "store": self.store,
            "service": service,
            "zone": zone,
            "labels": list(labels),
            "capacity": {"cpu": cpu, "memMb": 65536, "gpu": 0},
            "holdMaxMs": BOUNDS["holdMaxMs"],
            "stopMs": BOUNDS["stopMs"],
            "heartbeatMs": HEARTBEAT_MS,
            "log": str(Path(self.temporary) / "workers.log"),
            "faultFile": str(Path(self.temporary) / f"{name}.fault"),
        }
        self.workers[name] = WorkerProcess(settings)
        self.start_worker(name)

    def start_worker(self, name: str) -> None:
        """Start the next life of a worker, under an id of its own."""
        worker = self.workers[name]
        worker.lives += 1
        settings = worker.settings | {"id": f"i-{name}-{worker.lives}"}
        path = Path(self.temporary) / f"{settings['id']}.json"
        path.write_text(json.dumps(settings))
        worker.process = self._run_standin("worker.py", str(path))

    def kill_worker(self, name: str) -> None:
        """Crash a worker."""
        process = self.workers[name].process
        process.kill()
        process.wait()
        self.note(f"worker {name} crashes (SIGKILL)")

    def set_faulty(self, name: str, is_faulty: bool) -> None:
        """Let a worker fail all that it starts from now on, or end that."""
        path = Path(self.workers[name].settings["faultFile"])
        if is_faulty:
            path.touch()
        else:
            path.unlink()
        what = "fails all that it starts" if is_faulty else "is sound again"
        self.note(f"worker {name} {what}")

    def freeze_worker(self, name: str) -> None:
        """Let a worker fall silent."""
        self.workers[name].process.send_signal(signal.SIGSTOP)
        self.note(f"worker {name} falls silent (SIGSTOP)")

    def worker_events(self) -> list[dict[str, Any]]:
        """Return what the workers have seen so far."""
        path = Path(self.temporary) / "workers.log"
        if not path.exists():
            return []
        found = [json.loads(line) for line in path.read_text().splitlines()]
        for event in found:
            event["at"] -= self.began
        return found

    def runs_of(self, job: str) -> dict[tuple[str, int], dict[str, Any]]:
        """Return the runs of a job as its workers saw them, by task and run.

        Each has ``worker``, ``began`` and, once it has ended, ``ended`` and ``how``;
        ``listed`` is when its worker has first told of the end.
        """
        runs: dict[tuple[str, int], dict[str, Any]] = {}
        for event in self.worker_events():
            if not event.get("task", "").startswith(job):
                continue
            key = (event["task"], event["run"])
            if event["event"] == "start":
                runs[key] = {"worker": event["worker"], "began": event["at"]}
            elif event["event"] == "end" and key in runs:
                runs[key] |= {"ended": event["at"], "how": event["how"]}
            elif event["event"] == "listed" and key in runs:
                runs[key]["listed"] = event["at"]
        return runs

    def idle_span(
        self, job: str, turn_at: float, calm_from: float, until: float
    ) -> tuple[float, float] | None:
        """Return the first span in which the rule LOST says that a job is lost.

        For 3 s it has nothing running, while these and the 4 s before them are calm.

        :param turn_at: since when a task's turn has come.
        :param calm_from: end of the last disruption.
        :param until: how far to look.
        """
        idle_from = max(turn_at, calm_from + CALM_BEFORE_S)
        spans = sorted(
            (run["began"], run.get("ended", until))
            for run in self.runs_of(job).values()
        )
        for began, ended in [*spans, (until, until)]:
            if began - idle_from >= IDLE_S:
                return idle_from, began
            idle_from = max(idle_from, ended)
        return None

    # Operator and clients.

    def configure(self, queues: list[dict[str, Any]], **fields: Any) -> None:
        """Write the next configuration; the store's answer is the ack."""
        self.version += 3
        services = sorted({each["service"] for each in queues})
        config = {
            "version": self.version,
            "routes": queues,
            "services": [{"name": s, "enforcesCapacity": False} for s in services],
            "limits": {"maxBodyBytes": 262144},
            "tenants": [{"name": "north", "apiKeys": [KEY], "weight": 4}],
        } | fields
        names = ", ".join(each["name"] for each in queues)
        body = {"key": "op/config", "value": json.dumps(config)}
        self._post(self.store, "/standin/put", body)
        self.note(f"configuration {self.version} is acknowledged: queues {names}")

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        entry: int = 0,
        timeout_s: float = 4.0,
    ) -> tuple[int, Any]:
        """Send a client's request; status 0 means no answer."""
        host, _, port = self.entries[entry].front.rpartition(":")
        headers = {"Host": DOMAIN, "X-Api-Key": KEY, "Deadline-Ms": "3000"}
        headers["Content-Type"] = "application/json"
        data = json.dumps(body) if body is not None else None
        channel = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
        try:
            channel.request(method, path, data, headers)
            response = channel.getresponse()
            text = response.read()
            status = response.status
        except OSError as error:
            self.note(f"{method} {path} -> no answer ({type(error).__name__})")
            return 0, None
        finally:
            channel.close()
        answer = None
        if status == 200 and text:
            answer = json.loads(text)
        shown = text.decode(errors="replace")[:80]
        self.note(f"{method} {path} at {self.entries[entry].name} -> {status} {shown}")
        return status, answer

    def submit(self, queue_name: str, job: str, body: dict[str, Any]) -> None:
        """Hand a job in, with retries like a client's."""
        shown = json.dumps(body)
        self.note(f"job {job}: {shown[:300]}")
        for attempt in range(5):
            entry = attempt % len(self.entries)
            status, _ = self.call("POST", f"/{queue_name}/{job}", body, entry)
            if status == 200:
                return
            time.sleep(1.0)
        raise CannotRun(f"job {job} was not accepted")

    def state_of(self, queue_name: str, job: str, entry: int = 0) -> str:
        """Return the state in which a job is shown; empty without one."""
        status, answer = self.call("GET", f"/{queue_name}/{job}", entry=entry)
        return answer["state"] if status == 200 and answer else ""

    def _post(self, address: str, path: str, body: Any) -> None:
        host, _, port = address.rpartition(":")
        channel = http.client.HTTPConnection(host, int(port), timeout=5.0)
        channel.request("POST", path, json.dumps(body))
        response = channel.getresponse()
        response.read()
        channel.close()
        if response.status != 200:
            raise CannotRun(f"{path} answered {response.status}")

    # Time, record and end.

    def elapsed(self) -> float:
        """Return the seconds since the deployment began."""
        return time.time() - self.began

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append((self.elapsed(), text))

    def wait_until(
        self, is_met: Callable[[], bool], limit_s: float, interval_s: float = 0.1
    ) -> bool:
        """Wait for a condition; return whether it was met in time."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if is_met():
                return True
            time.sleep(interval_s)
        return is_met()

    def _wait_for(self, is_met: Callable[[], bool], what: str) -> None:
        if not self.wait_until(is_met, START_WAIT_S, 0.05):
            raise CannotRun(f"{what} did not start")

    def _is_open(self, address: str) -> bool:
        host, _, port = address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), 1.0).close()
        except OSError:
            return False
        return True

    def _is_ready(self, entry: EntryProcess) -> bool:
        if entry.process is not None and entry.process.poll() is not None:
            raise CannotRun(f"{entry.name} ended with {entry.process.returncode}")
        host, _, port = entry.ready.rpartition(":")
        channel = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            channel.request("GET", "/api/readyz")
            return channel.getresponse().status == 200
        except OSError:
            return False
        finally:
            channel.close()

    def write_record(self, verdict: str) -> None:
        """Write what was sent, answered and run, in order of time."""
        lines = list(self.lines)
        for event in self.worker_events():
            rest = {
                name: value
                for name, value in event.items()
                if name not in ("at", "worker", "event")
            }
            shown = " ".join(f"{name}={value}" for name, value in rest.items())
            lines.append((event["at"], f"{event['worker']}: {event['event']} {shown}"))
        lines.sort(key=lambda line: line[0])
        text = "".join(f"{at:8.3f} {line}\n" for at, line in lines)
        (self.folder / "record.txt").write_text(text + verdict + "\n")

    def close(self) -> None:
        """End every process that was started."""
        processes = [entry.process for entry in self.entries if entry.process]
        processes += self.others
        for process in processes:
            if process.poll() is None:
                process.kill()
        for process in processes:
            process.wait()


def _resident_mb(pid: int) -> float:
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def _deploy_role() -> dict[str, Any]:
    file = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return file["roles"]["entry"]


def play(folder: Path, case: Callable[[Deployment], str], entries: int = 3) -> int:
    """Play a case, write its record and return the exit code.

    :param case: returns how the rule was broken, empty if it held.
    """
    deployment = None
    try:
        deployment = Deployment.begin(folder, entries)
        broken = case(deployment)
        verdict = f"BROKEN: {broken}" if broken else "the rule held"
        code = BROKEN if broken else HELD
    except (CannotRun, OSError, subprocess.SubprocessError) as error:
        verdict, code = f"could not run: {error}", NOT_RUN
    finally:
        if deployment is not None:
            deployment.close()
    if deployment is not None:
        deployment.write_record(verdict)
        if os.environ.get("KEEP_LOGS"):
            print("logs are kept in", deployment.temporary)
        else:
            _remove(Path(deployment.temporary))
    print(verdict)
    return code


def _remove(folder: Path) -> None:
    for path in folder.iterdir():
        path.unlink()
    folder.rmdir()
