"""WSGI application for callers and operators."""

from __future__ import annotations

import hashlib
import json
import logging
import re
import uuid
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from werkzeug.exceptions import HTTPException, MethodNotAllowed
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from ..membership.messages import StatusQuery
from ..model.job import Job, JobKind
from ..model.resources import Resources
from ..model.verdict import Ran
from ..routing.home import job_id_of, new_idempotency_key
from ..routing.messages import RouteCancel, RouteFetch, RouteSubmit
from ..scheduler.messages import GroupStatusQuery
from .problems import Problem, problem_from_refusal, refusal_to_json
from .schema import MILLI, JobRequest, parse_jobs

if TYPE_CHECKING:
    from ..observability.logs import DecisionBuffer
    from ..observability.metrics import Metrics
    from ..peers.messages import JobAnswer, JobStatus, JobVerdict
    from ..routing.messages import RouteSubmitResult
    from ..runtime.actors import Runtime
    from ..settings.schema import Settings
    from .access import AccessControl
    from .admission import Admission

__all__ = ["GatewayApp"]

ACCEPT_TIMEOUT_S = 10.0
# Time to route a request, in addition to the wait that the caller requested.
LOOKUP_TIMEOUT_S = 15.0
STATUS_TIMEOUT_S = 5.0
SLOTS_PER_TASK = 1
MAX_KEY_LENGTH = 200

_PREFER_WAIT = re.compile(r"(?:^|[,;\s])wait=(\d{1,6}(?:\.\d{1,3})?)\s*(?:$|[,;\s])")
_UNFINISHED_STATES = frozenset(("pending", "running"))

_log = logging.getLogger(__name__)

_URL_MAP = Map(
    [
        Rule("/v1/jobs", methods=["POST"], endpoint="submit"),
        Rule("/v1/jobs/<job_id>", methods=["GET"], endpoint="fetch"),
        Rule("/v1/jobs/<job_id>", methods=["DELETE"], endpoint="cancel"),
        Rule("/v1/jobs/<job_id>/decisions", methods=["GET"], endpoint="decisions"),
        Rule("/v1/ids", methods=["POST"], endpoint="new_id"),
        Rule("/v1/status", methods=["GET"], endpoint="status"),
        Rule("/v1/live", methods=["GET"], endpoint="live"),
        Rule("/v1/ready", methods=["GET"], endpoint="ready"),
    ]
)


