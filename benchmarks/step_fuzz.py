"""Runs random histories of jobs with several steps in several processes.

``python -m benchmarks.step_fuzz --histories 2000 --processes 3 --first-seed 1``

With ``--unequal``, one entry is stronger than the others; with ``--late``, workers
carry out starts and syncs late, also after they have restarted. With ``--restarts``,
they also restart while nobody reaches them, with less room or listed late. With
``--grants``, late commands of all kinds extend leases from when they are carried out,
behind cuts and killed owners, and no worker restarts.

Each seed runs a batch of histories. A failure is printed as the sequence of operations
that leads to it; its seed reproduces it.
"""

from __future__ import annotations

import argparse
import contextlib
import functools
import io
import multiprocessing

from hypothesis import Phase, seed
from hypothesis.stateful import run_state_machine_as_test
from tests.support.late_histories import (
    LateCommandsHistory,
    LateGrantsHistory,
    LateRestartsHistory,
)
from tests.support.step_history import (
    StepHistory,
    UnequalEntriesHistory,
    history_settings,
)

from .fuzz import silence_logs

HISTORIES_PER_SEED = 100


def run_seed(history: type[StepHistory], seed_number: int) -> tuple[int, str]:
    """Run the batch of histories of a seed.

    Returns the seed and a description of the failure, empty if the batch passed.
    """
    machine = seed(seed_number)(type("Seeded", (history,), {}))
    batch_settings = history_settings(
        HISTORIES_PER_SEED, phases=[Phase.generate], print_blob=False
    )
    printed = io.StringIO()
    try:
        with contextlib.redirect_stdout(printed):
            run_state_machine_as_test(machine, settings=batch_settings)
    except Exception as error:
        exception_notes = "\n".join(getattr(error, "__notes__", ()))
        return (
            seed_number,
            f"{type(error).__name__}: {error}\n{exception_notes}{printed.getvalue()}",
        )
    return seed_number, ""


def main() -> int:
    """Run batches and print their failures; return 1 if there is one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--histories", type=int, default=2000)
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--unequal", action="store_true")
    parser.add_argument("--late", action="store_true")
    parser.add_argument("--restarts", action="store_true")
    parser.add_argument("--grants", action="store_true")
    options = parser.parse_args()
    history = StepHistory
    if options.unequal:
        history = UnequalEntriesHistory
    if options.late:
        history = LateCommandsHistory
    if options.restarts:
        history = LateRestartsHistory
    if options.grants:
        history = LateGrantsHistory
    run = functools.partial(run_seed, history)
    batches = -(-options.histories // HISTORIES_PER_SEED)
    seeds = range(options.first_seed, options.first_seed + batches)
    failed_seed_count = 0
    with multiprocessing.Pool(options.processes, initializer=silence_logs) as pool:
        for seed_number, failure in pool.imap_unordered(run, seeds):
            if failure:
                failed_seed_count += 1
                print(f"seed {seed_number}: {failure}")
    histories = batches * HISTORIES_PER_SEED
    print(
        f"{histories} histories of {batches} seeds, "
        f"{failed_seed_count} seeds broke something"
    )
    return 1 if failed_seed_count else 0


if __name__ == "__main__":
    raise SystemExit(main())
