"""Checks the boundary of the platform package.

Code outside it must not depend on the names of one platform, and code inside it must
not make scheduling decisions.
"""

from __future__ import annotations

import re
from pathlib import Path

import lagoonpulley

ROOT = Path(lagoonpulley.__file__).parent
PACKAGE = ROOT / "platform"

# Names that only the platform uses.
NAMES = re.compile(
    r"kv-(key|range|watch|txn|lease|keep)|run-start|run-stop|machine-move"
    r"|/api/(hold|pace|advise|readyz|machines)|op/config|servers/|fencingToken"
    r"|ackedSeq|deadlineMs|storeRevision|serializable|tombstone|memMb|maxAttempts"
    r"|slackFactor|targetDurationMs|apiKeys|X-Api-Key|Deadline-Ms|Expected-Instance"
    r"|Duty-Holder|maxPerServer|dataRack|longRunning|savesProgress|repeatCount"
)
DECIDING_IMPORTS = re.compile(
    r"from \.\.(planning|placement|scheduler|owner\.(term|journal))"
)


def python_files(folder):
    return [path for path in folder.rglob("*.py") if "__pycache__" not in path.parts]


def test_names_occur_only_in_the_platform_package():
    for path in python_files(ROOT):
        if PACKAGE in path.parents:
            continue
        found = NAMES.search(path.read_text())
        assert found is None, f"{path}: {found.group()}"


def test_platform_package_contains_the_names():
    text = "".join(path.read_text() for path in python_files(PACKAGE))
    assert len(set(NAMES.findall(text))) > 1


def test_platform_package_imports_no_scheduling_decisions():
    for path in python_files(PACKAGE):
        assert DECIDING_IMPORTS.search(path.read_text()) is None, path