class GatewayApp:
    """Authenticates and validates requests and answers them through the roles."""

    def __init__(
        self,
        settings: Settings,
        runtime: Runtime,
        access: AccessControl,
        admission: Admission,
        decisions: DecisionBuffer,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._runtime = runtime
        self._access = access
        self._admission = admission
        self._decisions = decisions
        self._metrics = metrics

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Answer one request."""
        response = self._respond(Request(environ))
        self._metrics.count(f"gateway.status_{response.status_code}")
        return response(environ, start_response)

    def _respond(self, request: Request) -> Response:
        try:
            endpoint, values = _URL_MAP.bind_to_environ(request.environ).match()
            return getattr(self, f"_on_{endpoint}")(request, **values)
        except Problem as problem:
            return problem.to_response()
        except MethodNotAllowed as error:
            detail = f"allowed: {', '.join(sorted(error.valid_methods or ()))}"
            return Problem("method_not_allowed", Ran.NO, detail).to_response()
        except HTTPException as error:
            detail = error.description or "no such path"
            return Problem("not_found", Ran.NO, detail).to_response()
        except Exception:
            _log.exception("unhandled exception in a request handler")
            detail = "the entry failed to answer; see its log"
            return Problem("internal_error", Ran.MAYBE, detail, 1.0).to_response()

    def _on_submit(self, request: Request) -> Response:
        length = request.content_length
        if length is None:
            raise Problem("length_required", Ran.NO, "Content-Length is needed")
        with self._admission.admit(length):
            return self._submit(request)

    def _submit(self, request: Request) -> Response:
        parsed = parse_jobs(request.get_data())
        if parsed.is_error():
            raise Problem("bad_request", Ran.NO, parsed.error)
        wait_s = self._wait_from_prefer(request)
        header_key = self._read_idempotency_key(request)
        job_requests = parsed.ok.jobs
        if header_key is not None and len(job_requests) > 1:
            detail = "several jobs carry their keys as idempotency_key members"
            raise Problem("bad_request", Ran.NO, detail)
        key = _bearer_key(request)
        jobs = []
        for job_request in job_requests:
            team = self._access.team_for_queue(job_request.queue, key)
            jobs.append(self._to_job(job_request, team, header_key, wait_s))
        if len({job.id for job in jobs}) != len(jobs):
            raise Problem("bad_request", Ran.NO, "two jobs have the same key")
        routed = self._route_submit(tuple(jobs), wait_s)
        if len(jobs) > 1:
            return _multi_job_response(routed)
        return self._single_job_response(jobs[0], routed, wait_s)

    def _route_submit(self, jobs: tuple[Job, ...], wait_s: float) -> RouteSubmitResult:
        message = RouteSubmit(jobs, ACCEPT_TIMEOUT_S, wait_s)
        timeout_s = ACCEPT_TIMEOUT_S + wait_s + LOOKUP_TIMEOUT_S
        return self._call("routing", message, timeout_s)

    def _single_job_response(
        self, job: Job, routed: RouteSubmitResult, wait_s: float
    ) -> Response:
        refusal = routed.verdicts[0].refusal
        if refusal is not None:
            raise problem_from_refusal(refusal)
        status = routed.status
        if status is not None and status.state not in _UNFINISHED_STATES:
            return _json(_status_to_json(status))
        if wait_s and not job.durable:
            ran = status.ran if status is not None else Ran.MAYBE
            # The task may have started after this status was read.
            if ran is Ran.NO:
                ran = Ran.MAYBE
            raise Problem("wait_ended", ran, "the job was not done in time", 1.0)
        state = status.state if status is not None else "pending"
        response = _json({"job": job.id, "state": state}, status=202)
        response.headers["Location"] = f"/v1/jobs/{job.id}"
        return response

    def _to_job(
        self, job_request: JobRequest, team: str, header_key: str | None, wait_s: float
    ) -> Job:
        key = job_request.idempotency_key or header_key
        if key is None and not job_request.repeatable:
            raise Problem(
                "idempotency_key_missing",
                Ran.NO,
                "a job that may not be repeated needs an Idempotency-Key",
            )
        payload = job_request.payload_text()
        if key is None:
            key = f"{self._settings.data_centre}/{uuid.uuid4()}"
        durable = job_request.durable
        if durable is None:
            durable = not (
                wait_s > 0 and job_request.repeatable and job_request.tasks == 1
            )
        if not job_request.repeatable:
            durable = True
        resources = job_request.resources
        return Job(
            id=job_id_of(team, key, self._settings.data_centres),
            team=team,
            queue=job_request.queue,
            kind=JobKind(job_request.kind),
            tasks=job_request.tasks,
            request=Resources(
                max(1, round(resources.processors * MILLI)),
                resources.memory_mb,
                resources.accelerators,
                SLOTS_PER_TASK,
                resources.connections,
            ),
            run_time_s=job_request.run_time_s,
            deadline_s=job_request.deadline_s,
            repeatable=job_request.repeatable,
            exclusive=job_request.exclusive,
            durable=durable,
            task_class=job_request.task_class,
            payload=payload,
            digest=_request_digest(job_request),
        )

    def _on_fetch(self, request: Request, job_id: str) -> Response:
        wait_s = self._wait_from_query(request)
        team = self._team_or_none(request)
        with self._admission.admit(0):
            message = RouteFetch(job_id, team or "", wait_s)
            answer = self._call("routing", message, wait_s + LOOKUP_TIMEOUT_S)
        return _json(_status_to_json(self._require_visible(answer, team)))

    def _on_cancel(self, request: Request, job_id: str) -> Response:
        team = self._team_or_none(request)
        with self._admission.admit(0):
            if team is None:
                fetched = self._call(
                    "routing", RouteFetch(job_id, "", 0.0), LOOKUP_TIMEOUT_S
                )
                self._require_visible(fetched, None)
            answer = self._call(
                "routing", RouteCancel(job_id, team or ""), LOOKUP_TIMEOUT_S
            )
        return _json(_status_to_json(self._require_visible(answer, team)))

    def _on_new_id(self, _request: Request) -> Response:
        key = new_idempotency_key(self._settings.data_centre)
        return _json({"idempotency_key": key}, status=201)

    def _team_or_none(self, request: Request) -> str | None:
        key = _bearer_key(request)
        return self._access.team_of_key(key) if key else None

    def _require_visible(self, answer: JobAnswer, team: str | None) -> JobStatus:
        """Return a job's status.

        :raises Problem: when the job is unknown or the caller may not see it.
        """
        if answer.status is None:
            raise problem_from_refusal(answer.refusal)
        if team is None and not self._access.is_open_queue(answer.status.queue):
            raise Problem("key_missing", Ran.NO, "a key is needed: Authorization")
        return answer.status

    def _on_status(self, _request: Request) -> Response:
        members = self._call("membership", StatusQuery(), STATUS_TIMEOUT_S)
        groups = self._call("scheduler", GroupStatusQuery(), STATUS_TIMEOUT_S)
        body = {
            "entry": asdict(members.me),
            "revision": self._access.revision,
            "peers": [asdict(peer) for peer in members.peers],
            "silent": list(members.silent_ids),
            "owners": [asdict(owner) for owner in members.owners],
            "groups": [asdict(group) for group in groups],
            "in_flight": self._admission.in_flight,
        }
        return _json(body)

    def _on_decisions(self, request: Request, job_id: str) -> Response:
        answer = self._on_fetch(request, job_id)
        if answer.status_code != 200:
            return answer
        return _json({"job": job_id, "events": self._decisions.events_of_job(job_id)})

    def _on_live(self, _request: Request) -> Response:
        return _json({"live": True})

    def _on_ready(self, _request: Request) -> Response:
        if self._admission.is_stopping:
            raise Problem("stopping", Ran.NO, "this entry is stopping")
        if not self._access.is_ready:
            raise Problem("not_ready", Ran.NO, "no configuration is in force here yet")
        return _json({"ready": True, "revision": self._access.revision})

    def _call(self, role: str, message: Any, timeout_s: float) -> Any:
        request_id = f"caller:{uuid.uuid4()}"
        try:
            return self._runtime.call(role, message, timeout_s, request_id)
        except TimeoutError:
            detail = "the entry did not answer in time"
            raise Problem("timeout", Ran.MAYBE, detail, 1.0) from None

    def _wait_from_prefer(self, request: Request) -> float:
        match = _PREFER_WAIT.search(request.headers.get("Prefer", ""))
        if match is None:
            return 0.0
        return min(float(match.group(1)), self._settings.admission.longest_wait_s)

    def _wait_from_query(self, request: Request) -> float:
        text = request.args.get("wait", "0")
        try:
            wait_s = float(text)
        except ValueError:
            wait_s = -1.0
        if not 0.0 <= wait_s < float("inf"):
            raise Problem("bad_request", Ran.NO, "wait is not a number of seconds")
        return min(wait_s, self._settings.admission.longest_wait_s)

    @staticmethod
    def _read_idempotency_key(request: Request) -> str | None:
        key = request.headers.get("Idempotency-Key")
        if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
            detail = f"Idempotency-Key has 1 to {MAX_KEY_LENGTH} characters"
            raise Problem("bad_request", Ran.NO, detail)
        return key


def _bearer_key(request: Request) -> str | None:
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer":
        return None
    return key.strip() or None


def _request_digest(job_request: JobRequest) -> str:
    text = job_request.model_dump_json(exclude={"idempotency_key"})
    return hashlib.sha256(text.encode()).hexdigest()


def _multi_job_response(routed: RouteSubmitResult) -> Response:
    verdicts = [_verdict_to_json(verdict) for verdict in routed.verdicts]
    return _json({"jobs": verdicts}, status=207)


def _verdict_to_json(verdict: JobVerdict) -> dict[str, Any]:
    if verdict.refusal is None:
        return {"job": verdict.job_id, "state": "pending"}
    return refusal_to_json(verdict.refusal)


def _status_to_json(status: JobStatus) -> dict[str, Any]:
    return {
        "job": status.job_id,
        "team": status.team,
        "queue": status.queue,
        "state": status.state,
        "ran": status.ran.value,
        "tasks": [asdict(task) for task in status.tasks],
    }


def _json(body: dict[str, Any], status: int = 200) -> Response:
    return Response(json.dumps(body), status=status, content_type="application/json")
