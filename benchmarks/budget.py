"""Estimates the costs of a deployment of the size expected in two years.

The estimates use the lines that ``benchmarks.slopes`` fits to measurements.
"""

from __future__ import annotations

from .fit import Line

# Size expected in two years.
WORKERS = 2700
DATA_CENTRES = 6
RUNNING_TASKS = 40_000
STARTS_PER_S = 320
JOBS_PER_DAY = 43_000
TEAMS = 530
CONFIGURATION_CHANGES_PER_DAY = 1600
ENTRIES_PER_DATA_CENTRE = 8
SECONDS_PER_DAY = 86_400

# Limits that the estimates are compared with; those of a node hold for an idle entry.
MAX_NODE_CPU_PERCENT = 2.8
MAX_NODE_MEMORY_MB = 128
MAX_NODE_BYTES_PER_S = 5 * 1024
MAX_STORE_WRITES_PER_S = 300
MAX_STORE_CALLS_PER_S = 2000
MAX_VALUE_BYTES = 1_000_000

MAX_COMMITS_PER_S = 20
DOCUMENTS_PER_START = 3
HEADER_BYTES = 120
OWNERS_PER_HEARTBEAT = 3
TASK_LEASE_S = 15
SYNC_BYTES = 350
US_PER_S = 1_000_000

# Workers and work are divided evenly into one group for each data centre.
GROUP_WORKERS = WORKERS // DATA_CENTRES
GROUP_TASKS = RUNNING_TASKS / DATA_CENTRES
GROUP_STARTS_PER_S = STARTS_PER_S / DATA_CENTRES
# Running tasks, and jobs of the last hour.
GROUP_RETAINED_TASKS = GROUP_TASKS + JOBS_PER_DAY / 24 / DATA_CENTRES
ENTRIES = ENTRIES_PER_DATA_CENTRE * DATA_CENTRES
# To the other entries of the data centre and to one entry of another data centre.
HEARTBEATS_PER_S = ENTRIES_PER_DATA_CENTRE - 1 + 1


def budget_table(line_by_key: dict[str, Line]) -> str:
    """Return the Markdown table of estimated costs, how they add up and their limits.

    :param line_by_key: fitted line of each measured slope.
    """
    budget = _Budget(line_by_key)
    budget.scheduler()
    budget.journal()
    budget.membership()
    budget.configuration()
    budget.upstream()
    budget.processes()
    budget.store()
    head = (
        "| role | figure | made up of | against its bound |\n| --- | --- | --- | --- |"
    )
    body = "\n".join(f"| {' | '.join(row)} |" for row in budget.rows)
    return f"{head}\n{body}"


def _compare_with_bound(value: float, bound: float) -> str:
    if value <= bound:
        return f"within {bound:g}"
    return f"**over {bound:g} by a factor of {value / bound:.1f}**"


