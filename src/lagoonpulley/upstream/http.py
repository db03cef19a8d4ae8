"""HTTP adapter for the commands of :mod:`.messages`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pydantic import TypeAdapter, ValidationError

from ..model.verdict import Ran
from ..runtime.curl import CurlLoop, HttpAnswer, HttpCall, HttpFailure
from ..runtime.role import CallFailed, Now, Reply, Request
from .lease_check import check_sender_lease
from .messages import (
    Fence,
    FenceResult,
    StartResult,
    StartTasks,
    StopResult,
    StopTask,
    Sync,
    SyncResult,
    UpstreamCall,
    WorkerRefusal,
)

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["COMMAND_ADAPTER_BY_PATH", "PATH_BY_COMMAND", "UpstreamPort"]

HTTP_OK = 200
HTTP_PRECONDITION_FAILED = 412

PATH_BY_COMMAND = {
    Fence: "fence",
    StartTasks: "start",
    StopTask: "stop",
    Sync: "sync",
}
COMMAND_ADAPTER_BY_PATH = {
    path: TypeAdapter(command) for command, path in PATH_BY_COMMAND.items()
}
_RESULT_ADAPTER_BY_COMMAND = {
    Fence: TypeAdapter(FenceResult),
    StartTasks: TypeAdapter(StartResult),
    StopTask: TypeAdapter(StopResult),
    Sync: TypeAdapter(SyncResult),
}
_REFUSAL_ADAPTER = TypeAdapter(WorkerRefusal)


class UpstreamPort:
    """Sends commands to workers and replies to the requesting role.

    :param deliver: puts a message into the mailbox of a role.
    :param clocks: returns the current monotonic and wall-clock time.
    """

    def __init__(
        self, deliver: Callable[[str, Any], None], clocks: Callable[[], Now]
    ) -> None:
        self._deliver = deliver
        self._clocks = clocks
        self._loop = CurlLoop("upstream-port")

    def submit(self, message: Request) -> None:
        """Send one command, unless the sender's lease has expired."""
        call: UpstreamCall = message.operation
        refused = check_sender_lease(call, self._clocks())
        if refused is not None:
            self._deliver(message.reply_to, Reply(message.request_id, refused))
            return
        kind = type(call.command)
        adapter = COMMAND_ADAPTER_BY_PATH[PATH_BY_COMMAND[kind]]
        http_call = HttpCall(
            "POST",
            f"{call.address}/v1/{PATH_BY_COMMAND[kind]}",
            adapter.dump_json(call.command),
            message.timeout_s,
        )

        def complete(outcome: HttpAnswer | HttpFailure) -> None:
            result = _decode(kind, outcome)
            self._deliver(message.reply_to, Reply(message.request_id, result))

        self._loop.submit(http_call, complete)

    def close(self) -> None:
        """Stop the adapter's thread."""
        self._loop.close()


def _decode(kind: type, outcome: HttpAnswer | HttpFailure) -> Any:
    if isinstance(outcome, HttpFailure):
        return CallFailed(outcome.ran, outcome.reason)
    try:
        if outcome.status == HTTP_OK:
            return _RESULT_ADAPTER_BY_COMMAND[kind].validate_json(outcome.body)
        if outcome.status == HTTP_PRECONDITION_FAILED:
            return _REFUSAL_ADAPTER.validate_json(outcome.body)
    except ValidationError as error:
        return CallFailed(Ran.MAYBE, f"worker answer not understood: {error}")
    return CallFailed(Ran.MAYBE, f"worker answered with status {outcome.status}")
