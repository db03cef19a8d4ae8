"""Many random histories of jobs of steps, on several processes.

``python -m benchmarks.step_fuzz --histories 2000 --processes 3 --first-seed 1``

Each seed stands for a batch of histories; what breaks is printed as the steps that
lead to it, and the seed plays it again.
"""

from __future__ import annotations

import argparse
import contextlib
import io
import multiprocessing

from hypothesis import Phase, seed
from hypothesis.stateful import run_state_machine_as_test
from tests.support.step_history import StepHistory, history_settings

from .fuzz import silence_logs

HISTORIES_PER_SEED = 100


def run_seed(number: int) -> tuple[int, str]:
    """Run a batch of histories; return its seed and what broke, if anything."""
    machine = seed(number)(type("Seeded", (StepHistory,), {}))
    batch = history_settings(
        HISTORIES_PER_SEED, phases=[Phase.generate], print_blob=False
    )
    printed = io.StringIO()
    try:
        with contextlib.redirect_stdout(printed):
            run_state_machine_as_test(machine, settings=batch)
    except Exception as error:
        notes = "\n".join(getattr(error, "__notes__", ()))
        return number, f"{type(error).__name__}: {error}\n{notes}{printed.getvalue()}"
    return number, ""


def main() -> int:
    """Run batches and print what broke; exit 1 if anything did."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--histories", type=int, default=2000)
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument("--first-seed", type=int, default=1)
    options = parser.parse_args()
    batches = -(-options.histories // HISTORIES_PER_SEED)
    seeds = range(options.first_seed, options.first_seed + batches)
    broken = 0
    with multiprocessing.Pool(options.processes, initializer=silence_logs) as pool:
        for number, what in pool.imap_unordered(run_seed, seeds):
            if what:
                broken += 1
                print(f"seed {number}: {what}")
    histories = batches * HISTORIES_PER_SEED
    print(f"{histories} histories of {batches} seeds, {broken} seeds broke something")
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
