"""Plays many seeds of the soak of an entry's process, and prints what each has seen."""

from __future__ import annotations

import argparse
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from tests.support.soak import SoakReport, soak


def _play(seed: int) -> tuple[int, SoakReport | str]:
    with tempfile.TemporaryDirectory() as directory:
        try:
            return seed, soak(seed, Path(directory))
        except Exception as error:
            return seed, f"{type(error).__name__}: {error}"


def main() -> None:
    """Play the seeds and print a line each, and how many have a fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first-seed", type=int, default=1000)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--processes", type=int, default=2)
    options = parser.parse_args()
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    broken = 0
    with ProcessPoolExecutor(options.processes) as pool:
        for seed, report in pool.map(_play, seeds):
            faults = [report] if isinstance(report, str) else report.faults()
            broken += bool(faults)
            print(seed, "; ".join(faults) or "ok", report, flush=True)
    print(f"{options.seeds} seeds, {broken} with a fault")


if __name__ == "__main__":
    main()
