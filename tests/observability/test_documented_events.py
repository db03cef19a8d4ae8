"""Every event that the code logs is in the operators' page about logs."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
LOGGED_EVENT = re.compile(r'log_event\(\s*"([a-z_]+)"')


def test_documented_events_are_complete():
    page = (ROOT / "docs" / "observability.md").read_text(encoding="utf-8")
    logged = set()
    for path in (ROOT / "src").rglob("*.py"):
        logged.update(LOGGED_EVENT.findall(path.read_text(encoding="utf-8")))
    assert sorted(name for name in logged if f"`{name}`" not in page) == []
