"""Fixtures for all tests."""

from __future__ import annotations

import logging

import pytest

from lagoonpulley.observability.logs import ROOT_LOGGER


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
