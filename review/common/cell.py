"""A small deployment on loopback: store, workers and entries as processes."""

import base64
import contextlib
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

COMMON = Path(__file__).resolve().parent
ROOT = COMMON.parent.parent
HOST = "127.0.0.1"
KEY = "secret-of-north"
SERVICE = "desk"
HOLD_MAX_S = 6.0
PORTS = (16000, 32000)
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class CouldNotRun(Exception):
    """The case could not be brought about."""


def trouble():
    """Return whether the case is to bring about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count):
    """Return ports that nothing listens on, below those of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            ports.append(port)
    return ports


def route(name, prefix, **fields):
    """Return a route of the configuration."""
    base = {"name": name, "host": "desk.example", "prefix": prefix}
    limits = {"maxAttempts": 3, "slackFactor": 2.0, "targetDurationMs": 1000}
    return base | {"service": SERVICE, "priority": 0} | limits | fields


def configuration(version, routes):
    """Return a configuration with one tenant that has no limit."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "enforcesCapacity": False}],
        "limits": {"maxBodyBytes": 262144},
        "tenants": [{"name": "north", "apiKeys": [KEY], "weight": 1}],
    }


class Cell:
    """Starts the processes and ends each of them by its process id."""

    def __init__(self, case):
        self.record_path = Path(case) / "record.txt"
        self.record_path.write_text("")
        self.folder = tempfile.TemporaryDirectory()
        self.processes = []
        self.advisor = ""
        (port,) = free_ports(1)
        self.store = f"{HOST}:{port}"
        self.start([sys.executable, str(COMMON / "store.py"), str(port)])

    def close(self):
        """Kill what still runs."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.folder.cleanup()

    def start(self, command, **options):
        process = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, **options
        )
        self.processes.append(process)
        return process

    def record(self, event, **fields):
        """Append a line to the record of the case, and return it."""
        line = {"at": round(time.time(), 3), "event": event} | fields
        with open(self.record_path, "a") as file:
            file.write(json.dumps(line) + "\n")
        return line

    def all_lines(self):
        """Return all lines of the record."""
        return list(map(json.loads, self.record_path.read_text().splitlines()))

    def lines(self, event):
        """Return the lines of the record of one event."""
        return [line for line in self.all_lines() if line["event"] == event]

    def wait(self, condition, limit_s, what, every_s=0.02):
        """Wait until a condition holds, and return what it returned."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            found = condition()
            if found:
                return found
            time.sleep(every_s)
        raise CouldNotRun(f"not within {limit_s} s: {what}")

    def answers(self, address):
        with contextlib.suppress(OSError):
            socket.create_connection(split(address), 0.5).close()
            return True
        return False

    def put(self, key, value):
        """Write to the store as the operator does."""
        body = {"key": key, "value": value}
        status, _ = http_call(self.store, "POST", "/standin/put", {}, body)
        self.record("operator", key=key, value=value, status=status)

    def read_item(self, key):
        """Return an item of the store as text, for the steps of a case only."""
        return http_call(self.store, "GET", f"/api/kv-key?key={key}", {})

    def start_worker(
        self,
        worker_id,
        port=None,
        labels=("a", "r1-1"),
        cpu=16000,
        gpu=0,
        make_path=None,
    ):
        """Start a worker; the same id and port begin a new lifetime of it.

        With ``make_path``, others reach it by the path that this makes of its address.
        """
        port = port or free_ports(1)[0]
        path = make_path(f"{HOST}:{port}") if make_path else None
        options = {
            "worker_id": worker_id,
            "port": port,
            "told_port": path.port if path else port,
            "store": self.store,
            "record": str(self.record_path),
            "service": SERVICE,
            "labels": list(labels),
            "capacity": {"cpu": cpu, "memMb": 65536, "gpu": gpu},
            "max_s": HOLD_MAX_S,
        }
        command = [sys.executable, str(COMMON / "worker.py"), json.dumps(options)]
        process = self.start(command)
        process.address = f"{HOST}:{port}"
        process.port = port
        process.path = path
        self.wait(lambda: self.answers(process.address), 10, f"{worker_id} answers")
        return process

    def start_advisor(self, advice, good):
        """Start the advisor, which allows the named workers."""
        (port,) = free_ports(1)
        options = json.dumps(advice | {"good": good})
        self.start([sys.executable, str(COMMON / "advisor.py"), str(port), options])
        self.advisor = f"{HOST}:{port}"
        self.wait(lambda: self.answers(self.advisor), 10, "the advisor answers")

    def make_grey(self, worker, for_s):
        """Let a worker fail all that it starts, for a while."""
        http_call(worker.address, "POST", "/standin/grey", {}, {"for_s": for_s})
        self.record("grey", worker=worker.address, for_s=for_s)

    def crash_at_start(self, worker, job):
        """Let a worker crash when an order to start a job arrives."""
        http_call(worker.address, "POST", "/standin/crash", {}, {"job": job})

    def settings_of(self, name):
        """Return the settings of one entry, as the platform tells them."""
        front, ready, control, peers = free_ports(4)
        return {
            "node": name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": HOST,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {
                "front": f"{HOST}:{front}",
                "ready": f"{HOST}:{ready}",
                "control": f"{HOST}:{control}",
            },
            "portRange": [peers, peers],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
            },
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 500,
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {
                "contactMs": 3000,
                "ackMs": 4000,
                "drainMs": 2000,
                "graceS": 6,
                "configMs": 2000,
                "maxSkewMs": 5000,
                "holdMaxMs": int(HOLD_MAX_S * 1000),
                "stopMs": 200,
                "gangMs": 3000,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "early_ms": 250,
                "finish_s": 14,
                "status_s": 120,
            },
            "controlMode": "request",
            "advice": self.advisor,
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

    def start_entry(self, name):
        """Start an entry with the command and the template of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        settings = self.settings_of(name)
        template = (ROOT / role["template"]).read_text()
        text = template.replace("{{.|json}}", json.dumps(settings))
        if "{{" in text:
            raise CouldNotRun("the template has other placeholders")
        path = Path(self.folder.name) / f"{name}.yaml"
        path.write_text(text)
        python, *words = role["run"].split()
        if python != "python3":
            raise CouldNotRun("the deploy file names another program")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": self.folder.name,
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "LAGOONPULLEY_SETTINGS": str(path),
        }
        log_path = Path(self.folder.name) / f"{name}.log"
        with open(log_path, "w") as log:
            process = subprocess.Popen(
                [sys.executable, *words],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.processes.append(process)
        process.name = name
        process.front = settings["listen"]["front"]
        process.ready = settings["listen"]["ready"]
        process.log_path = log_path
        self.record("entry_started", name=name)
        return process

    def wait_ready(self, *entries):
        names = ", ".join(entry.name for entry in entries)
        self.wait(lambda: all(map(self.is_ready, entries)), 20, f"{names} are ready")

    def is_ready(self, entry):
        with contextlib.suppress(OSError):
            return http_call(entry.ready, "GET", "/api/readyz", {})[0] == 200
        return False

    def owner_name(self):
        """Return the entry that has the owner record, for the steps of a case only."""
        status, body = self.read_item("lagoonpulley/owner")
        if status != 200:
            return ""
        found = re.search(r'"name":"([^"]+)"', base64.b64decode(body["value"]).decode())
        return found.group(1) if found else ""

    def send_signal(self, process, name):
        """Send a signal to a process of this case."""
        process.send_signal(getattr(signal, f"SIG{name}"))
        who = getattr(process, "name", None) or getattr(process, "address", "")
        self.record("signal", signal=name, to=who)

    def call(self, entry, method, path, body=None, timeout_s=3.0):
        """Send a client's request; return status and body, status 0 without one."""
        headers = {
            "Host": "desk.example",
            "X-Api-Key": KEY,
            "Deadline-Ms": str(int(timeout_s * 1000)),
        }
        try:
            answer = http_call(entry.front, method, path, headers, body, timeout_s)
        except OSError as error:
            answer = (0, type(error).__name__)
        sent = {"method": method, "path": path, "to": entry.name}
        self.record("client", **sent, body=body, status=answer[0], answer=answer[1])
        return answer

    def submit(self, entry, path, body, limit_s=15):
        """Hand a job in until it is accepted, as a client with retries does."""
        self.wait(
            lambda: self.call(entry, "POST", path, body)[0] == 200,
            limit_s,
            f"{path} is accepted",
            every_s=0.1,
        )


def split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


def http_call(address, method, path, headers, body=None, timeout_s=3.0):
    """Return the status and the decoded body of an answer."""
    connection = http.client.HTTPConnection(*split(address), timeout=timeout_s)
    try:
        data = json.dumps(body) if body is not None else None
        if data:
            headers = headers | {"Content-Type": "application/json"}
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        text = response.read().decode()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()
    return response.status, json.loads(text) if text.startswith("{") else text


def run(case_file, scenario):
    """Run a scenario; exit with 1 if the rule was broken, 2 if it could not run."""

    def stop(_number, _frame):
        raise CouldNotRun("stopped from outside")

    signal.signal(signal.SIGTERM, stop)
    cell = None
    try:
        cell = Cell(Path(case_file).resolve().parent)
        cell.wait(lambda: cell.answers(cell.store), 10, "the store answers")
        broken = scenario(cell)
        cell.record("verdict", broken=broken)
        print(broken or "the rule held")
        code = BROKEN if broken else HELD
    except CouldNotRun as error:
        print(f"could not run: {error}")
        code = COULD_NOT_RUN
    except Exception:
        # Only a broken rule may end with 1.
        traceback.print_exc()
        code = COULD_NOT_RUN
    finally:
        if cell is not None:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                shutil.copytree(cell.folder.name, keep, dirs_exist_ok=True)
            cell.close()
    sys.exit(code)
