"""Cluster scheduler for services, batch work and all-at-once jobs."""

from __future__ import annotations

__all__ = ["__version__"]

__version__ = "0.1.0"
