"""Arithmetic from measured slopes to the two-year size."""

from __future__ import annotations

from .fit import Line

WORKERS = 2700
DATA_CENTRES = 6
RUNNING = 40_000
STARTS_PER_S = 320
JOBS_PER_DAY = 43_000
TEAMS = 530
CHANGES_PER_DAY = 1600
ENTRIES_PER_DATA_CENTRE = 8
SECONDS_PER_DAY = 86_400

NODE_CPU_PERCENT = 2.8
NODE_MEMORY_MB = 128
NODE_BYTES_PER_S = 5 * 1024
STORE_WRITES_PER_S = 300
STORE_CALLS_PER_S = 2000
MAX_VALUE_BYTES = 1_000_000

COMMITS_PER_S = 20
DOCUMENTS_PER_START = 3
HEADER_BYTES = 120
OWNERS_TOLD = 3
TASK_LEASE_S = 15
SYNC_BYTES = 350
US_PER_S = 1_000_000

GROUP_WORKERS = WORKERS // DATA_CENTRES
GROUP_TASKS = RUNNING / DATA_CENTRES
GROUP_STARTS = STARTS_PER_S / DATA_CENTRES
KEPT_TASKS = GROUP_TASKS + JOBS_PER_DAY / 24 / DATA_CENTRES
ENTRIES = ENTRIES_PER_DATA_CENTRE * DATA_CENTRES
HEARTBEATS_PER_S = ENTRIES_PER_DATA_CENTRE - 1 + 1


def budget_table(line: dict[str, Line]) -> str:
    """Return the table of costs at the two-year size, with how each is made up."""
    budget = _Budget(line)
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


def _against(value: float, bound: float) -> str:
    if value <= bound:
        return f"within {bound:g}"
    return f"**over {bound:g} by a factor of {value / bound:.1f}**"