class _Budget:
    """Collects the rows of the table; each public method adds those of one role."""

    def __init__(self, line_by_key: dict[str, Line]) -> None:
        self.rows: list[tuple[str, str, str, str]] = []
        self._line_by_key = line_by_key
        self._tasks_mb = (
            line_by_key["core_memory"].slope * GROUP_RETAINED_TASKS / 1024 / 1024
        )
        self._document_bytes = line_by_key["journal_bytes"].slope * GROUP_RETAINED_TASKS
        heartbeat_ms = line_by_key["heartbeat_time"].slope
        self._heartbeat_percent = heartbeat_ms / 1000 * HEARTBEATS_PER_S * 100

    def _add(self, role: str, figure: str, derivation: str, verdict: str = "") -> None:
        self.rows.append((role, figure, derivation, verdict))

    def scheduler(self) -> None:
        """Add the CPU time of placement and the memory of the core and job records."""
        line_by_key = self._line_by_key
        placement_percent = (
            line_by_key["placement"].at(GROUP_WORKERS)
            * GROUP_STARTS_PER_S
            / US_PER_S
            * 100
        )
        self._add(
            "scheduler",
            f"{placement_percent:.1f}% of a core at peak",
            f"{line_by_key['placement'].at(GROUP_WORKERS):.0f} us "
            f"x {GROUP_STARTS_PER_S:.0f} starts/s",
            "work, not rest: see below",
        )
        memory_mb = self._tasks_mb
        self._add(
            "scheduler",
            f"{memory_mb:.1f} MB for {GROUP_RETAINED_TASKS:.0f} tasks",
            f"{line_by_key['core_memory'].slope:.0f} B each",
        )

    def journal(self) -> None:
        """Add the size of the documents, the write rate and the replay time."""
        line_by_key = self._line_by_key
        document_bytes = self._document_bytes
        self._add(
            "journal",
            f"{document_bytes / 1e6:.2f} MB of documents a group",
            f"{line_by_key['journal_bytes'].slope:.0f} B x "
            f"{GROUP_RETAINED_TASKS:.0f} tasks, kept in memory and in pages of 0.4 MB",
            f"pages {_compare_with_bound(400_000, MAX_VALUE_BYTES)} B",
        )
        # The slope covers two documents: that of a job and that of its task.
        write_bytes_per_s = (
            GROUP_STARTS_PER_S
            * DOCUMENTS_PER_START
            * line_by_key["journal_bytes"].slope
            / 2
        )
        self._add(
            "journal",
            f"{write_bytes_per_s / 1024:.0f} KB/s written at peak",
            f"{GROUP_STARTS_PER_S:.0f} starts/s x {DOCUMENTS_PER_START} documents",
            "work, not rest",
        )
        self._add(
            "journal",
            f"{line_by_key['replay'].at(GROUP_TASKS) / 1000:.2f} s "
            "to decode at a takeover",
            f"{GROUP_TASKS:.0f} tasks",
            "within 6.8 s less the session lease",
        )

    def membership(self) -> None:
        """Add the traffic and CPU time of heartbeats."""
        line_by_key = self._line_by_key
        heartbeats_per_s = HEARTBEATS_PER_S
        heartbeat_bytes = (
            line_by_key["heartbeat_bytes"].at(OWNERS_PER_HEARTBEAT) + HEADER_BYTES
        )
        sent_bytes_per_s = heartbeats_per_s * heartbeat_bytes
        self._add(
            "membership",
            f"{sent_bytes_per_s / 1024:.1f} KB/s sent, as much received",
            f"{heartbeats_per_s} heartbeats/s x {heartbeat_bytes:.0f} B",
            _compare_with_bound(sent_bytes_per_s, MAX_NODE_BYTES_PER_S) + " B/s",
        )
        heartbeat_percent = self._heartbeat_percent
        self._add(
            "membership",
            f"{heartbeat_percent:.1f}% of a core",
            f"{line_by_key['heartbeat_time'].slope:.2f} ms for both ends, "
            "as many taken as sent",
            _compare_with_bound(heartbeat_percent, MAX_NODE_CPU_PERCENT) + "%",
        )

    def configuration(self) -> None:
        """Add the sizes of configuration and allotments and the relay traffic."""
        line_by_key = self._line_by_key
        # The entry that watches the store relays each change to the 7 other entries of
        # its data centre.
        relayed_bytes_per_s = (
            line_by_key["packed_bytes"].at(TEAMS)
            * CONFIGURATION_CHANGES_PER_DAY
            / SECONDS_PER_DAY
        )
        self._add(
            "configuration",
            f"{relayed_bytes_per_s / 1024:.2f} KB/s received, "
            f"{relayed_bytes_per_s * 7 / 1024:.1f} KB/s sent by the entry that watches",
            f"{line_by_key['packed_bytes'].at(TEAMS) / 1024:.0f} KB x "
            f"{CONFIGURATION_CHANGES_PER_DAY} a day",
            _compare_with_bound(relayed_bytes_per_s * 7, MAX_NODE_BYTES_PER_S) + " B/s",
        )
        size = line_by_key["configuration_bytes"].at(TEAMS)
        self._add(
            "configuration",
            f"{size / 1024:.0f} KB value",
            f"{TEAMS} teams, two queues and two keys each",
            _compare_with_bound(size, MAX_VALUE_BYTES) + " B",
        )
        allotments = line_by_key["allotment_bytes"].at(TEAMS)
        self._add(
            "limits",
            f"{allotments / 1024:.0f} KB value",
            f"{TEAMS} teams, six data centres",
            _compare_with_bound(allotments, MAX_VALUE_BYTES) + " B",
        )

    def upstream(self) -> None:
        """Add the task lease renewals that the owner of a group sends to workers."""
        syncs = GROUP_WORKERS / (TASK_LEASE_S / 3)
        self._add(
            "upstream link",
            f"{syncs:.0f} renewals/s, {syncs * SYNC_BYTES / 1024:.0f} KB/s",
            f"{GROUP_WORKERS} workers, one call each {TASK_LEASE_S / 3:.0f} s",
            _compare_with_bound(syncs * SYNC_BYTES, MAX_NODE_BYTES_PER_S)
            + " B/s (owner only)",
        )

    def processes(self) -> None:
        """Add CPU time and memory of idle processes."""
        line_by_key = self._line_by_key
        owner_percent = line_by_key["rest_cpu"].at(GROUP_WORKERS)
        self._add(
            "owner, whole process",
            f"{owner_percent:.1f}% of a core at rest",
            f"{line_by_key['rest_cpu'].base:.2f}% + "
            f"{line_by_key['rest_cpu'].slope:.4f}% x "
            f"{GROUP_WORKERS} workers + heartbeats",
            _compare_with_bound(
                owner_percent + self._heartbeat_percent, MAX_NODE_CPU_PERCENT
            )
            + "% with heartbeats",
        )
        other_entry_percent = line_by_key["rest_cpu"].base + self._heartbeat_percent
        self._add(
            "any other entry, whole process",
            f"{other_entry_percent:.1f}% of a core at rest",
            "base and heartbeats",
            _compare_with_bound(other_entry_percent, MAX_NODE_CPU_PERCENT) + "%",
        )
        resident_mb = line_by_key["rest_memory"].at(GROUP_WORKERS)
        resident_mb += self._tasks_mb + 2 * self._document_bytes / 1e6
        self._add(
            "owner, whole process",
            f"{resident_mb:.0f} MB resident",
            "base, workers, tasks and documents",
            _compare_with_bound(resident_mb, MAX_NODE_MEMORY_MB) + " MB",
        )

    def store(self) -> None:
        """Add the store calls of all entries together."""
        line_by_key = self._line_by_key
        calls = line_by_key["store_calls"].at(ENTRIES)
        writes = line_by_key["store_writes"].at(ENTRIES)
        self._add(
            "store, at rest",
            f"{calls:.0f} calls/s, of these {writes:.0f} writes/s",
            f"{ENTRIES} entries",
            f"calls {_compare_with_bound(calls, MAX_STORE_CALLS_PER_S)}, writes "
            f"{_compare_with_bound(writes, MAX_STORE_WRITES_PER_S)}",
        )
        peak = writes + MAX_COMMITS_PER_S * DATA_CENTRES
        self._add(
            "store, at peak",
            f"{peak:.0f} writes/s",
            f"at rest + {MAX_COMMITS_PER_S} commits/s x {DATA_CENTRES} groups at most",
            _compare_with_bound(peak, MAX_STORE_WRITES_PER_S),
        )
        recovery = 3 * ENTRIES_PER_DATA_CENTRE + MAX_COMMITS_PER_S
        self._add(
            "store, a data centre's entries all replaced",
            f"{recovery} writes more, once",
            "lease, session and claim for each entry, and one fence",
            _compare_with_bound(peak + recovery, MAX_STORE_WRITES_PER_S)
            + " in one second",
        )
