"""Cluster scheduler for services, batch jobs and gang jobs."""

from __future__ import annotations

__all__ = ["__version__"]

__version__ = "0.1.0"
