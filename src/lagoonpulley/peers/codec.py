"""Encoding of peer messages: JSON, validated against the message's type."""

from __future__ import annotations

from typing import Any

from grpclib.encoding.base import CodecBase
from pydantic import TypeAdapter

__all__ = ["JsonCodec"]


class JsonCodec(CodecBase):
    """Encodes the dataclasses of :mod:`.messages`.

    Decoding raises ``pydantic.ValidationError`` on anything that does not fit.
    """

    __content_subtype__ = "json"

    def __init__(self) -> None:
        self._adapter_by_type: dict[type, TypeAdapter[Any]] = {}

    def encode(self, message: Any, message_type: type) -> bytes:
        """Return the bytes of a message."""
        return self._adapter(message_type).dump_json(message)

    def decode(self, data: bytes, message_type: type) -> Any:
        """Return the message in some bytes."""
        return self._adapter(message_type).validate_json(data)

    def _adapter(self, message_type: type) -> TypeAdapter[Any]:
        adapter = self._adapter_by_type.get(message_type)
        if adapter is None:
            adapter = self._adapter_by_type[message_type] = TypeAdapter(message_type)
        return adapter
