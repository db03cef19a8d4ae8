"""Measures what one entry costs: start, idle processor time, memory and store calls.

``python -m benchmarks.footprint --idle 10``

One entry runs as a process of its own against the stand-in of the platform. It becomes
the owner unless ``--follower`` lets another name hold the owner record.
"""

from __future__ import annotations

import argparse
import os
import re
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path
from typing import TYPE_CHECKING

from tests.platform.conftest import SETTINGS
from tests.platform.test_entry import CONFIG
from tests.support.platform_standin import PlatformStandin

from lagoonpulley.owner.entries import EntryDocument
from lagoonpulley.owner.session import OWNER_KEY

if TYPE_CHECKING:
    from collections.abc import Sequence

READY_PORT = 18_190
WORKERS = 2
START_LIMIT_S = 30.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CALLS = re.compile(r"lagoonpulley_calls_total\{(.*?)\} (\S+)")


def main(arguments: Sequence[str] | None = None) -> None:
    """Print the figures of one entry.

    :param arguments: command line without the program's name.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--idle", type=float, default=10.0, help="seconds to measure")
    parser.add_argument("--follower", action="store_true", help="not the owner")
    parser.add_argument("--port", type=int, default=READY_PORT, help="for readiness")
    options = parser.parse_args(arguments)
    standin = PlatformStandin(WORKERS)
    standin.put("op/config", CONFIG)
    if options.follower:
        other = EntryDocument(
            name="other",
            life="1",
            peer_address="127.0.0.1:1",
            data_centre="a",
            writes_status=False,
        )
        standin.put(OWNER_KEY, other.model_dump(mode="json"))
    try:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "boot.yaml"
            path.write_text(_settings(standin, options.port))
            _measure(path, options.port, options.idle)
    finally:
        standin.close()


def _settings(standin: PlatformStandin, port: int) -> str:
    text = SETTINGS.replace('ready: "127.0.0.1:0"', f'ready: "127.0.0.1:{port}"')
    text = re.sub(r'address: "127.0.0.1:1"', f'address: "{standin.address}"', text)
    return re.sub(r'advice: "127.0.0.1:2"', f'advice: "{standin.address}"', text)


def _measure(settings: Path, port: int, idle_s: float) -> None:
    command = [sys.executable, "-m", "lagoonpulley", "platform", str(settings)]
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL)
    try:
        url = f"http://127.0.0.1:{port}"
        _wait_until_ready(url)
        print(f"start: {_processor_s(process.pid):.2f} s of processor time")
        before_s, calls_before = _processor_s(process.pid), _calls(url)
        switches_before = _switches(process.pid)
        time.sleep(idle_s)
        used_s = _processor_s(process.pid) - before_s
        switches = _switches(process.pid) - switches_before
        print(f"idle: {used_s / idle_s:.4f} of a core")
        print(f"idle: {switches / idle_s:.0f} context switches a second")
        for kind, count in sorted(_calls(url).items()):
            print(f"idle: {(count - calls_before.get(kind, 0)) / idle_s:.2f} {kind}")
        print(f"memory: {_resident_mb(process.pid):.1f} MB")
    finally:
        process.terminate()
        process.wait()


def _wait_until_ready(url: str) -> None:
    until = time.monotonic() + START_LIMIT_S
    while time.monotonic() < until:
        try:
            with urllib.request.urlopen(f"{url}/api/readyz", timeout=1) as response:
                if response.status == 200:
                    return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError("the entry is not ready")


def _processor_s(process_id: int) -> float:
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _switches(process_id: int) -> int:
    total = 0
    for task in Path(f"/proc/{process_id}/task").iterdir():
        found = re.findall(r"ctxt_switches:\s+(\d+)", (task / "status").read_text())
        total += sum(map(int, found))
    return total


def _resident_mb(process_id: int) -> float:
    text = Path(f"/proc/{process_id}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", text).group(1)) / 1024


def _calls(url: str) -> dict[str, float]:
    with urllib.request.urlopen(f"{url}/metrics", timeout=5) as response:
        text = response.read().decode()
    return {labels: float(count) for labels, count in CALLS.findall(text)}


if __name__ == "__main__":
    main()
