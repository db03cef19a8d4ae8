"""Tests of stop signals.

The kernel may deliver a signal to a thread other than the main thread. It then does
not interrupt the wait of the main thread, which must notice the signal all the same.
"""

from __future__ import annotations

import signal
import threading

import pytest

from lagoonpulley.cli.signals import StopSignals


@pytest.fixture
def signals():
    before = {n: signal.getsignal(n) for n in (signal.SIGTERM, signal.SIGINT)}
    yield StopSignals.install()
    for number, handler in before.items():
        signal.signal(number, handler)


def signal_own_thread():
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)


def test_stop_is_noticed_when_another_thread_receives_the_signal(signals):
    # The timer thread receives the signal while the main thread is already waiting.
    timer = threading.Timer(0.2, signal_own_thread)
    timer.start()
    signals.wait()
    timer.join()
    assert signals.stop.is_set()
    assert not signals.stop_at_once.is_set()


def test_second_signal_stops_at_once(signals):
    for _ in range(2):
        signal.raise_signal(signal.SIGTERM)
    signals.wait()
    assert signals.stop_at_once.is_set()


def test_check_runs_while_waiting(signals):
    calls = []

    def check():
        calls.append(1)
        signals.stop.set()

    signals.wait(check)
    assert calls == [1]
