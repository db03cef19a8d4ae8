"""JSON encoding of peer messages, validated against the type of the message."""

from __future__ import annotations

from typing import Any

from grpclib.encoding.base import CodecBase
from pydantic import TypeAdapter

__all__ = ["JsonCodec"]


class JsonCodec(CodecBase):
    """Encodes the dataclasses of :mod:`.messages` as JSON.

    Decoding raises :class:`pydantic.ValidationError` if the data does not match the
    type.
    """

    __content_subtype__ = "json"

    def __init__(self) -> None:
        self._adapter_by_type: dict[type, TypeAdapter[Any]] = {}

    def encode(self, message: Any, message_type: type) -> bytes:
        """Return the encoded message."""
        return self._adapter(message_type).dump_json(message)

    def decode(self, data: bytes, message_type: type) -> Any:
        """Return the decoded message."""
        return self._adapter(message_type).validate_json(data)

    def _adapter(self, message_type: type) -> TypeAdapter[Any]:
        adapter = self._adapter_by_type.get(message_type)
        if adapter is None:
            adapter = self._adapter_by_type[message_type] = TypeAdapter(message_type)
        return adapter
