"""Checks that the single-file executable serves without children and stops cleanly.

``python -m benchmarks.dist_check dist/lagoonpulley``
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

STOP_TIMEOUT_S = 60


def child_pids(parent_pid: int) -> list[int]:
    """Return the process IDs of the children of a process."""
    children = []
    for path in Path("/proc").iterdir():
        if not path.name.isdigit():
            continue
        try:
            # The command name before ")" may contain spaces.
            fields = (path / "stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == parent_pid:
            children.append(int(path.name))
    return children


def resident_mb(process: int) -> float:
    """Return the resident set size of a process in MB."""
    status = Path(f"/proc/{process}/status").read_text()
    line = next(item for item in status.splitlines() if item.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def main() -> int:
    """Serve with the executable, count its child processes and stop it.

    Returns 0 if it printed its address, had no children and exited with code 0.
    """
    with tempfile.TemporaryDirectory() as directory:
        settings = Path(directory) / "settings.json"
        settings.write_text(
            json.dumps(
                {
                    "entry_id": "dist-1",
                    "data_centre": "dist",
                    "data_centres": ["dist"],
                    # Nothing listens there: serving needs no reachable store.
                    "store": {"url": "http://127.0.0.1:9"},
                }
            )
        )
        environment = {**os.environ, "PEX_ROOT": str(Path(directory) / "root")}
        process = subprocess.Popen(
            [sys.argv[1], "serve", str(settings)],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        first_line = process.stdout.readline()
        children = child_pids(process.pid)
        resident = resident_mb(process.pid)
        process.send_signal(signal.SIGTERM)
        exit_code = process.wait(timeout=STOP_TIMEOUT_S)
    print(f"{len(children)} child processes, {resident:.0f} MB, exit code {exit_code}")
    return (
        0 if first_line.startswith("http ") and not children and exit_code == 0 else 1
    )


if __name__ == "__main__":
    raise SystemExit(main())
