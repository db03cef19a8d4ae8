"""A small HTTP/1.1 server with JSON bodies, for the stand-ins."""

import json
import socket
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOST = "127.0.0.1"


class JsonHandler(BaseHTTPRequestHandler):
    """Passes each request to ``answer`` and sends what it returns."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def answer(self, method, path, body):
        """Return the status and the body of the answer."""
        raise NotImplementedError

    def do_POST(self):
        self.respond()

    do_GET = do_DELETE = do_POST

    def respond(self):
        length = int(self.headers.get("Content-Length") or 0)
        text = self.rfile.read(length)
        try:
            status, body = self.answer(
                self.command, self.path, json.loads(text) if text else {}
            )
        except (KeyError, ValueError, TypeError):
            status, body = 400, {}
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()

    def log_message(self, *_args):
        """Write no access log."""


class Server(ThreadingHTTPServer):
    """One thread for each connection; none of them keeps the process alive."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """A caller that hangs up is no error."""


def serve(handler, port):
    """Serve until the process is killed."""
    server = Server((HOST, port), handler)
    server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.serve_forever()
