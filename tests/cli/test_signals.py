"""Signals that reach another thread than the one that waits."""

from __future__ import annotations

import signal
import threading

import pytest

from lagoonpulley.cli.signals import StopSignals


@pytest.fixture
def signals():
    before = {n: signal.getsignal(n) for n in (signal.SIGTERM, signal.SIGINT)}
    yield StopSignals.installed()
    for number, handler in before.items():
        signal.signal(number, handler)


def signal_own_thread():
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)


def test_stop_is_noticed_when_another_thread_took_the_signal(signals):
    # A timer thread takes the signal while the main thread already waits.
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
