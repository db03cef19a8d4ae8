"""No name of the platform's stands outside its folder, and no decision inside."""

from __future__ import annotations

import re
from pathlib import Path

import lagoonpulley

ROOT = Path(lagoonpulley.__file__).parent
FOLDER = ROOT / "platform"

# Spellings that only the platform uses for these things.
NAMES = re.compile(
    r"kv-(key|range|watch|txn|lease|keep)|run-start|run-stop|machine-move"
    r"|/api/(hold|pace|advise|readyz|machines)|op/config|servers/|fencingToken"
    r"|ackedSeq|deadlineMs|storeRevision|serializable|tombstone|memMb|maxAttempts"
    r"|slackFactor|targetDurationMs|apiKeys|X-Api-Key|Deadline-Ms|Expected-Instance"
    r"|Duty-Holder|maxPerServer|dataRack|longRunning|savesProgress|repeatCount"
)
DECIDING = re.compile(r"from \.\.(planning|placement|scheduler|owner\.(term|journal))")


def python_files(folder):
    return [path for path in folder.rglob("*.py") if "__pycache__" not in path.parts]


def test_names_stay_in_the_folder():
    for path in python_files(ROOT):
        if FOLDER in path.parents:
            continue
        found = NAMES.search(path.read_text())
        assert found is None, f"{path}: {found.group()}"


def test_folder_holds_the_names():
    text = "".join(path.read_text() for path in python_files(FOLDER))
    assert len(set(NAMES.findall(text))) > 1


def test_folder_imports_no_decision():
    for path in python_files(FOLDER):
        assert DECIDING.search(path.read_text()) is None, path