class _Budget:
    """Rows of the table, role by role."""

    def __init__(self, line: dict[str, Line]) -> None:
        self.rows: list[tuple[str, str, str, str]] = []
        self._line = line
        self._tasks_mb = line["core_memory"].slope * KEPT_TASKS / 1024 / 1024
        self._document_bytes = line["journal_bytes"].slope * KEPT_TASKS
        beat_ms = line["heartbeat_time"].slope
        self._heartbeat_percent = beat_ms / 1000 * HEARTBEATS_PER_S * 100

    def _add(self, role: str, figure: str, how: str, verdict: str = "") -> None:
        self.rows.append((role, figure, how, verdict))

    def scheduler(self) -> None:
        """Decisions and what the core and records hold."""
        line = self._line
        placing = line["placement"].at(GROUP_WORKERS) * GROUP_STARTS / US_PER_S * 100
        self._add(
            "scheduler",
            f"{placing:.1f}% of a core at peak",
            f"{line['placement'].at(GROUP_WORKERS):.0f} us "
            f"x {GROUP_STARTS:.0f} starts/s",
            "work, not rest: see below",
        )
        memory = self._tasks_mb
        self._add(
            "scheduler",
            f"{memory:.1f} MB for {KEPT_TASKS:.0f} tasks",
            f"{line['core_memory'].slope:.0f} B each",
        )

    def journal(self) -> None:
        """Documents, writes and replay."""
        line = self._line
        documents = self._document_bytes
        self._add(
            "journal",
            f"{documents / 1e6:.2f} MB of documents a group",
            f"{line['journal_bytes'].slope:.0f} B x {KEPT_TASKS:.0f} tasks, kept in "
            "memory and in pages of 0.4 MB",
            f"pages {_against(400_000, MAX_VALUE_BYTES)} B",
        )
        write_bytes = (
            GROUP_STARTS * DOCUMENTS_PER_START * line["journal_bytes"].slope / 2
        )
        self._add(
            "journal",
            f"{write_bytes / 1024:.0f} KB/s written at peak",
            f"{GROUP_STARTS:.0f} starts/s x {DOCUMENTS_PER_START} documents",
            "work, not rest",
        )
        self._add(
            "journal",
            f"{line['replay'].at(GROUP_TASKS) / 1000:.2f} s to decode at a takeover",
            f"{GROUP_TASKS:.0f} tasks",
            "within 6.8 s less the session lease",
        )

    def membership(self) -> None:
        """Heartbeats."""
        line = self._line
        beats = HEARTBEATS_PER_S
        beat_bytes = line["heartbeat_bytes"].at(OWNERS_TOLD) + HEADER_BYTES
        sent = beats * beat_bytes
        self._add(
            "membership",
            f"{sent / 1024:.1f} KB/s sent, as much received",
            f"{beats} heartbeats/s x {beat_bytes:.0f} B",
            _against(sent, NODE_BYTES_PER_S) + " B/s",
        )
        beat_cpu = self._heartbeat_percent
        self._add(
            "membership",
            f"{beat_cpu:.1f}% of a core",
            f"{line['heartbeat_time'].slope:.2f} ms for both ends, "
            "as many taken as sent",
            _against(beat_cpu, NODE_CPU_PERCENT) + "%",
        )

    def configuration(self) -> None:
        """The document, its relay and the allotments."""
        line = self._line
        relay = line["packed_bytes"].at(TEAMS) * CHANGES_PER_DAY / SECONDS_PER_DAY
        self._add(
            "configuration",
            f"{relay / 1024:.2f} KB/s received, {relay * 7 / 1024:.1f} KB/s sent by "
            "the entry that watches",
            f"{line['packed_bytes'].at(TEAMS) / 1024:.0f} KB x {CHANGES_PER_DAY} a day",
            _against(relay * 7, NODE_BYTES_PER_S) + " B/s",
        )
        size = line["configuration_bytes"].at(TEAMS)
        self._add(
            "configuration",
            f"{size / 1024:.0f} KB value",
            f"{TEAMS} teams, two queues and two keys each",
            _against(size, MAX_VALUE_BYTES) + " B",
        )
        allotments = line["allotment_bytes"].at(TEAMS)
        self._add(
            "limits",
            f"{allotments / 1024:.0f} KB value",
            f"{TEAMS} teams, six data centres",
            _against(allotments, MAX_VALUE_BYTES) + " B",
        )

    def upstream(self) -> None:
        """Renewals of an owner."""
        syncs = GROUP_WORKERS / (TASK_LEASE_S / 3)
        self._add(
            "upstream link",
            f"{syncs:.0f} renewals/s, {syncs * SYNC_BYTES / 1024:.0f} KB/s",
            f"{GROUP_WORKERS} workers, one call each {TASK_LEASE_S / 3:.0f} s",
            _against(syncs * SYNC_BYTES, NODE_BYTES_PER_S) + " B/s (owner only)",
        )

    def processes(self) -> None:
        """Whole processes at rest."""
        line = self._line
        cpu = line["rest_cpu"].at(GROUP_WORKERS)
        self._add(
            "owner, whole process",
            f"{cpu:.1f}% of a core at rest",
            f"{line['rest_cpu'].base:.2f}% + {line['rest_cpu'].slope:.4f}% x "
            f"{GROUP_WORKERS} workers + heartbeats",
            _against(cpu + self._heartbeat_percent, NODE_CPU_PERCENT)
            + "% with heartbeats",
        )
        other = line["rest_cpu"].base + self._heartbeat_percent
        self._add(
            "any other entry, whole process",
            f"{other:.1f}% of a core at rest",
            "base and heartbeats",
            _against(other, NODE_CPU_PERCENT) + "%",
        )
        resident = line["rest_memory"].at(GROUP_WORKERS)
        resident += self._tasks_mb + 2 * self._document_bytes / 1e6
        self._add(
            "owner, whole process",
            f"{resident:.0f} MB resident",
            "base, workers, tasks and documents",
            _against(resident, NODE_MEMORY_MB) + " MB",
        )

    def store(self) -> None:
        """Calls of all entries together."""
        line = self._line
        calls = line["store_calls"].at(ENTRIES)
        writes = line["store_writes"].at(ENTRIES)
        self._add(
            "store, at rest",
            f"{calls:.0f} calls/s, of these {writes:.0f} writes/s",
            f"{ENTRIES} entries",
            f"calls {_against(calls, STORE_CALLS_PER_S)}, writes "
            f"{_against(writes, STORE_WRITES_PER_S)}",
        )
        peak = writes + COMMITS_PER_S * DATA_CENTRES
        self._add(
            "store, at peak",
            f"{peak:.0f} writes/s",
            f"at rest + {COMMITS_PER_S} commits/s x {DATA_CENTRES} groups at most",
            _against(peak, STORE_WRITES_PER_S),
        )
        recovery = 3 * ENTRIES_PER_DATA_CENTRE + COMMITS_PER_S
        self._add(
            "store, a data centre's entries all replaced",
            f"{recovery} writes more, once",
            "lease, session and claim for each entry, and one fence",
            _against(peak + recovery, STORE_WRITES_PER_S) + " in one second",
        )
