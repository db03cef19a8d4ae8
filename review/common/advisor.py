"""Stand-in for the advisor, after the pages' description: one call at a time."""

import json
import sys
import threading
import time

from service import JsonHandler, serve

OPTIONS = json.loads(sys.argv[2])
TURN = threading.Lock()


class Handler(JsonHandler):
    """Allows the workers that the options name, whatever the step."""

    def answer(self, method, path, body):
        if path != "/api/advise":
            return 404, {}
        named = body["workers"]
        with TURN:
            took_ms = OPTIONS["decideMs"] + OPTIONS["eachMs"] * len(named)
            time.sleep(took_ms / 1000)
        good = [[each, f"t-{each}"] for each in named if each in OPTIONS["good"]]
        return 200, {"good": good, "validMs": OPTIONS["validMs"]}


if __name__ == "__main__":
    serve(Handler, int(sys.argv[1]))
