"""Fixtures for all tests."""

from __future__ import annotations

import logging
import re
from pathlib import Path

import pytest

from lagoonpulley.observability.logs import ROOT_LOGGER

KNOWN_RED_PATH = Path(__file__).parents[1] / "KNOWN-RED.txt"
# A line that names a failing test: "red: tests/x/test_y.py::test_z".
KNOWN_RED_LINE = re.compile(r"^\s*red: (\S+::\S+)\s*$", re.MULTILINE)


def read_known_red() -> list[str]:
    """Return the node ids of the tests that KNOWN-RED.txt lists as failing."""
    return KNOWN_RED_LINE.findall(KNOWN_RED_PATH.read_text())


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    """Expect every listed test to fail; one that passes or does not exist is an error.

    Whether a listed test exists is checked when the whole suite is collected.
    """
    listed = read_known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(strict=True, reason="in KNOWN-RED.txt"))
    unknown = set(listed) - {item.nodeid for item in items}
    if unknown and config.args == config.getini("testpaths"):
        names = ", ".join(sorted(unknown))
        raise pytest.UsageError(f"KNOWN-RED.txt lists tests that do not exist: {names}")


def pytest_terminal_summary(terminalreporter):
    """Print the tests that are known to fail."""
    for node_id in read_known_red():
        terminalreporter.write_line(f"known red (KNOWN-RED.txt): {node_id}")


@pytest.fixture(autouse=True)
def quiet_logs():
    """Keep log lines out of the test output, and restore the logger afterwards."""
    logger = logging.getLogger(ROOT_LOGGER)
    handlers, propagate, level = logger.handlers[:], logger.propagate, logger.level
    logger.addHandler(logging.NullHandler())
    yield
    logger.handlers[:] = handlers
    logger.propagate = propagate
    logger.setLevel(level)
