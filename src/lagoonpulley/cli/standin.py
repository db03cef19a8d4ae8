"""``lagoonpulley standin``: simulate the platform's store and workers over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..standin.cell import StandinCell, StandinPlan
from .errors import EXIT_SUCCESS
from .signals import StopSignals

if TYPE_CHECKING:
    import argparse

__all__ = ["register"]


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "standin",
        help="run a simulated store and workers",
        description=(
            "Run a simulated store and workers for trials on one machine; all state "
            "is kept in memory."
        ),
    )
    parser.add_argument(
        "--data-centre",
        action="append",
        required=True,
        dest="data_centres",
        metavar="NAME",
        help="data centre with workers; may be repeated",
    )
    parser.add_argument(
        "--workers", type=int, default=8, help="workers per data centre"
    )
    parser.add_argument(
        "--processors", type=int, default=16, help="processors per worker"
    )
    parser.add_argument(
        "--store-port", type=int, default=0, help="port of the store, 0 for any"
    )
    parser.add_argument(
        "--workers-port", type=int, default=0, help="port of the workers, 0 for any"
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Serve the simulated store and workers until a stop signal."""
    plan = StandinPlan(
        data_centres=tuple(options.data_centres),
        workers_per_data_centre=options.workers,
        processors_per_worker=options.processors,
        store_port=options.store_port,
        workers_port=options.workers_port,
    )
    cell = StandinCell.from_plan(plan)
    print(f"store {cell.store_url} workers {cell.workers_url}", flush=True)
    StopSignals.install().wait()
    cell.close()
    return EXIT_SUCCESS
