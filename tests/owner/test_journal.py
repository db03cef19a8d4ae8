"""Size of the transactions that the owner's journal sends."""

from __future__ import annotations

from lagoonpulley.model.resources import Resources
from lagoonpulley.owner.journal import Journal
from lagoonpulley.store.answer_timeout import MAX_TIMEOUT_S
from lagoonpulley.store.messages import StoreResult, StoreStatus
from lagoonpulley.workload.record import EndKind, JobRecord
from lagoonpulley.workload.spec import JobSpec, StepSpec, TaskKey

JOBS = 40
TASKS = 100
CHECKPOINT = "c" * 100
SLOW_LINK_BYTES_PER_S = 250_000
BASE64_RATIO = 4 / 3


def make_record(number):
    step = StepSpec(TASKS, Resources(1000, 512), 1.0)
    spec = JobSpec(f"{number:016x}", "reviews", "north", "", (step,), 0.0)
    record = JobRecord.from_spec(spec)
    for index in range(TASKS):
        key = TaskKey(0, 0, index)
        record.begin_run(key, 1, "w0", 1)
        record.end_run(key, EndKind.FAILED, CHECKPOINT)
    return record


def commit_all(journal):
    """Commit until nothing is left; return the transactions."""
    transactions = []
    while commit := journal.next_commit():
        transactions.append(commit.transaction)
        revision = len(transactions) + 1
        journal.apply_result(StoreResult(StoreStatus.OK, revision=revision))
    return transactions


def test_transaction_reaches_the_store_in_time_on_a_slow_link():
    journal = Journal(token=1, head_revision=1)
    for number in range(JOBS):
        journal.enqueue(make_record(number))
    transactions = commit_all(journal)
    for transaction in transactions:
        size = sum(len(write.value) for write in transaction.puts)
        transfer_s = size * BASE64_RATIO / SLOW_LINK_BYTES_PER_S
        assert transfer_s < MAX_TIMEOUT_S * 0.75
    assert len(transactions) > 1


def test_records_are_committed_once_each_in_the_order_of_their_first_change():
    journal = Journal(token=1, head_revision=1)
    durable = []
    for number in [*range(JOBS), 3]:
        journal.enqueue(
            make_record(number), lambda number=number: durable.append(number)
        )
    keys = [
        write.key.rpartition("/")[2]
        for transaction in commit_all(journal)
        for write in transaction.puts[1:]
    ]
    assert keys == [f"{number:016x}" for number in range(JOBS)]
    assert sorted(durable) == sorted([*range(JOBS), 3])
