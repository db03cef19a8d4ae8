"""Finalization of jobs whose tasks end close together."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonpulley.journal.messages import Committed
from lagoonpulley.scheduler import finalization
from lagoonpulley.scheduler.finalization import GroupFinalizer


class JournalGroup:
    """A group whose commits the test completes one by one."""

    def __init__(self):
        self.now = SimpleNamespace(wall=5.0)
        self.finalized = []
        self._flows = []

    def start(self, flow):
        next(flow)
        self._flows.append(flow)

    def journal_call(self, puts):
        return puts

    def job_finalized(self, record):
        self.finalized.append(record)

    def complete_commit(self, index):
        with pytest.raises(StopIteration):
            self._flows[index].send(Committed())


def make_record():
    return SimpleNamespace(
        job=SimpleNamespace(id="job", durable=True),
        is_final=False,
        is_finalized=False,
        ended_at=None,
        task_id=lambda task: task,
    )


@pytest.mark.parametrize("order", [(0, 1), (1, 0)])
def test_job_is_final_once_when_all_its_commits_are_durable(monkeypatch, order):
    monkeypatch.setattr(finalization, "task_key", lambda task_id: task_id)
    monkeypatch.setattr(finalization, "task_document", lambda record, task: task)
    group = JournalGroup()
    finalizer = GroupFinalizer(group)
    record = make_record()
    finalizer.finalize(record, ["one"])
    record.is_final = True
    finalizer.finalize(record, ["two"])
    group.complete_commit(order[0])
    assert group.finalized == []
    group.complete_commit(order[1])
    assert group.finalized == [record]
