"""``lagoonpulley standin``: run stand-ins of the platform's store and workers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..standin.cell import StandinCell, StandinPlan
from .errors import EXIT_DONE
from .signals import StopSignals

if TYPE_CHECKING:
    import argparse

__all__ = ["register"]


def register(subparsers: Any) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "standin",
        help="run stand-ins of the store and workers",
        description="For trials on one machine; everything is kept in memory.",
    )
    parser.add_argument(
        "--data-centre",
        action="append",
        required=True,
        dest="data_centres",
        metavar="NAME",
        help="a data centre with workers; repeat for several",
    )
    parser.add_argument("--workers", type=int, default=8, help="per data centre")
    parser.add_argument("--processors", type=int, default=16, help="per worker")
    parser.add_argument("--store-port", type=int, default=0, help="0: any free port")
    parser.add_argument("--workers-port", type=int, default=0, help="0: any free port")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Serve until interrupted."""
    plan = StandinPlan(
        data_centres=tuple(options.data_centres),
        workers_per_data_centre=options.workers,
        processors_per_worker=options.processors,
        store_port=options.store_port,
        workers_port=options.workers_port,
    )
    cell = StandinCell.from_plan(plan)
    print(f"store {cell.store_url} workers {cell.workers_url}", flush=True)
    StopSignals.installed().wait()
    cell.close()
    return EXIT_DONE
