"""Compares the request rates of two HTTP servers and of an entry.

``python -m benchmarks.http``
"""

from __future__ import annotations

import json
import logging
import queue
import statistics
import threading
import time
from typing import Any

from cheroot.wsgi import Server
from tests.support.fleet import Fleet
from werkzeug.serving import WSGIRequestHandler, make_server
from werkzeug.wrappers import Response

from lagoonpulley.observability.logs import ROOT_LOGGER
from lagoonpulley.runtime.curl import CurlLoop, HttpAnswer, HttpCall

GET_REQUESTS = 1500
JOB_REQUESTS = 150
CONCURRENT_REQUESTS = 6
ROUNDS = 3


class KeepAliveHandler(WSGIRequestHandler):
    """Request handler with HTTP/1.1 keep-alive and without a log line per request."""

    protocol_version = "HTTP/1.1"

    def log_request(self, *_arguments: Any) -> None:
        """Suppress the log line per request."""


def answer_wsgi_request(environ: dict[str, Any], start_response: Any) -> Any:
    """Answer every request with a short JSON object."""
    response = Response('{"ready":true}', content_type="application/json")
    return response(environ, start_response)


def measure_requests_per_s(call: HttpCall, count: int) -> float:
    """Return the rate at which a server answers requests.

    :param count: total number of requests; at most ``CONCURRENT_REQUESTS`` of them
        are in flight at a time.
    """
    loop = CurlLoop("load")
    answers: queue.SimpleQueue = queue.SimpleQueue()
    began = time.perf_counter()
    for _ in range(CONCURRENT_REQUESTS):
        loop.submit(call, answers.put)
    for number in range(count):
        answer = answers.get()
        assert isinstance(answer, HttpAnswer), answer
        assert answer.status < 400, answer
        if number + CONCURRENT_REQUESTS < count:
            loop.submit(call, answers.put)
    rate = count / (time.perf_counter() - began)
    loop.close()
    return rate


def main() -> None:
    """Measure all targets in turn; print median rates and their ratio to cheroot's."""
    logger = logging.getLogger(ROOT_LOGGER)
    logger.addHandler(logging.NullHandler())
    logger.propagate = False
    werkzeug_server = make_server(
        "127.0.0.1",
        0,
        answer_wsgi_request,
        threaded=True,
        request_handler=KeepAliveHandler,
    )
    threading.Thread(target=werkzeug_server.serve_forever, daemon=True).start()
    cheroot_server = Server(("127.0.0.1", 0), answer_wsgi_request, numthreads=32)
    cheroot_server.prepare()
    threading.Thread(target=cheroot_server.serve, daemon=True).start()
    fleet = Fleet(entries=1)
    entry = fleet.wait_for_owner()
    body = json.dumps(
        {"queue": "enquiries", "run_time_s": 0.001, "exclusive": False}
    ).encode()
    jobs_url = f"http://{entry.http_address}/v1/jobs"
    json_header = "Content-Type: application/json"
    targets = {
        "werkzeug's own server": _get(f"http://127.0.0.1:{werkzeug_server.port}/"),
        "cheroot": _get(f"http://127.0.0.1:{cheroot_server.bind_addr[1]}/"),
        "entry, /v1/ready": _get(f"http://{entry.http_address}/v1/ready"),
        "entry, enquiry accepted durably": HttpCall(
            "POST", jobs_url, body, 30.0, (json_header,)
        ),
        "entry, enquiry placed, run and answered": HttpCall(
            "POST", jobs_url, body, 30.0, (json_header, "Prefer: wait=20")
        ),
    }
    rates_by_target: dict[str, list[float]] = {name: [] for name in targets}
    for _ in range(ROUNDS):
        for name, call in targets.items():
            count = GET_REQUESTS if call.method == "GET" else JOB_REQUESTS
            rates_by_target[name].append(measure_requests_per_s(call, count))
    cheroot_rate = statistics.median(rates_by_target["cheroot"])
    for name, values in rates_by_target.items():
        median = statistics.median(values)
        print(
            f"{name}: {median:.0f} requests/s, "
            f"{median / cheroot_rate:.2f} of bare cheroot"
        )
    werkzeug_server.shutdown()
    cheroot_server.stop()
    fleet.close()


def _get(url: str) -> HttpCall:
    return HttpCall("GET", url, b"", 30.0)


if __name__ == "__main__":
    main()
