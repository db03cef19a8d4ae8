"""Reads the deploy file, which defines how the platform builds and runs programs."""

from __future__ import annotations

import tomllib
from pathlib import Path

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .validation_errors import format_validation_error

__all__ = ["DeployFile", "DeployRole", "read_deploy_file"]

MAX_TEMPLATE_BYTES = 64 * 1024
_PROGRAM_COMMAND = ["python3", "-m", "lagoonpulley"]


class DeployRole(BaseModel):
    """One program; ``on`` is its class of machines, ``serves`` names its callers."""

    model_config = ConfigDict(extra="forbid")

    run: str
    on: str
    share: float | None = Field(None, gt=0.0, le=1.0)
    count: int | None = Field(None, ge=1)
    apart: bool = False
    serves: list[str] = Field(default_factory=list)
    metrics: str | None = None
    template: str | None = None
    env: dict[str, str] = Field(default_factory=dict)

    def arguments(self) -> list[str] | None:
        """Return the arguments of ``lagoonpulley``, or ``None`` for another program."""
        words = self.run.split()
        if words[: len(_PROGRAM_COMMAND)] != _PROGRAM_COMMAND:
            return None
        return words[len(_PROGRAM_COMMAND) :]


class DeployFile(BaseModel):
    """Content of a deploy file."""

    model_config = ConfigDict(extra="forbid")

    build: str
    packages: list[str] = Field(default_factory=list)
    roles: dict[str, DeployRole] = Field(min_length=1)


def read_deploy_file(path: Path) -> Result[DeployFile, str]:
    """Read and check a deploy file and the templates that it names."""
    try:
        file = DeployFile.model_validate(tomllib.loads(path.read_text("utf-8")))
    except OSError as error:
        return Error(f"{path}: {error.strerror}")
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Error(f"{path}: not TOML: {error}")
    except ValidationError as error:
        return Error(f"{path}: {format_validation_error(error)}")
    # Paths in the file are relative to the root of the repository, the parent of the
    # folder with the deploy file.
    root = path.resolve().parent.parent
    for name, role in file.roles.items():
        message = _find_error(role, root)
        if message:
            return Error(f"{path}: roles.{name}: {message}")
    return Ok(file)


def _find_error(role: DeployRole, root: Path) -> str:
    """Return an error message for an invalid role, or an empty string."""
    if role.share is not None and role.count is not None:
        return "share and count exclude each other"
    if role.template is None:
        return ""
    template = root / role.template
    if not template.is_file():
        return f"template {role.template} does not exist"
    if template.stat().st_size >= MAX_TEMPLATE_BYTES:
        return f"template {role.template} is larger than {MAX_TEMPLATE_BYTES} bytes"
    return ""
