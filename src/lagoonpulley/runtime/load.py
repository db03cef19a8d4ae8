"""Load of one process: messages of its roles, and calls and bytes of its ports."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

from ..observability.prometheus import CallCounters
from .role_meter import KindLoad, RoleMeter

__all__ = [
    "CallLoad",
    "LoadInterval",
    "LoadMeter",
    "LoadReader",
    "LoadSource",
    "NoLoad",
    "PortMeter",
    "RoleLoad",
]


class CallLoad(NamedTuple):
    """Completed calls of one operation, and their bytes with headers."""

    calls: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0

    def plus(self, calls: int, sent_bytes: int, received_bytes: int) -> CallLoad:
        """Return the sum with further calls."""
        return CallLoad(
            self.calls + calls,
            self.sent_bytes + sent_bytes,
            self.received_bytes + received_bytes,
        )


class RoleLoad(NamedTuple):
    """Load of one role in an interval.

    ``busy_s`` is the time that the role spent processing, which includes waiting for
    the processor. ``max_delay_s`` is the longest time between queueing a message and
    the begin of its processing, both in seconds. ``queued`` is the number of messages
    in its mailbox at the end.
    """

    messages: int
    busy_s: float
    max_delay_s: float
    queued: int
    by_kind: dict[str, KindLoad]


class LoadInterval(NamedTuple):
    """Load of a process during ``duration_s`` seconds.

    ``processor_s`` is the processor time that all its threads used, in seconds.
    """

    duration_s: float
    processor_s: float
    role_by_name: dict[str, RoleLoad]
    calls_by_port: dict[str, dict[str, CallLoad]]

    def max_delay_s(self) -> float:
        """Return the longest delay of a message of any role, in seconds."""
        return max((load.max_delay_s for load in self.role_by_name.values()), default=0)

    def calls_of(self, port: str) -> CallLoad:
        """Return the sum over all operations of a port."""
        total = CallLoad()
        for load in self.calls_by_port.get(port, {}).values():
            total = total.plus(*load)
        return total


class LoadSource(Protocol):
    """Reports the load of this process, one interval after the other."""

    def read(self, at: float) -> LoadInterval:
        """Return the load since the previous call; the first one returns no time.

        :param at: monotonic time in seconds.
        """
        ...


class NoLoad:
    """Reports no load; used where nothing is measured."""

    def read(self, at: float) -> LoadInterval:
        """See :class:`LoadSource`."""
        return LoadInterval(0.0, 0.0, {}, {})


class PortMeter:
    """Counts the calls of one port; only the port's thread calls :meth:`record`."""

    def __init__(self, port: str) -> None:
        self._port = port
        self._load_by_operation: dict[str, CallLoad] = {}
        self._counters_by_operation: dict[str, CallCounters] = {}

    def record(self, operation: str, sent_bytes: int, received_bytes: int) -> None:
        """Count one completed call.

        :param operation: name of the type of the operation.
        :param sent_bytes: bytes of the request, with headers.
        :param received_bytes: bytes of the response, with headers; of a call that
            timed out, the bytes that arrived.
        """
        counters = self._counters_by_operation.get(operation)
        if counters is None:
            counters = CallCounters(self._port, operation)
            self._counters_by_operation[operation] = counters
        counters.add(sent_bytes, received_bytes)
        load = self._load_by_operation.get(operation, CallLoad())
        self._load_by_operation[operation] = load.plus(1, sent_bytes, received_bytes)

    def totals(self) -> dict[str, CallLoad]:
        """Return the calls since the start, by operation."""
        return self._load_by_operation.copy()


class LoadMeter:
    """Meters of all roles and ports of a process.

    :param processor_time: returns the processor time of the process in seconds.
    """

    def __init__(self, processor_time: Callable[[], float] = time.process_time) -> None:
        self.processor_time = processor_time
        self.role_by_name: dict[str, RoleMeter] = {}
        self.port_by_name: dict[str, PortMeter] = {}
        self.readers = 0

    def add_role(self, name: str) -> RoleMeter:
        """Create the meter of a role."""
        meter = self.role_by_name[name] = RoleMeter(name)
        for _ in range(self.readers):
            meter.add_reader()
        return meter

    def add_port(self, name: str) -> PortMeter:
        """Create the meter of a port."""
        meter = self.port_by_name[name] = PortMeter(name)
        return meter

    def add_reader(self) -> LoadReader:
        """Create a reader, whose intervals are independent of other readers."""
        for meter in self.role_by_name.values():
            meter.add_reader()
        self.readers += 1
        return LoadReader(self, self.readers - 1)


class LoadReader:
    """Reads a :class:`LoadMeter`; calls to one reader must not overlap.

    :param index: number of this reader at the meters of the roles.
    """

    def __init__(self, meter: LoadMeter, index: int) -> None:
        self._meter = meter
        self._index = index
        self._read_at: float | None = None
        self._processor_time_s = 0.0
        self._kinds_by_role: dict[str, dict[str, KindLoad]] = {}
        self._calls_by_port: dict[str, dict[str, CallLoad]] = {}

    def read(self, at: float) -> LoadInterval:
        """See :class:`LoadSource`."""
        duration_s = 0.0 if self._read_at is None else at - self._read_at
        self._read_at = at
        processor_time_s = self._meter.processor_time()
        processor_s = processor_time_s - self._processor_time_s
        self._processor_time_s = processor_time_s
        return LoadInterval(
            duration_s,
            processor_s,
            {name: self._read_role(name) for name in self._meter.role_by_name},
            {name: self._read_port(name) for name in self._meter.port_by_name},
        )

    def _read_role(self, name: str) -> RoleLoad:
        meter = self._meter.role_by_name[name]
        totals = meter.totals()
        before = self._kinds_by_role.get(name, {})
        self._kinds_by_role[name] = totals
        by_kind = {}
        for kind, load in totals.items():
            earlier = before.get(kind, KindLoad())
            if load.messages > earlier.messages:
                by_kind[kind] = KindLoad(
                    load.messages - earlier.messages, load.busy_s - earlier.busy_s
                )
        return RoleLoad(
            messages=sum(load.messages for load in by_kind.values()),
            busy_s=sum(load.busy_s for load in by_kind.values()),
            max_delay_s=meter.take_max_delay(self._index),
            queued=meter.queued,
            by_kind=by_kind,
        )

    def _read_port(self, name: str) -> dict[str, CallLoad]:
        totals = self._meter.port_by_name[name].totals()
        before = self._calls_by_port.get(name, {})
        self._calls_by_port[name] = totals
        by_operation = {}
        for operation, load in totals.items():
            earlier = before.get(operation, CallLoad())
            if load.calls > earlier.calls:
                by_operation[operation] = CallLoad(
                    load.calls - earlier.calls,
                    load.sent_bytes - earlier.sent_bytes,
                    load.received_bytes - earlier.received_bytes,
                )
        return by_operation
