"""Fixtures for all tests."""

from __future__ import annotations

import logging

import pytest

from lagoonpulley.observability.logs import ROOT_LOGGER


@pytest.fixture(autouse=True)
def quiet_logs():
    """Keep the program's log lines out of the tests' output."""
    logger = logging.getLogger(ROOT_LOGGER)
    handler = logging.NullHandler()
    logger.addHandler(handler)
    yield
    logger.removeHandler(handler)
