"""Stored form of journal segments, snapshot pages and snapshot pointers."""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass, field

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, ValidationError

__all__ = [
    "FORMAT_VERSION",
    "Segment",
    "SnapshotPointer",
    "decode_segment",
    "decode_pointer",
    "encode_pointer",
    "encode_segment",
    "page_key",
    "pointer_key",
    "segment_key",
]

FORMAT_VERSION = 1


@dataclass(slots=True)
class Segment:
    """Documents written and removed by one commit, or one page of a snapshot."""

    epoch: int
    puts: dict[str, str] = field(default_factory=dict)
    deletes: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class SnapshotPointer:
    """Where replay starts: the latest snapshot and the first segment after it.

    ``pages`` is the number of pages of the snapshot; ``next_sequence`` is the number
    of the first segment that the snapshot does not include.
    """

    epoch: int
    snapshot: int
    pages: int
    next_sequence: int


class _Envelope(BaseModel):
    """Envelope of every stored journal record: version, checksum and body."""

    model_config = ConfigDict(extra="forbid")

    version: int
    checksum: int
    body: str


class _SegmentBody(BaseModel):
    """Body of a segment or of a snapshot page."""

    model_config = ConfigDict(extra="forbid")

    epoch: int
    puts: dict[str, str]
    deletes: list[str]


class _PointerBody(BaseModel):
    """Body of a snapshot pointer."""

    model_config = ConfigDict(extra="forbid")

    epoch: int
    snapshot: int
    pages: int
    next_sequence: int


def segment_key(group: str, sequence: int) -> str:
    """Return the store key of a segment."""
    return f"lagoonpulley/journal/{group}/segment/{sequence:012d}"


def page_key(group: str, snapshot: int, page: int) -> str:
    """Return the store key of one page of a snapshot."""
    return f"lagoonpulley/journal/{group}/snapshot/{snapshot:012d}/{page:04d}"


def pointer_key(group: str) -> str:
    """Return the store key of the snapshot pointer."""
    return f"lagoonpulley/journal/{group}/pointer"


def encode_segment(segment: Segment) -> str:
    """Return the stored form of a segment."""
    body = json.dumps(
        {
            "epoch": segment.epoch,
            "puts": segment.puts,
            "deletes": segment.deletes,
        },
        separators=(",", ":"),
    )
    return _wrap_in_envelope(body)


def decode_segment(text: str) -> Result[Segment, str]:
    """Return the segment in a stored record, or the reason why it is unreadable."""
    unwrapped = _unwrap_envelope(text)
    if unwrapped.is_error():
        return Error(unwrapped.error)
    try:
        body = _SegmentBody.model_validate_json(unwrapped.ok)
    except ValidationError as error:
        return Error(f"body not understood: {error}")
    return Ok(Segment(body.epoch, body.puts, body.deletes))


def encode_pointer(pointer: SnapshotPointer) -> str:
    """Return the stored form of a snapshot pointer."""
    body = _PointerBody(
        epoch=pointer.epoch,
        snapshot=pointer.snapshot,
        pages=pointer.pages,
        next_sequence=pointer.next_sequence,
    )
    return _wrap_in_envelope(body.model_dump_json())


def decode_pointer(text: str) -> Result[SnapshotPointer, str]:
    """Return the pointer in a stored record, or the reason why it is unreadable."""
    unwrapped = _unwrap_envelope(text)
    if unwrapped.is_error():
        return Error(unwrapped.error)
    try:
        body = _PointerBody.model_validate_json(unwrapped.ok)
    except ValidationError as error:
        return Error(f"body not understood: {error}")
    return Ok(
        SnapshotPointer(body.epoch, body.snapshot, body.pages, body.next_sequence)
    )


def _wrap_in_envelope(body: str) -> str:
    envelope = {
        "version": FORMAT_VERSION,
        "checksum": zlib.crc32(body.encode()),
        "body": body,
    }
    return json.dumps(envelope, separators=(",", ":"))


def _unwrap_envelope(text: str) -> Result[str, str]:
    try:
        envelope = _Envelope.model_validate_json(text)
    except ValidationError as error:
        return Error(f"envelope not understood: {error}")
    if envelope.version > FORMAT_VERSION:
        return Error(
            f"written in version {envelope.version}, this program reads "
            f"{FORMAT_VERSION}"
        )
    if zlib.crc32(envelope.body.encode()) != envelope.checksum:
        return Error("checksum does not match")
    return Ok(envelope.body)
