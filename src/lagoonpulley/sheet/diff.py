"""Differences between a sheet and the configuration, and how they are applied."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from ..configuration.document import ConfigurationDocument

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pydantic import BaseModel

    from .parse import SheetContent

__all__ = ["Change", "ChangeKind", "SheetDiff", "apply_content", "diff_sheet"]


class ChangeKind(Enum):
    """Kind of a change; the value is its mark in the printed diff."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclass(frozen=True, slots=True)
class Change:
    """One difference; ``subject`` names the item, such as ``team north``."""

    kind: ChangeKind
    subject: str
    detail: str = ""

    def __str__(self) -> str:
        text = f"{self.kind.value} {self.subject}"
        return f"{text}: {self.detail}" if self.detail else text


@dataclass(frozen=True, slots=True)
class SheetDiff:
    """All differences between a sheet and one revision of the configuration.

    ``removed_fraction`` is the share of teams and queues that the sheet removes.
    """

    base_revision: int
    changes: tuple[Change, ...]
    removed_fraction: float

    @property
    def is_empty(self) -> bool:
        """Whether the configuration already matches the sheet."""
        return not self.changes


def diff_sheet(document: ConfigurationDocument, content: SheetContent) -> SheetDiff:
    """Compare the configuration with a sheet."""
    changes = [
        *_compare("team", document.teams, content.teams),
        *_compare("queue", document.queues, content.queues),
    ]
    for key_id, key in document.keys.items():
        if key.team not in content.teams:
            detail = f"its team {key.team} is removed"
            changes.append(Change(ChangeKind.REMOVED, f"key {key_id}", detail))
    current_count = len(document.teams) + len(document.queues)
    removed_count = len(document.teams.keys() - content.teams.keys())
    removed_count += len(document.queues.keys() - content.queues.keys())
    fraction = removed_count / current_count if current_count else 0.0
    return SheetDiff(document.revision, tuple(changes), fraction)


def _compare(
    kind: str, before: Mapping[str, BaseModel], after: Mapping[str, BaseModel]
) -> list[Change]:
    changes = []
    for name in sorted(before.keys() | after.keys()):
        subject = f"{kind} {name}"
        if name not in after:
            changes.append(Change(ChangeKind.REMOVED, subject))
        elif name not in before:
            detail = _fields(after[name])
            changes.append(Change(ChangeKind.ADDED, subject, detail))
        elif before[name] != after[name]:
            detail = f"{_fields(before[name])} -> {_fields(after[name])}"
            changes.append(Change(ChangeKind.CHANGED, subject, detail))
    return changes


def _fields(model: BaseModel) -> str:
    values = model.model_dump(exclude_none=True)
    parts = []
    for name, value in values.items():
        if isinstance(value, dict):
            parts.extend(f"{name}.{inner}={item}" for inner, item in value.items())
        else:
            parts.append(f"{name}={value}")
    return " ".join(parts)


def apply_content(
    document: ConfigurationDocument, content: SheetContent
) -> ConfigurationDocument:
    """Return the next revision, with the teams and queues of a sheet.

    Keys of teams that the sheet does not list are dropped.
    """
    return ConfigurationDocument(
        revision=document.revision + 1,
        teams=content.teams,
        queues=content.queues,
        keys={
            key_id: key
            for key_id, key in document.keys.items()
            if key.team in content.teams
        },
    )
