"""Waiting in the main thread for the signal to stop."""

from __future__ import annotations

import signal
import threading
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["StopSignals"]

# The kernel may hand a signal to any thread. It then does not interrupt a wait of the
# main thread, which alone runs handlers, so that no such wait may be unbounded.
CHECK_EVERY_S = 0.5


class StopSignals:
    """SIGTERM and SIGINT: the first asks to stop, the second to stop at once."""

    def __init__(self) -> None:
        self.stop = threading.Event()
        self.stop_at_once = threading.Event()

    @classmethod
    def installed(cls) -> StopSignals:
        """Handle the signals of this process from now on."""
        signals = cls()
        signal.signal(signal.SIGTERM, signals._on_signal)
        signal.signal(signal.SIGINT, signals._on_signal)
        return signals

    def wait(self, check: Callable[[], None] | None = None) -> None:
        """Wait until asked to stop.

        :param check: called every half second meanwhile.
        """
        while not self.stop.wait(CHECK_EVERY_S):
            if check is not None:
                check()

    def _on_signal(self, _number: int, _frame: Any) -> None:
        if self.stop.is_set():
            self.stop_at_once.set()
        self.stop.set()
