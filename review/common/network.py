"""A path to a worker that can be cut, and that can hold orders back."""

import http.client
import json
import threading
import time

from cell import HOST, free_ports, split
from service import JsonHandler, Server

FORWARD_TIMEOUT_S = 5.0
HEADERS = ("Content-Type", "Expected-Instance")


class Path:
    """Forwards calls to a worker; one thread for each connection.

    ``holds`` tells of a call whether it gets no answer and is kept in ``held``.
    """

    def __init__(self, worker_address, holds):
        self.worker_address = worker_address
        self.holds = holds
        self.held = []
        self.is_cut = False
        (self.port,) = free_ports(1)
        path = self

        class Handler(JsonHandler):
            def answer(self, method, url, body):
                headers = {name: self.headers[name] for name in HEADERS}
                return path.pass_on(url, headers, body)

        self.server = Server((HOST, self.port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def pass_on(self, url, headers, body):
        if self.holds(url, body):
            self.held.append((url, headers, body))
            self.stay_silent()
        if self.is_cut:
            self.stay_silent()
        answer = self.forward(url, headers, body)
        if self.is_cut:
            self.stay_silent()
        return answer

    def stay_silent(self):
        """Give no answer, and leave the connection open."""
        while True:
            time.sleep(60)

    def forward(self, url, headers, body):
        connection = http.client.HTTPConnection(
            *split(self.worker_address), timeout=FORWARD_TIMEOUT_S
        )
        try:
            connection.request("POST", url, json.dumps(body), headers)
            response = connection.getresponse()
            text = response.read()
        finally:
            connection.close()
        return response.status, json.loads(text or b"{}")

    def carry_out_late(self):
        """Deliver the orders that were held back, and return the answers."""
        held, self.held = self.held, []
        return [self.forward(*call) for call in held]
