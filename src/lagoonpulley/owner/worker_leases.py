"""When the leases of all runs on a worker have certainly expired."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = [
    "LONGEST_SYNC_LEASE_S",
    "MAX_COMMAND_DELAY_S",
    "MAX_OPEN_ATTEMPTS",
    "START_WINDOW_S",
    "TimedCommand",
    "WorkerLeases",
    "latest_lease_end",
    "longest_lease_s",
    "may_have_former_times",
]

# How long after it was sent a command without an answer may still be carried out.
MAX_COMMAND_DELAY_S = 12.5
# A worker refuses a start that reaches it later than this after it was sent, by its own
# clock. A start extends the leases by as much.
START_WINDOW_S = 1.5
# Attempts to start one run that a worker may still carry out. Before another one, it
# has to answer a command under a later token.
MAX_OPEN_ATTEMPTS = 3
# Longest lease that a sync grants. A worker gets no other sync that grants one while
# such a sync has no answer.
LONGEST_SYNC_LEASE_S = 5.0
# Share by which a worker's clock may run slower than the owner's.
CLOCK_DRIFT_RATIO = 0.02
# Added to the computed end of a lease before the lease counts as expired.
LEASE_MARGIN_S = 0.3
# Of leases that others may have granted: clocks that run slower, and commands on their
# way.
UNKNOWN_LEASE_RATIO = 1.05
UNKNOWN_LEASE_MARGIN_S = 0.5
# By how much the wall clocks of two machines may differ.
MAX_CLOCK_SKEW_S = 5.0


def latest_lease_end(granted_by: float, max_lease_s: float) -> float:
    """Return by when a lease has surely expired that was granted by some time.

    Times are monotonic seconds.
    """
    return granted_by + max_lease_s * UNKNOWN_LEASE_RATIO + UNKNOWN_LEASE_MARGIN_S


def longest_lease_s(length_s: float) -> float:
    """Return how long a lease of ``length_s`` on the worker's clock lasts at most."""
    return length_s / (1.0 - CLOCK_DRIFT_RATIO) + LEASE_MARGIN_S


def may_have_former_times(started_at: float, wall: float, max_lease_s: float) -> bool:
    """Return whether a worker may hold a lease until a time of its former clock.

    A command that was meant for its former incarnation may reach it once it has
    started. If the time in it is far ahead on the new clock, the lease is the longest.

    :param started_at: when the worker started, in seconds of its wall clock.
    :param wall: when those commands ceased, in seconds of the own wall clock.
    """
    over_at = latest_lease_end(started_at + MAX_COMMAND_DELAY_S, max_lease_s)
    return started_at - MAX_CLOCK_SKEW_S < wall < over_at + MAX_CLOCK_SKEW_S


@dataclass(frozen=True, slots=True, eq=False)
class TimedCommand:
    """A command that extends all leases on the worker that carries it out.

    It is carried out by ``latest_at`` or never, and extends the leases to at most
    ``lease_s`` seconds after that: its time may count from its arrival. If the worker
    answers it, the leases end by ``answered_until``. ``until_ms`` is the time that it
    carries, on the worker's clock. Times without a unit are monotonic seconds.
    """

    token: int
    until_ms: int
    latest_at: float
    lease_s: float
    answered_until: float

    @property
    def is_over_at(self) -> float:
        """When the command extends no lease any more."""
        return self.latest_at + self.lease_s

    def longest_gain_s(self, until: float) -> float:
        """Return by how much the command extends a lease at most.

        :param until: when that lease ends without it, or later, in monotonic seconds.
        """
        return max(0.0, min(self.lease_s, self.is_over_at - until))


@dataclass(slots=True, eq=False)
class WorkerLeases:
    """The leases that a worker may have by the commands that were sent to it.

    ``certain_until`` is the end of those by commands that it has carried out, and
    ``granted_until`` of those of the present owner among them, in monotonic seconds.
    ``in_flight`` are commands whose answer is still awaited, and
    ``unanswered`` are those that it may carry out without a further answer.
    """

    certain_until: float
    granted_until: float = float("-inf")
    in_flight: list[TimedCommand] = field(default_factory=list)
    unanswered: list[TimedCommand] = field(default_factory=list)

    @property
    def expire_at(self) -> float:
        """When the leases of all runs have expired, in monotonic seconds."""
        return self.latest_end(self.certain_until)

    def latest_end(self, until: float) -> float:
        """Return by when a lease has expired that lasts until some time by itself.

        A command extends only a lease that has not expired before it is carried out, so
        several ones extend it further if they are carried out one after the other, in
        any order: each by no more than its own length, and not beyond the end that it
        has if it is carried out last. Times are monotonic seconds.
        """
        until = max(until, self.certain_until)
        commands = self.in_flight + self.unanswered
        gain_by_command = {each: each.longest_gain_s(until) for each in commands}
        gain_s = sum(gain_by_command.values())
        latest = until
        for command, own_gain_s in gain_by_command.items():
            last_at = min(command.latest_at, until + gain_s - own_gain_s)
            latest = max(latest, last_at + command.lease_s)
        return latest

    def presume(self, until: float) -> None:
        """Record that commands of others may have extended the leases until a time."""
        self.certain_until = max(self.certain_until, until)

    def begin(self, command: TimedCommand, now: float) -> None:
        """Record that a command is sent."""
        self.unanswered = [each for each in self.unanswered if now < each.is_over_at]
        self.in_flight.append(command)

    def record_answer(self, command: TimedCommand) -> None:
        """Record that the worker has carried out a command and answered it."""
        self.withdraw(command)
        self._extend(command.answered_until)

    def record_silence(self, command: TimedCommand) -> None:
        """Record that a command got no answer; the worker may still carry it out."""
        self.withdraw(command)
        self.unanswered.append(command)

    def withdraw(self, command: TimedCommand) -> None:
        """Record that a command was not carried out, and will not be."""
        if command in self.in_flight:
            self.in_flight.remove(command)

    def void_below(self, token: int, now: float) -> None:
        """Record that the worker has seen a token, so that lower ones are refused.

        It may have carried out any of the commands with a lower one just before.
        """
        kept = []
        for command in self.unanswered:
            if command.token >= token:
                kept.append(command)
                continue
            self._extend(min(now, command.latest_at) + command.lease_s)
        self.unanswered = kept

    def _extend(self, until: float) -> None:
        self.certain_until = max(self.certain_until, until)
        self.granted_until = max(self.granted_until, until)

    def needs_token_above(self, token: int) -> bool:
        """Return whether an unanswered command is refused only under a later token."""
        return any(command.token >= token for command in self.unanswered)
