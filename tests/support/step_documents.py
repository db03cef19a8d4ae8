"""Policy and worker documents that tests of jobs with steps write to the store."""

from __future__ import annotations

import json

from expression import Ok

from lagoonpulley.model.resources import Resources
from lagoonpulley.policy.values import AdvicePolicy, Policy, Queue, Service, TeamLimits
from lagoonpulley.upstream.directory import WorkerInfo

POLICY_KEY = "test/policy"
WORKERS_PREFIX = "test/workers/"
DRAINS_PREFIX = "test/drains/"


class JsonPolicy:
    """Decodes the JSON policy document that tests write to the store."""

    key = POLICY_KEY

    def decode(self, item):
        values = json.loads(item.value)
        queues = {
            name: _queue(name, fields) for name, fields in values["queues"].items()
        }
        teams = {
            name: TeamLimits(name, 1.0, Resources(*limit))
            for name, limit in values["teams"].items()
        }
        return Ok(
            Policy(
                version=values["version"],
                revision=item.revision,
                queue_by_name=queues,
                service_by_name={"service": Service("service")},
                team_by_name=teams,
                team_by_api_key={name: name for name in teams},
            )
        )


def _queue(name: str, fields: dict) -> Queue:
    fields = dict(fields)
    if "advice" in fields:
        fields["advice"] = AdvicePolicy(*fields["advice"])
    return Queue(name, "", f"/{name}/", "service", **fields)


class JsonDirectory:
    """Decodes the JSON worker documents that tests write to the store."""

    prefix = WORKERS_PREFIX

    def decode(self, item):
        values = json.loads(item.value)
        values["capacity"] = Resources(*values["capacity"])
        values["labels"] = tuple(values["labels"])
        return Ok(WorkerInfo(**values))


class KeyDrains:
    """Decodes requests to drain a data centre, which their keys name."""

    prefix = DRAINS_PREFIX

    def data_centre_of(self, item):
        return item.key.removeprefix(self.prefix)
