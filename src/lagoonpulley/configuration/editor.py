"""Changes to the configuration by operators."""

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

READ_BACK_TRIES = 5


class StoreCaller(Protocol):
    """Performs store operations one at a time."""

    def call(self, operation: StoreOperation) -> StoreResult | CallFailed:
        """Perform an operation and return its result."""
        ...


@dataclass(frozen=True, slots=True)
class LoadedConfiguration:
    """A document and the store revision it was read at."""

    document: ConfigurationDocument
    store_revision: int


@dataclass(frozen=True, slots=True)
class EditFailure:
    """Why a change was not made; ``may_be_in_force`` when that is not known."""

    message: str
    is_conflict: bool = False
    may_be_in_force: bool = False


class ConfigurationEditor:
    """Reads the configuration and writes it by compare-and-swap."""

    def __init__(self, store: StoreCaller) -> None:
        self._store = store

    def load(self) -> Result[LoadedConfiguration, EditFailure]:
        """Return the configuration in the store; an empty one if there is none."""
        result = self._store.call(Get(CONFIGURATION_KEY))
        if isinstance(result, CallFailed):
            return Error(EditFailure(f"the store cannot be read: {result.reason}"))
        if result.entry is None:
            return Ok(LoadedConfiguration(ConfigurationDocument(), ABSENT))
        parsed = parse_document(result.entry.value)
        if parsed.is_error():
            return Error(EditFailure(f"the configuration is damaged: {parsed.error}"))
        return Ok(LoadedConfiguration(parsed.ok, result.entry.revision))

    def save(
        self, base: LoadedConfiguration, document: ConfigurationDocument
    ) -> Result[LoadedConfiguration, EditFailure]:
        """Write a document in place of the one it was made from.

        A lost answer is resolved by reading back the identifier of the write.
        """
        write_id = uuid.uuid4().hex
        put = Put(
            CONFIGURATION_KEY,
            document.model_dump_json(exclude_defaults=False),
            base.store_revision,
            write_id,
        )
        result = self._store.call(put)
        for _ in range(READ_BACK_TRIES):
            if not isinstance(result, CallFailed):
                break
            result = self._store.call(Get(CONFIGURATION_KEY))
        return self._judge(result, write_id, base, document)

    @staticmethod
    def _judge(
        result: StoreResult | CallFailed,
        write_id: str,
        base: LoadedConfiguration,
        document: ConfigurationDocument,
    ) -> Result[LoadedConfiguration, EditFailure]:
        if isinstance(result, CallFailed):
            message = f"the store does not answer: {result.reason}"
            return Error(EditFailure(message, may_be_in_force=True))
        if result.entry is not None and result.entry.write_id == write_id:
            return Ok(LoadedConfiguration(document, result.entry.revision))
        revision = result.entry.revision if result.entry is not None else ABSENT
        if revision == base.store_revision:
            message = "the write was not found; it may still arrive"
            return Error(EditFailure(message, may_be_in_force=True))
        message = "another operator changed the configuration meanwhile"
        return Error(EditFailure(message, is_conflict=True))
