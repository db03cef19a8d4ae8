"""Applies new configuration from the store and distributes it between entries."""

from __future__ import annotations

import base64
import random
import zlib
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from ..membership.messages import ConfigurationRevision, PeersView
from ..observability.events import log_event
from ..peers.calls import PeerCall
from ..peers.messages import ConfigurationAnswer, ConfigurationOffer, FetchConfiguration
from ..runtime.flows import Call, Flow, FlowRole, Sleep
from ..runtime.role import PEERS, STORE, CallFailed, Request, Tick
from ..store.messages import StoreResult, Watch
from .document import CONFIGURATION_KEY, ConfigurationDocument, parse_document
from .messages import ConfigurationChanged, ConfigurationConfirmed

if TYPE_CHECKING:
    from ..settings.schema import Settings

__all__ = ["ConfigurationRole", "pack_document", "unpack_document"]

WATCH_WAIT_S = 2.5
WATCH_TIMEOUT_MARGIN_S = 0.5
WATCH_RETRY_DELAY_S = 0.5
POLL_INTERVAL_S = 10.0
INITIAL_READ_RETRY_S = 1.0
# A document may be long and the link slow; the other limits are then on silence.
READ_TOTAL_TIMEOUT_S = 10.0
PEER_TIMEOUT_S = 2.0
MAX_DOCUMENT_BYTES = 4_000_000


class ConfigurationRole(FlowRole):
    """Applies a document only if its revision is higher than the current one.

    One entry of a data centre watches the store and relays new documents to the
    others. Every entry also polls the store and gets a document only if there is a
    newer one.
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
        self._is_watching = False
        self._is_polling = False
        self._is_fetching = False
        self._next_poll_at = float("-inf")

    @classmethod
    def from_settings(cls, entry_id: str, settings: Settings) -> ConfigurationRole:
        """Create the role of one entry."""
        return cls(entry_id, settings)

    @property
    def revision(self) -> int:
        """The applied revision, or 0 before the first document."""
        return self._document.revision if self._document is not None else 0

    def receive(self, message: Any) -> None:
        """Process a tick, a membership view or a request of a peer."""
        match message:
            case Tick():
                self._tick()
            case PeersView():
                self._view = message
                self._fetch_from_peer(message)
            case Request(operation=ConfigurationOffer(revision, packed)):
                self._apply_packed(revision, packed)
                self.answer(message, ConfigurationAnswer(self.revision))
            case Request(operation=FetchConfiguration(above_revision)):
                has_newer = self.revision > above_revision
                packed = self._packed if has_newer else ""
                self.answer(message, ConfigurationAnswer(self.revision, packed))

    def _tick(self) -> None:
        if not self._is_watching and self._should_watch():
            self._is_watching = True
            self.start(self._watch())
        if not self._is_polling and self.now.mono >= self._next_poll_at:
            self._is_polling = True
            self.start(self._poll_store())

    def _should_watch(self) -> bool:
        if self._view is None:
            return False
        live = [
            info.entry_id
            for info in self._view.local
            if not info.leaving and info.entry_id not in self._view.suspect_ids
        ]
        return bool(live) and min(live) == self._entry_id

    def _watch(self) -> Flow:
        while self._should_watch():
            sent_at = self.now.mono
            operation = Watch(CONFIGURATION_KEY, self._store_revision, WATCH_WAIT_S)
            silence_s = WATCH_WAIT_S + WATCH_TIMEOUT_MARGIN_S
            result = yield Call(STORE, operation, silence_s, READ_TOTAL_TIMEOUT_S)
            if isinstance(result, CallFailed):
                yield Sleep(WATCH_RETRY_DELAY_S * (1.0 + self._random.random()))
                continue
            self._apply_from_store(result, sent_at, relay=True)
        self._is_watching = False

    def _poll_store(self) -> Flow:
        sent_at = self.now.mono
        operation = Watch(CONFIGURATION_KEY, self._store_revision, 0.0)
        silence_s = self._settings.store.timeout_s
        result = yield Call(STORE, operation, silence_s, READ_TOTAL_TIMEOUT_S)
        self._is_polling = False
        pause_s = POLL_INTERVAL_S
        if isinstance(result, CallFailed):
            pause_s = INITIAL_READ_RETRY_S if self._document is None else pause_s
        else:
            self._apply_from_store(result, sent_at, relay=False)
        jitter = 0.75 + self._random.random() / 2
        self._next_poll_at = self.now.mono + pause_s * jitter

    def _apply_from_store(
        self, result: StoreResult, sent_at: float, relay: bool
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
        self.emit("gateway", ConfigurationConfirmed(sent_at))

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
        """Fetch the document from a peer that reports a higher revision."""
        if self._is_fetching:
            return
        for info in view.known:
            if info.configuration_revision > self.revision:
                self._is_fetching = True
                self.start(self._fetch(info.address))
                return

    def _fetch(self, address: str) -> Flow:
        call = PeerCall(address, FetchConfiguration(self.revision))
        result = yield Call(PEERS, call, PEER_TIMEOUT_S)
        self._is_fetching = False
        if isinstance(result, ConfigurationAnswer) and result.document:
            self._apply_packed(result.revision, result.document)

    def _apply_packed(self, revision: int, packed: str) -> None:
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
    """Return a document compressed and encoded as text, for sending to peers."""
    raw = document.model_dump_json().encode()
    return base64.b64encode(zlib.compress(raw)).decode()


def unpack_document(packed: str) -> Result[ConfigurationDocument, str]:
    """Decode a document packed by :func:`pack_document`.

    :returns: the document, or a description of the error.
    """
    try:
        decompressor = zlib.decompressobj()
        raw = decompressor.decompress(base64.b64decode(packed), MAX_DOCUMENT_BYTES)
    except (ValueError, zlib.error) as error:
        return Error(f"document cannot be decoded: {error}")
    if decompressor.unconsumed_tail:
        return Error("document is too large")
    if not decompressor.eof:
        return Error("document is truncated")
    parsed = parse_document(raw.decode(errors="replace"))
    return Ok(parsed.ok) if parsed.is_ok() else Error(parsed.error)
