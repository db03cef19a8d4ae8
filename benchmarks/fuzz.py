"""Runs random histories of a cell in several processes and counts failures.

``python -m benchmarks.fuzz --histories 10000 --processes 6``
"""

from __future__ import annotations

import argparse
import logging
import multiprocessing
import time
from collections import Counter
from dataclasses import dataclass

from tests.support.history import run_history
from tests.support.invariants import InvariantBroken

from lagoonpulley.observability.logs import ROOT_LOGGER


@dataclass(frozen=True)
class Outcome:
    """Result of one history.

    ``failure`` is empty if the history passed; the counts are zero if it failed.
    """

    seed: int
    failure: str
    accepted: int
    executions: int
    simulated_s: float


def run_seed(seed: int) -> Outcome:
    """Run the history of a seed and return its outcome."""
    try:
        world = run_history(seed).world
    except InvariantBroken as error:
        return Outcome(seed, str(error), 0, 0, 0.0)
    except Exception as error:
        return Outcome(seed, f"{type(error).__name__}: {error}", 0, 0, 0.0)
    accepted = sum(caller.accepted for caller in world.callers)
    executions = sum(len(worker.executions) for worker in world.workers.values())
    return Outcome(seed, "", accepted, executions, world.clock.mono)


def silence_logs() -> None:
    """Discard the log lines of the program in this process."""
    logger = logging.getLogger(ROOT_LOGGER)
    logger.addHandler(logging.NullHandler())
    logger.propagate = False


def main() -> int:
    """Run histories and print the counts; return 1 if any failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--histories", type=int, default=10_000)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--processes", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=float("inf"))
    options = parser.parse_args()
    began = time.monotonic()
    seeds = range(options.first_seed, options.first_seed + options.histories)
    outcomes = []
    with multiprocessing.Pool(options.processes, initializer=silence_logs) as pool:
        for outcome in pool.imap_unordered(run_seed, seeds, chunksize=4):
            outcomes.append(outcome)
            if outcome.failure:
                print(f"seed {outcome.seed}: {outcome.failure}", flush=True)
            if time.monotonic() - began > options.seconds:
                pool.terminate()
                break
    return _report(outcomes, time.monotonic() - began)


def _report(outcomes: list[Outcome], took_s: float) -> int:
    count_by_failure = Counter(
        o.failure.partition(":")[0] for o in outcomes if o.failure
    )
    print(f"histories {len(outcomes)}")
    print(f"simulated hours {sum(o.simulated_s for o in outcomes) / 3600:.1f}")
    print(f"accepted requests {sum(o.accepted for o in outcomes)}")
    print(f"task executions {sum(o.executions for o in outcomes)}")
    print(f"lost {count_by_failure.pop('accepted_work_is_not_lost', 0)}")
    doubled = count_by_failure.pop("unrepeatable_requests_run_at_most_once", 0)
    doubled += count_by_failure.pop("no_exclusive_task_in_two_places", 0)
    print(f"doubled {doubled}")
    print(f"other broken {dict(count_by_failure)}")
    print(f"took {took_s:.0f} s")
    return 1 if any(o.failure for o in outcomes) else 0


if __name__ == "__main__":
    raise SystemExit(main())
