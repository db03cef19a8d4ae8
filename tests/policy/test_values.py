"""Choice of the queue of a request."""

from __future__ import annotations

import pytest

from lagoonpulley.policy.values import Policy, Queue

QUEUES = (
    Queue("short", "one", "/a/", "service"),
    Queue("long", "one", "/a/b/", "service"),
    Queue("same", "one", "/a/b/", "service"),
    Queue("other", "two", "/a/", "service"),
    Queue("all", "three", "", "service"),
)


@pytest.fixture
def policy():
    queue_by_name = {queue.name: queue for queue in QUEUES}
    return Policy(1, 1, queue_by_name, {}, {}, {})


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("one", "/a/", "short"),
        ("one", "/a/b", "short"),
        ("one", "/a/b/", "long"),
        ("one", "/a/b/c/d", "long"),
        ("one", "/a", None),
        ("one", "/b/", None),
        ("two", "/a/b/c", "other"),
        ("three", "/any", "all"),
        ("four", "/a/", None),
    ],
)
def test_queue_with_the_longest_matching_prefix_is_found(policy, host, path, name):
    queue = policy.find_queue(host, path)
    assert (queue.name if queue else None) == name
