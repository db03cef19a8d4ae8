"""Plots the use of a cell and the shares of its teams over time, as SVG."""

from __future__ import annotations

from pathlib import Path

from .simulation import Result

WIDTH = 720
PANEL_HEIGHT = 180
MARGIN = 40
COLOURS = ("#4c72b0", "#dd8452", "#55a868", "#c44e52", "#8172b3", "#937860")
PLOTTED_TEAMS = 4


def write_plot(path: Path, results: list[Result], size: str, deployment: str) -> None:
    """Write an SVG file with one panel per core.

    A panel shows the used fraction of the cell and the shares of the teams with the
    highest total demand.
    """
    height = MARGIN + len(results) * (PANEL_HEIGHT + MARGIN)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
        'font-family="sans-serif" font-size="12">',
        f'<text x="{MARGIN}" y="20">{size}, {deployment}: use of the cell (grey) and '
        "shares of the largest teams over time</text>",
    ]
    for number, result in enumerate(results):
        top = MARGIN + number * (PANEL_HEIGHT + MARGIN)
        parts += _panel(result, top)
    parts.append("</svg>")
    path.write_text("\n".join(parts) + "\n")


def _panel(result: Result, top: int) -> list[str]:
    parts = [
        f'<text x="{MARGIN}" y="{top - 4}">{result.core}</text>',
        f'<rect x="{MARGIN}" y="{top}" width="{WIDTH - 2 * MARGIN}" '
        f'height="{PANEL_HEIGHT}" fill="none" stroke="#ccc"/>',
    ]
    used = [sample.used_fraction for sample in result.samples]
    parts.append(_polyline(used, top, "#999"))
    total_demand_by_team: dict[str, float] = {}
    for sample in result.samples:
        for team, demand in sample.demand_by_team.items():
            total_demand_by_team[team] = total_demand_by_team.get(team, 0.0) + demand
    largest = sorted(
        total_demand_by_team, key=total_demand_by_team.__getitem__, reverse=True
    )[:PLOTTED_TEAMS]
    for colour, team in zip(COLOURS, largest):
        shares = [sample.share_by_team[team] for sample in result.samples]
        parts.append(_polyline(shares, top, colour))
    return parts


def _polyline(values: list[float], top: int, colour: str) -> str:
    step = (WIDTH - 2 * MARGIN) / max(1, len(values) - 1)
    points = " ".join(
        f"{MARGIN + index * step:.1f},{top + PANEL_HEIGHT * (1 - min(1.0, value)):.1f}"
        for index, value in enumerate(values)
    )
    return f'<polyline points="{points}" fill="none" stroke="{colour}"/>'
