"""A plot of use and shares over time, written as SVG."""

from __future__ import annotations

from pathlib import Path

from .simulation import Result

WIDTH = 720
PANEL_HEIGHT = 180
MARGIN = 40
COLOURS = ("#4c72b0", "#dd8452", "#55a868", "#c44e52", "#8172b3", "#937860")
LARGEST_TEAMS = 4


def write_plot(path: Path, results: list[Result], size: str, deployment: str) -> None:
    """Draw one panel per core: use of the cell and the largest teams' shares."""
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
    parts.append(_line(used, top, "#999"))
    totals: dict[str, float] = {}
    for sample in result.samples:
        for team, demand in sample.demand_by_team.items():
            totals[team] = totals.get(team, 0.0) + demand
    largest = sorted(totals, key=totals.__getitem__, reverse=True)[:LARGEST_TEAMS]
    for colour, team in zip(COLOURS, largest):
        shares = [sample.share_by_team[team] for sample in result.samples]
        parts.append(_line(shares, top, colour))
    return parts


def _line(values: list[float], top: int, colour: str) -> str:
    step = (WIDTH - 2 * MARGIN) / max(1, len(values) - 1)
    points = " ".join(
        f"{MARGIN + index * step:.1f},{top + PANEL_HEIGHT * (1 - min(1.0, value)):.1f}"
        for index, value in enumerate(values)
    )
    return f'<polyline points="{points}" fill="none" stroke="{colour}"/>'
