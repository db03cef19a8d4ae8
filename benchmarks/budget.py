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


def budget_table(line: dict[str, Line]) -> str:
    """Return the table of costs at the two-year size, with how each is made up."""
    per_group = WORKERS // DATA_CENTRES
    running = RUNNING / DATA_CENTRES
    starts = STARTS_PER_S / DATA_CENTRES
    entries = ENTRIES_PER_DATA_CENTRE * DATA_CENTRES
    retained = JOBS_PER_DAY / 24 / DATA_CENTRES
    rows: list[tuple[str, str, str, str]] = []

    def add(role: str, figure: str, how: str, verdict: str = "") -> None:
        rows.append((role, figure, how, verdict))

    def against(value: float, bound: float) -> str:
        if value <= bound:
            return f"within {bound:g}"
        return f"**over {bound:g} by a factor of {value / bound:.1f}**"

    placing = line["placement"].at(per_group) * starts / US_PER_S * 100
    add(
        "scheduler",
        f"{placing:.1f}% of a core at peak",
        f"{line['placement'].at(per_group):.0f} us x {starts:.0f} starts/s",
        "work, not rest: see below",
    )
    tasks = running + retained
    memory = line["core_memory"].slope * tasks / 1024 / 1024
    add(
        "scheduler",
        f"{memory:.1f} MB for {tasks:.0f} tasks",
        f"{line['core_memory'].slope:.0f} B each",
    )
    documents = line["journal_bytes"].slope * tasks
    add(
        "journal",
        f"{documents / 1e6:.2f} MB of documents a group",
        f"{line['journal_bytes'].slope:.0f} B x {tasks:.0f} tasks, kept in memory "
        "and in pages of 0.4 MB",
        f"pages {against(400_000, MAX_VALUE_BYTES)} B",
    )
    write_bytes = starts * DOCUMENTS_PER_START * line["journal_bytes"].slope / 2
    add(
        "journal",
        f"{write_bytes / 1024:.0f} KB/s written at peak",
        f"{starts:.0f} starts/s x {DOCUMENTS_PER_START} documents",
        "work, not rest",
    )
    add(
        "journal",
        f"{line['replay'].at(running) / 1000:.2f} s to decode at a takeover",
        f"{running:.0f} tasks",
        "within 6.8 s less the session lease",
    )
    beats = ENTRIES_PER_DATA_CENTRE - 1 + 1
    beat_bytes = line["heartbeat_bytes"].at(OWNERS_TOLD) + HEADER_BYTES
    sent = beats * beat_bytes
    add(
        "membership",
        f"{sent / 1024:.1f} KB/s sent, as much received",
        f"{beats} heartbeats/s x {beat_bytes:.0f} B",
        against(sent, NODE_BYTES_PER_S) + " B/s",
    )
    beat_cpu = line["heartbeat_time"].slope / 1000 * beats * 100
    add(
        "membership",
        f"{beat_cpu:.1f}% of a core",
        f"{line['heartbeat_time'].slope:.2f} ms for both ends, as many taken as sent",
        against(beat_cpu, NODE_CPU_PERCENT) + "%",
    )
    relay = line["packed_bytes"].at(TEAMS) * CHANGES_PER_DAY / SECONDS_PER_DAY
    add(
        "configuration",
        f"{relay / 1024:.2f} KB/s received, {relay * 7 / 1024:.1f} KB/s sent by "
        "the entry that watches",
        f"{line['packed_bytes'].at(TEAMS) / 1024:.0f} KB x {CHANGES_PER_DAY} a day",
        against(relay * 7, NODE_BYTES_PER_S) + " B/s",
    )
    size = line["configuration_bytes"].at(TEAMS)
    add(
        "configuration",
        f"{size / 1024:.0f} KB value",
        f"{TEAMS} teams, two queues and two keys each",
        against(size, MAX_VALUE_BYTES) + " B",
    )
    allotments = line["allotment_bytes"].at(TEAMS)
    add(
        "limits",
        f"{allotments / 1024:.0f} KB value",
        f"{TEAMS} teams, six data centres",
        against(allotments, MAX_VALUE_BYTES) + " B",
    )
    syncs = per_group / (TASK_LEASE_S / 3)
    add(
        "upstream link",
        f"{syncs:.0f} renewals/s, {syncs * SYNC_BYTES / 1024:.0f} KB/s",
        f"{per_group} workers, one call each {TASK_LEASE_S / 3:.0f} s",
        against(syncs * SYNC_BYTES, NODE_BYTES_PER_S) + " B/s (owner only)",
    )
    cpu = line["rest_cpu"].at(per_group)
    add(
        "owner, whole process",
        f"{cpu:.1f}% of a core at rest",
        f"{line['rest_cpu'].base:.2f}% + {line['rest_cpu'].slope:.4f}% x "
        f"{per_group} workers + heartbeats",
        against(cpu + beat_cpu, NODE_CPU_PERCENT) + "% with heartbeats",
    )
    other = line["rest_cpu"].base + beat_cpu
    add(
        "any other entry, whole process",
        f"{other:.1f}% of a core at rest",
        "base and heartbeats",
        against(other, NODE_CPU_PERCENT) + "%",
    )
    resident = line["rest_memory"].at(per_group) + memory + 2 * documents / 1e6
    add(
        "owner, whole process",
        f"{resident:.0f} MB resident",
        "base, workers, tasks and documents",
        against(resident, NODE_MEMORY_MB) + " MB",
    )
    calls = line["store_calls"].at(entries)
    writes = line["store_writes"].at(entries)
    add(
        "store, at rest",
        f"{calls:.0f} calls/s, of these {writes:.0f} writes/s",
        f"{entries} entries",
        f"calls {against(calls, STORE_CALLS_PER_S)}, writes "
        f"{against(writes, STORE_WRITES_PER_S)}",
    )
    peak = writes + COMMITS_PER_S * DATA_CENTRES
    add(
        "store, at peak",
        f"{peak:.0f} writes/s",
        f"at rest + {COMMITS_PER_S} commits/s x {DATA_CENTRES} groups at most",
        against(peak, STORE_WRITES_PER_S),
    )
    recovery = 3 * ENTRIES_PER_DATA_CENTRE + COMMITS_PER_S
    add(
        "store, a data centre's entries all replaced",
        f"{recovery} writes more, once",
        "lease, session and claim for each entry, and one fence",
        against(peak + recovery, STORE_WRITES_PER_S) + " in one second",
    )
    head = (
        "| role | figure | made up of | against its bound |\n| --- | --- | --- | --- |"
    )
    body = "\n".join(f"| {a} | {b} | {c} | {d} |" for a, b, c, d in rows)
    return f"{head}\n{body}"
