"""The accepted configuration: watch on the store and relay between entries."""

from __future__ import annotations

import base64
import random
import zlib
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from ..membership.messages import ConfigurationRevision, PeersView
from ..observability.events import log_event
from ..peers.messages import (
    ConfigurationAnswer,
    ConfigurationOffer,
    FetchConfiguration,
    PeerCall,
)
from ..runtime.flows import Call, Flow, FlowRole, Sleep
from ..runtime.role import PEERS, STORE, CallFailed, Request, Tick
from ..store.messages import StoreResult, Watch
from .document import CONFIGURATION_KEY, ConfigurationDocument, parse_document
from .messages import ConfigurationChanged, ConfigurationConfirmed

if TYPE_CHECKING:
    from ..settings.schema import Settings

__all__ = ["ConfigurationRole", "pack_document", "unpack_document"]

WATCH_WAIT_S = 2.5
WATCH_SLACK_S = 0.5
WATCH_RETRY_S = 0.5
BACKSTOP_INTERVAL_S = 10.0
FIRST_READ_RETRY_S = 1.0
PEER_TIMEOUT_S = 2.0
MAX_DOCUMENT_BYTES = 4_000_000


class ConfigurationRole(FlowRole):
    """Applies documents of rising revision only, from whichever source.

    One entry of a data centre keeps a watch and relays what it sees; the others
    ask the store now and then, without a body unless there is something newer.
    """

    name = "configuration"

    def __init__(self, entry_id: str, settings: Settings) -> None:
        super().__init__(entry_id)
        self._entry_id = entry_id
        self._settings = settings
        self._random = random.Random(entry_id)
        self._document: ConfigurationDocument | None = None
        self._packed = ""
        self._store_revision = 0
        self._view: PeersView | None = None
        self._watching = False
        self._asking = False
        self._fetching = False
        self._next_ask_at = float("-inf")

    @classmethod
    def from_settings(cls, entry_id: str, settings: Settings) -> ConfigurationRole:
        """Create the role of one entry."""
        return cls(entry_id, settings)

    @property
    def revision(self) -> int:
        """The revision in force, or 0 before the first document."""
        return self._document.revision if self._document is not None else 0

    def receive(self, message: Any) -> None:
        """Process a tick, a view of peers or a peer's document."""
        match message:
            case Tick():
                self._tick()
            case PeersView():
                self._view = message
                self._fetch_from_peer(message)
            case Request(operation=ConfigurationOffer(revision, packed)):
                self._take_packed(revision, packed)
                self.answer(message, ConfigurationAnswer(self.revision))
            case Request(operation=FetchConfiguration(above_revision)):
                has_newer = self.revision > above_revision
                packed = self._packed if has_newer else ""
                self.answer(message, ConfigurationAnswer(self.revision, packed))

    def _tick(self) -> None:
        if not self._watching and self._is_on_duty():
            self._watching = True
            self.start(self._watch())
        if not self._asking and self.now.mono >= self._next_ask_at:
            self._asking = True
            self.start(self._ask_store())

    def _is_on_duty(self) -> bool:
        if self._view is None:
            return False
        live = [
            info.entry_id
            for info in self._view.local
            if not info.leaving and info.entry_id not in self._view.suspect_ids
        ]
        return bool(live) and min(live) == self._entry_id

    # Store.

    def _watch(self) -> Flow:
        while self._is_on_duty():
            asked_at = self.now.mono
            operation = Watch(CONFIGURATION_KEY, self._store_revision, WATCH_WAIT_S)
            result = yield Call(STORE, operation, WATCH_WAIT_S + WATCH_SLACK_S)
            if isinstance(result, CallFailed):
                yield Sleep(WATCH_RETRY_S * (1.0 + self._random.random()))
                continue
            self._take_from_store(result, asked_at, relay=True)
        self._watching = False

    def _ask_store(self) -> Flow:
        asked_at = self.now.mono
        operation = Watch(CONFIGURATION_KEY, self._store_revision, 0.0)
        result = yield Call(STORE, operation, self._settings.store.timeout_s)
        self._asking = False
        pause_s = BACKSTOP_INTERVAL_S
        if isinstance(result, CallFailed):
            pause_s = FIRST_READ_RETRY_S if self._document is None else pause_s
        else:
            self._take_from_store(result, asked_at, relay=False)
        jitter = 0.75 + self._random.random() / 2
        self._next_ask_at = self.now.mono + pause_s * jitter

    def _take_from_store(
        self, result: StoreResult, asked_at: float, relay: bool
    ) -> None:
        if result.ok and result.entry is not None:
            self._store_revision = max(self._store_revision, result.entry.revision)
            parsed = parse_document(result.entry.value)
            if parsed.is_error():
                log_event("configuration_unreadable", reason=parsed.error)
                return
            applied = self._apply(parsed.ok, "store")
            if applied and relay:
                self._relay()
        self.emit("gateway", ConfigurationConfirmed(asked_at))

    # Peers.

    def _relay(self) -> None:
        if self._view is None:
            return
        for info in self._view.local:
            if info.entry_id == self._entry_id:
                continue
            if info.configuration_revision >= self.revision:
                continue
            offer = ConfigurationOffer(self.revision, self._packed)
            self.start(self._send_offer(info.address, offer))

    @staticmethod
    def _send_offer(address: str, offer: ConfigurationOffer) -> Flow:
        yield Call(PEERS, PeerCall(address, offer), PEER_TIMEOUT_S)

    def _fetch_from_peer(self, view: PeersView) -> None:
        """Ask a peer that told of a higher revision."""
        if self._fetching:
            return
        for info in view.known:
            if info.configuration_revision > self.revision:
                self._fetching = True
                self.start(self._fetch(info.address))
                return

    def _fetch(self, address: str) -> Flow:
        call = PeerCall(address, FetchConfiguration(self.revision))
        result = yield Call(PEERS, call, PEER_TIMEOUT_S)
        self._fetching = False
        if isinstance(result, ConfigurationAnswer) and result.document:
            self._take_packed(result.revision, result.document)

    def _take_packed(self, revision: int, packed: str) -> None:
        if revision <= self.revision:
            return
        unpacked = unpack_document(packed)
        if unpacked.is_error():
            log_event("configuration_unreadable", reason=unpacked.error)
            return
        self._apply(unpacked.ok, "peer")

    def _apply(self, document: ConfigurationDocument, source: str) -> bool:
        if self._document is not None and document.revision <= self.revision:
            return False
        self._document = document
        self._packed = pack_document(document)
        log_event("configuration_applied", revision=document.revision, source=source)
        changed = ConfigurationChanged(document)
        for name in ("scheduler", "gateway"):
            self.emit(name, changed)
        self.emit("membership", ConfigurationRevision(document.revision))
        return True


def pack_document(document: ConfigurationDocument) -> str:
    """Return the compressed form of a document for peers."""
    raw = document.model_dump_json().encode()
    return base64.b64encode(zlib.compress(raw)).decode()


def unpack_document(packed: str) -> Result[ConfigurationDocument, str]:
    """Return the document in a compressed form, or what is wrong with it."""
    try:
        decompressor = zlib.decompressobj()
        raw = decompressor.decompress(base64.b64decode(packed), MAX_DOCUMENT_BYTES)
    except (ValueError, zlib.error) as error:
        return Error(f"cannot be unpacked: {error}")
    if decompressor.unconsumed_tail:
        return Error("document is too large")
    if not decompressor.eof:
        return Error("document is cut short")
    parsed = parse_document(raw.decode(errors="replace"))
    return Ok(parsed.ok) if parsed.is_ok() else Error(parsed.error)
