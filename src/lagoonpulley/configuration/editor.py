"""Reads and writes of the stored configuration by operators' commands."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from expression import Error, Ok, Result

from ..runtime.role import CallFailed
from ..store.messages import ABSENT, Get, Put, StoreResult
from .document import CONFIGURATION_KEY, ConfigurationDocument, parse_document

if TYPE_CHECKING:
    from ..store.messages import StoreOperation

__all__ = ["ConfigurationEditor", "EditFailure", "LoadedConfiguration", "StoreCaller"]

MAX_READ_BACKS = 5


class StoreCaller(Protocol):
    """Client that performs store operations synchronously."""

    def call(self, operation: StoreOperation) -> StoreResult | CallFailed:
        """Perform an operation and return its result, or why it failed."""
        ...


@dataclass(frozen=True, slots=True)
class LoadedConfiguration:
    """A configuration document with the store revision at which it was read."""

    document: ConfigurationDocument
    store_revision: int


@dataclass(frozen=True, slots=True)
class EditFailure:
    """Why a change failed.

    ``is_conflict`` is set if the stored configuration was changed in the meantime,
    ``may_have_been_applied`` if the outcome of the write is unknown.
    """

    message: str
    is_conflict: bool = False
    may_have_been_applied: bool = False


class ConfigurationEditor:
    """Reads the configuration and replaces it by compare-and-swap."""

    def __init__(self, store: StoreCaller) -> None:
        self._store = store

    def load(self) -> Result[LoadedConfiguration, EditFailure]:
        """Return the stored configuration, or an empty one if none is stored."""
        result = self._store.call(Get(CONFIGURATION_KEY))
        if isinstance(result, CallFailed):
            return Error(EditFailure(f"the store cannot be read: {result.reason}"))
        if result.entry is None:
            return Ok(LoadedConfiguration(ConfigurationDocument(), ABSENT))
        parsed = parse_document(result.entry.value)
        if parsed.is_error():
            return Error(
                EditFailure(f"the stored configuration is invalid: {parsed.error}")
            )
        return Ok(LoadedConfiguration(parsed.ok, result.entry.revision))

    def save(
        self, base: LoadedConfiguration, document: ConfigurationDocument
    ) -> Result[LoadedConfiguration, EditFailure]:
        """Replace ``base`` by ``document``, unless the stored one has changed since.

        After a lost answer, the outcome is determined by reading back the write
        identifier.
        """
        write_id = uuid.uuid4().hex
        put = Put(
            CONFIGURATION_KEY,
            document.model_dump_json(exclude_defaults=False),
            base.store_revision,
            write_id,
        )
        result = self._store.call(put)
        for _ in range(MAX_READ_BACKS):
            if not isinstance(result, CallFailed):
                break
            result = self._store.call(Get(CONFIGURATION_KEY))
        return self._classify_result(result, write_id, base, document)

    @staticmethod
    def _classify_result(
        result: StoreResult | CallFailed,
        write_id: str,
        base: LoadedConfiguration,
        document: ConfigurationDocument,
    ) -> Result[LoadedConfiguration, EditFailure]:
        if isinstance(result, CallFailed):
            message = f"the store does not answer: {result.reason}"
            return Error(EditFailure(message, may_have_been_applied=True))
        if result.entry is not None and result.entry.write_id == write_id:
            return Ok(LoadedConfiguration(document, result.entry.revision))
        revision = result.entry.revision if result.entry is not None else ABSENT
        if revision == base.store_revision:
            message = "the write was not found in the store; it may still take effect"
            return Error(EditFailure(message, may_have_been_applied=True))
        message = "another operator changed the configuration meanwhile"
        return Error(EditFailure(message, is_conflict=True))
