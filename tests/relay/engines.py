"""Engines that crash and restart, for tests with instances as processes."""

import contextlib
import socket

import gevent

from tests.relay import fakes

DOWN_SECONDS = 0.4
"""Time until a crashed engine is back."""

BEGIN_SECONDS = 0.03
"""Time from a request to its first event."""

EVENTS = 12
"""Events of a whole answer."""

CRASHING = "bad"
"""Part that crashes an engine which begins an answer on it."""


class Engine(fakes.Endpoint):
    """An engine that a part crashes; all that runs there is cut.

    Args:
        case: the test case whose store lists the engine.
        number: distinguishes the engine from others.

    Attributes:
        name: name of its current start.
        starts: how often it started.
        crashes: how often it crashed.
        sends: requests with the part that reached it.
        is_down: whether it has crashed and is not back yet.
        running: connections of the requests that run there.
    """

    def __init__(self, case, number):
        super().__init__(case, fakes.answer())
        self.case = case
        self.number = number
        self.starts = 0
        self.crashes = 0
        self.sends = 0
        self.is_down = False
        self.running = set()
        self.register()

    def register(self):
        """Put an entry for a new start of the engine into the store."""
        self.starts += 1
        self.is_down = False
        self.name = f"e{self.number}-{self.starts}"
        self.case.put_endpoint(
            self.name, address=self.address, **self.make_entry()
        )

    def make_entry(self):
        """Return further fields of its entry."""
        return {}

    def crash(self):
        """Cut all connections and come back after a while."""
        self.crashes += 1
        self.is_down = True
        self.case.store.delete(f"servers/{self.name}")
        for sock in self.running:
            # The task that serves it holds a file of the socket, so that
            # closing the socket alone would end nothing.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self.running.clear()
        gevent.spawn_later(DOWN_SECONDS, self.register)

    def _serve_request(self, sock, file):
        request = fakes.read_request(file)
        if request is None or self.is_down:
            return
        headers = request[2]
        if headers["x-expect-instance"] != self.name:
            sock.sendall(
                fakes.render(421, X_Attempt_Id=headers["x-attempt-id"])
            )
            return
        crashes = CRASHING in list_parts(headers)[:-1]
        self.sends += crashes
        self.running.add(sock)
        gevent.sleep(BEGIN_SECONDS)
        if sock in self.running:
            if crashes:
                # The head of an answer gets out, sometimes with an event.
                events = [fakes.make_event(1)] * (self.starts % 2)
                fakes.stream(*events, complete=False)(sock, headers)
                self.crash()
            else:
                self._answer(sock, request)
        self.running.discard(sock)

    def _answer(self, sock, request):
        """Answer a request that has begun to run."""
        events = [fakes.make_event(n) for n in range(EVENTS)]
        fakes.stream(*events, pause=0.02)(sock, request[2])


def list_parts(headers):
    """Return the ids of the parts that a request names."""
    text = headers.get("x-prompt-prefix", "")
    return [entry.partition(":")[0] for entry in text.split(",")]
