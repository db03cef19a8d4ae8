"""The owner's periodic log line about its load."""

from __future__ import annotations

import pytest
from tests.support.logged_events import capture_events
from tests.support.step_documents import JsonDirectory
from tests.support.step_workers import LEASE_S
from tests.support.steps import StepWorld, step

from lagoonpulley.owner.load import LOG_INTERVAL_S
from lagoonpulley.owner.messages import Deposed, Resign
from lagoonpulley.owner.role import OwnerRole
from lagoonpulley.owner.settings import OwnerSettings
from lagoonpulley.runtime.load import CallLoad, LoadInterval, RoleLoad
from lagoonpulley.runtime.role_meter import KindLoad
from lagoonpulley.runtime.work_meter import WorkMeter


class CountingClock:
    """A monotonic clock on which each reading takes a second."""

    def __init__(self) -> None:
        self._readings = 0

    def __call__(self) -> float:
        self._readings += 1
        return float(self._readings)


class SteadyLoad:
    """Reports the same load a second for any interval."""

    def __init__(self) -> None:
        self._read_at = None

    def read(self, at):
        """See ``LoadSource``."""
        duration_s = 0.0 if self._read_at is None else at - self._read_at
        self._read_at = at
        kinds = {
            "Tick": KindLoad(10, 0.1 * duration_s),
            "reply:SyncWorker": KindLoad(40, 0.4 * duration_s),
        }
        operations = {
            "Get": CallLoad(4, 200, 2000),
            "RenewLease": CallLoad(2, 200, 200),
            "Transaction": CallLoad(6, 6000, 200),
        }
        owner = RoleLoad(50, 0.5 * duration_s, 0.3, 7, kinds)
        session = RoleLoad(5, 0.0, 0.4, 0, {})
        return LoadInterval(
            duration_s,
            duration_s / 4,
            {"owner": owner, "session": session},
            {"store": operations},
        )


@pytest.fixture
def world():
    made = StepWorld(entries=1)
    (entry,) = made.entry_by_name.values()
    settings = OwnerSettings(
        entry.name,
        LEASE_S,
        store_writes_per_s=400.0,
        store_reads_per_s=2000.0,
        link_bytes_per_s=1_250_000.0,
    )
    entry.roles["owner"] = OwnerRole(
        settings,
        JsonDirectory(),
        entry.store_health,
        SteadyLoad(),
        work=WorkMeter(CountingClock()),
    )
    return made


def test_owner_load_is_logged_at_its_interval_while_this_entry_owns(world):
    with capture_events() as events:
        world.run(1.0)
        began = len(events.named("owner_load"))
        world.run(5 * LOG_INTERVAL_S)
        assert len(events.named("owner_load")) - began in (4, 5)
        (entry,) = world.entry_by_name.values()
        entry.roles["session"].handle(Resign(), world.clock.now)
        entry.owner.handle(Deposed("stopped by the test"), world.clock.now)
        logged = len(events.named("owner_load"))
        world.run(3 * LOG_INTERVAL_S)
        assert len(events.named("owner_load")) == logged


def test_owner_load_has_the_load_and_the_allowed_rates(world):
    with capture_events() as events:
        world.run(1.0)
        world.submit("a" * 16, step(count=3), payload="seconds=9")
        world.run(2 * LOG_INTERVAL_S)
    event = events.named("owner_load")[-1]
    interval_s = event["interval_s"]
    assert event["token"] == world.owner().owner._term.token
    assert event["processor_share"] == 0.25
    assert event["busy_share"] == 0.5
    assert (event["max_delay_s"], event["roles_max_delay_s"]) == (0.3, 0.4)
    assert event["queued"] == 7
    assert list(event["busiest_kinds"].items()) == [
        ("reply:SyncWorker", [40, 0.4]),
        ("Tick", [10, 0.1]),
    ]
    assert event["store_writes_per_s"] == round(6 / interval_s, 1)
    assert event["store_reads_per_s"] == round(6 / interval_s, 1)
    assert event["all_entries_max_writes_per_s"] == 400.0
    assert event["all_entries_max_reads_per_s"] == 2000.0
    assert event["max_link_bytes_per_s"] == 1_250_000.0
    assert event["store_sent_bytes_per_s"] == round(6400 / interval_s)
    assert event["running_tasks"] == 3
    assert event["jobs"] == 1
    assert event["waiting_steps"] == 0
    assert event["waiting_records"] == 0


def test_owner_load_has_the_mean_time_of_commits(world):
    with capture_events() as events:
        world.run(1.0)
        world.submit("a" * 16, step(count=3), payload="seconds=9")
        world.run(3 * LOG_INTERVAL_S)
    with_commits = [e for e in events.named("owner_load") if e["commits"]]
    assert with_commits
    assert all(event["mean_commit_s"] >= 0 for event in with_commits)
    without = [e for e in events.named("owner_load") if not e["commits"]]
    assert all(event["mean_commit_s"] is None for event in without)


def test_owner_load_splits_the_time_of_messages_by_the_work(world):
    with capture_events() as events:
        world.run(1.0)
        world.submit("a" * 16, step(count=3), payload="seconds=1")
        world.run(3 * LOG_INTERVAL_S)
    kinds = {kind for event in events.named("owner_load") for kind in event["work"]}
    inner = {"planning", "placing", "making_commits", "sending_starts"}
    assert inner | {"Tick", "reply:SyncWorker", "reply:StartTask"} <= kinds
    for event in events.named("owner_load"):
        shares = [share for _, share in event["work"].values()]
        assert shares == sorted(shares, reverse=True)
        assert all(share > 0 for share in shares)
    placed = [e for e in events.named("owner_load") if "placing" in e["work"]]
    # Each round is in only one line.
    assert sum(event["work"]["placing"][0] for event in placed) == 3


def test_owner_load_tells_what_planning_rounds_came_to(world):
    with capture_events() as events:
        world.run(1.0)
        world.submit("a" * 16, step(count=3), payload="seconds=1")
        world.submit("b" * 16, step(processors=99_000))
        world.run(3 * LOG_INTERVAL_S)
    planned = [event["planned"] for event in events.named("owner_load")]
    total = {
        name: sum(counts.get(name, 0) for counts in planned)
        for counts in planned
        for name in counts
    }
    assert total["placements"] == 3
    assert total["advice_requests"] == 0
    # The job that fits nowhere is in every round, but is considered only when a
    # worker may have room.
    assert 0 < total["rounds_without_result"] < total["rounds"]
    assert total["demands"] >= total["rounds"]
    assert 2 <= total["considered"] < total["demands"]
