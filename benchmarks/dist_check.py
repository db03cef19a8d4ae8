"""Runs the one-file program and checks that it is one process.

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


def children_of(parent: int) -> list[int]:
    """Return the identifiers of a process's children."""
    children = []
    for path in Path("/proc").iterdir():
        if not path.name.isdigit():
            continue
        try:
            fields = (path / "stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == parent:
            children.append(int(path.name))
    return children


def resident_mb(process: int) -> float:
    """Return the resident memory of a process in MB."""
    status = Path(f"/proc/{process}/status").read_text()
    line = next(item for item in status.splitlines() if item.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def main() -> int:
    """Serve with the program, look at its processes, and stop it."""
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "settings.json"
        settings.write_text(
            json.dumps(
                {
                    "entry_id": "dist-1",
                    "data_centre": "dist",
                    "data_centres": ["dist"],
                    "store": {"url": "http://127.0.0.1:9"},
                }
            )
        )
        environment = {**os.environ, "PEX_ROOT": str(Path(folder) / "root")}
        process = subprocess.Popen(
            [sys.argv[1], "serve", str(settings)],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        first_line = process.stdout.readline()
        children = children_of(process.pid)
        resident = resident_mb(process.pid)
        process.send_signal(signal.SIGTERM)
        code = process.wait(timeout=STOP_TIMEOUT_S)
    print(f"{len(children)} child processes, {resident:.0f} MB, exit code {code}")
    return 0 if first_line.startswith("http ") and not children and code == 0 else 1


if __name__ == "__main__":
    raise SystemExit(main())
