"""Test fixture that builds jobs and workers for a placement core."""

from __future__ import annotations

import itertools

import pytest

from lagoonpulley.model.job import Job, JobKind
from lagoonpulley.model.resources import Resources
from lagoonpulley.placement.core import PlacementCore, PlacementSettings
from lagoonpulley.placement.events import (
    JobSubmitted,
    Place,
    TeamPolicy,
    TeamsChanged,
    WorkerChanged,
)


class Cell:
    """A placement core with a manual clock and helpers that apply events."""

    def __init__(self, **settings):
        self.core = PlacementCore(PlacementSettings(**settings))
        self.now = 0.0
        self._numbers = itertools.count()

    def workers(self, count, processors=4, racks=2, **state):
        capacity = Resources(processors * 1000, 16_384, 0, 8, 64)
        accepting = state.get("accepting", True)
        for number in range(count):
            rack = f"rack-{number % racks}"
            event = WorkerChanged(f"w{number}", rack, capacity, accepting)
            self.core.apply(event, self.now)

    def teams(self, **weights):
        self.policies({team: TeamPolicy(weight) for team, weight in weights.items()})

    def policies(self, policies):
        self.core.apply(TeamsChanged(policies), self.now)

    def job(self, team="north", tasks=1, processors=1, kind=JobKind.BATCH, **fields):
        values = {
            "queue": team,
            "run_time_s": 10.0,
            "deadline_s": None,
            "repeatable": True,
            "exclusive": True,
            "durable": True,
            "task_class": "default",
            "payload": "",
            "digest": "",
        } | fields
        request = Resources(processors * 1000, 512, 0, 1, 1)
        name = f"job{next(self._numbers)}"
        return Job(
            id=name, team=team, kind=kind, tasks=tasks, request=request, **values
        )

    def submit(self, *args, **fields):
        job = self.job(*args, **fields)
        event = JobSubmitted(job, tuple(range(job.tasks)), self.now)
        self.core.apply(event, self.now)
        return job

    def apply(self, event):
        self.core.apply(event, self.now)

    def decide(self):
        return self.core.decide(self.now)

    def places(self):
        return [item for item in self.decide() if isinstance(item, Place)]


@pytest.fixture
def cell():
    return Cell()
