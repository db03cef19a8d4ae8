"""Stop signals of the process and the wait for them in the main thread."""

from __future__ import annotations

import signal
import threading
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["StopSignals"]

# The kernel may deliver a signal to any thread, but Python runs handlers only in the
# main thread. A signal that another thread received does not interrupt a wait of the
# main thread, so that wait must have a timeout.
POLL_INTERVAL_S = 0.5


class StopSignals:
    """Handles SIGTERM and SIGINT; a second signal requests an immediate stop."""

    def __init__(self) -> None:
        self.stop = threading.Event()
        self.stop_at_once = threading.Event()

    @classmethod
    def install(cls) -> StopSignals:
        """Install the handlers in this process."""
        signals = cls()
        signal.signal(signal.SIGTERM, signals._on_signal)
        signal.signal(signal.SIGINT, signals._on_signal)
        return signals

    def wait(self, check: Callable[[], None] | None = None) -> None:
        """Wait for the first stop signal.

        :param check: called every half second while waiting.
        """
        while not self.stop.wait(POLL_INTERVAL_S):
            if check is not None:
                check()

    def _on_signal(self, _number: int, _frame: Any) -> None:
        if self.stop.is_set():
            self.stop_at_once.set()
        self.stop.set()
