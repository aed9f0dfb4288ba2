"""HTTP/1.1 server for callers with limits on their use of resources."""

import collections.abc
import contextlib
import io
from typing import Any

from absl import logging
import gevent
from gevent import pywsgi
from gevent import socket
import result

from citronport import byte_budget
from citronport import errors
from citronport import resources
from citronport.callers import bodies
from citronport.callers import connections
from citronport.callers import const
from citronport.callers import disconnects
from citronport.callers import head_validation
from citronport.callers import replies

LOG = "callers:"
_HEAD_END = b"\r\n\r\n"
_EXPECTED_ERRORS = (
    disconnects.CallerDisconnected,
    replies.StreamCutError,
    OSError,
)


class Handler(pywsgi.WSGIHandler):
    """Serves the requests of one connection in sequence.

    Replaces pywsgi's parser of request heads, which accepts ambiguous heads,
    has no timeout and logs what the caller sent.
    """

    server: "Server"
    _has_served = False

    def handle_one_request(self) -> bool | None:
        """Serve a request; return None to close the connection."""
        self._holding = self.server.budget.open(
            self.client_address[0], self._stop_reading
        )
        try:
            return self._serve_request()
        finally:
            self._holding.release()

    def _serve_request(self) -> bool | None:
        try:
            if not self._wait_for_request():
                return None
            self._read_head()
        except head_validation.HeadError as error:
            self._refuse(error.refusal)
            return None
        except OSError:
            return None
        self.environ = self.get_environ()
        if self.wsgi_input.complete:
            self.server.tracker.set_busy(self.socket)
        else:
            self.server.tracker.set_reading(self.socket, carries_request=True)
        self.application = self.server.application
        self.handle_one_response()
        self._has_served = True
        if not self.wsgi_input.complete:
            self._discard_rest()
            return None
        return None if self.close_connection else True

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment for the current request head."""
        environ = self.server.get_environ()
        path, _, query = self.path.partition("?")
        environ["REQUEST_METHOD"] = self.command
        environ["PATH_INFO"] = path
        environ["QUERY_STRING"] = query
        environ["SERVER_PROTOCOL"] = self.request_version
        environ["REMOTE_ADDR"] = self.client_address[0]
        environ[const.ENVIRON_TARGET] = self.path
        environ[const.ENVIRON_FIELDS] = self._fields
        for name, value in self._fields.items():
            environ["HTTP_" + name.upper().replace("-", "_")] = value
        environ["CONTENT_TYPE"] = self._fields.get("content-type", "")
        self.wsgi_input = self._make_body()
        environ["wsgi.input"] = self.wsgi_input
        return environ

    def run_application(self) -> None:
        """Run the application; stop it when the caller disconnects."""
        self._watcher: disconnects.DisconnectWatcher | None = None
        try:
            super().run_application()
        finally:
            if self._watcher is not None:
                self._watcher.stop()

    def handle_error(self, kind: type, error: Any, traceback: Any) -> None:
        """Close the connection after an error in the application."""
        self.close_connection = True
        if issubclass(kind, _EXPECTED_ERRORS):
            return
        # Log only the location: the message of an unexpected error may
        # contain the caller's content.
        while traceback.tb_next is not None:
            traceback = traceback.tb_next
        code = traceback.tb_frame.f_code
        logging.error(
            "%s internal error: %s in %s line %d.",
            LOG,
            kind.__name__,
            code.co_name,
            traceback.tb_lineno,
        )
        if not self.response_length:
            self._refuse(errors.Refusal(code=errors.Code.INTERNAL))

    def log_request(self) -> None:
        """Write no access log: paths may contain tickets."""

    def _wait_for_request(self) -> bool:
        tracker = self.server.tracker
        self.socket.settimeout(tracker.limits.idle_seconds)
        if self._has_served:
            tracker.set_idle(self.socket)
        if not self.rfile.peek(1):
            return False
        tracker.set_reading(self.socket, carries_request=False)
        return True

    def _read_head(self) -> None:
        limits = self.server.tracker.limits
        self.socket.settimeout(limits.send_seconds)
        # Most heads arrive in one read and need no timer.
        if _HEAD_END in self.rfile.peek(1):
            self._parse_head()
            return
        timeout = gevent.Timeout(limits.head_seconds)
        try:
            with timeout:
                self._parse_head()
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            _raise_refusal(errors.Code.HEAD_TOO_SLOW)

    def _parse_head(self) -> None:
        self._head_size = 0
        line = self._read_line()
        if line == b"\r\n":
            # RFC 9112 allows one empty line before a request.
            line = self._read_line()
        text = line.decode("latin-1")
        _raise_if_refused(head_validation.check_request_line(text))
        lines = self._read_header_lines()
        _raise_if_refused(
            head_validation.check_headers(lines, self.server.singleton_headers)
        )
        self.requestline = text
        self.command, self.path, self.request_version = text.split()
        self._fields = _join_fields(lines)
        connection = self._fields.get("connection", "").lower()
        self.close_connection = "close" in connection
        self.response_length = 0

    def _read_header_lines(self) -> list[bytes]:
        limits = self.server.tracker.limits
        lines: list[bytes] = []
        size = 0
        while (line := self._read_line()) != b"\r\n":
            size += len(line)
            lines.append(line)
            if (
                size > limits.head_bytes
                or len(lines) > const.MAX_HEADERS
                or len(line) >= limits.line_bytes
            ):
                _raise_refusal(errors.Code.HEAD_TOO_LARGE)
        return lines

    def _read_line(self) -> bytes:
        limit = self.server.tracker.limits.line_bytes
        line = self._read_line_part()
        while not line.endswith(b"\n") and len(line) < limit:
            line += self._read_line_part()
        return line

    def _read_line_part(self) -> bytes:
        part = self.rfile.readline(const.MAX_LINE_BYTES)
        if not part:
            raise ConnectionResetError
        self._head_size += len(part)
        if self._head_size > const.UNCOUNTED_HEAD_BYTES and not (
            self._holding.reserve(len(part))
        ):
            raise head_validation.HeadError(bodies.FULL)
        return part

    def _stop_reading(self) -> None:
        """Let the rest of a request that makes room for others be refused."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RD)

    def _make_body(self) -> bodies.Body:
        length = self._fields.get("content-length")
        waits = self._fields.get("expect", "").lower() == "100-continue"
        return bodies.Body(
            self.rfile,
            int(length) if length else None,
            chunked="transfer-encoding" in self._fields,
            continue_socket=self.socket if waits else None,
            limits=self.server.tracker.limits,
            holding=self._holding,
            on_received=self._record_received,
            on_complete=self._handle_complete,
        )

    def _record_received(self, size: int) -> None:
        self.server.tracker.record_received(self.socket, size)

    def _handle_complete(self) -> None:
        self.server.tracker.set_busy(self.socket)
        self._watch_for_disconnect()

    def _watch_for_disconnect(self) -> None:
        serving = gevent.getcurrent()

        def end() -> None:
            serving.kill(disconnects.CallerDisconnected, block=False)

        self._watcher = disconnects.DisconnectWatcher(self.socket, end)

    def _refuse(self, refusal: errors.Refusal) -> None:
        with contextlib.suppress(OSError):
            self.socket.sendall(_encode_refusal(refusal))
        self._discard_rest()

    def _discard_rest(self) -> None:
        self.server.tracker.set_discarding(self.socket)
        _discard(self.socket)


class Server(pywsgi.WSGIServer):
    """Accepts connections of callers within the limits."""

    handler_class = Handler
    tracker: connections.ConnectionTracker
    budget: byte_budget.ByteBudget
    singleton_headers = head_validation.SINGLETON_HEADERS
    max_accept = resources.MAX_ACCEPTED
    _open_refusals = 0

    def handle(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve a connection, or refuse it if the limits are reached."""
        if not self.tracker.add(sock, address[0]):
            self._refuse(sock)
            return
        try:
            super().handle(sock, address)
        finally:
            self.tracker.remove(sock)

    def close(self) -> None:
        """Stop listening after accepting all pending connections."""
        # Connections that wait in the kernel's backlog are reset when the
        # listener closes; their callers could not tell whether the request
        # ran.
        while not self.closed and (accepted := self.do_read()) is not None:
            self.do_handle(*accepted)
        super().close()

    def is_idle(self) -> bool:
        """Return whether no connection carries a request."""
        return self.tracker.is_idle()

    def _refuse(self, sock: socket.socket) -> None:
        limit = self.tracker.limits.connections
        if self._open_refusals >= max(1, limit // resources.REFUSALS_DIVISOR):
            # Closed without a response, as each refusal holds a descriptor.
            return
        self._open_refusals += 1
        with contextlib.suppress(OSError):
            sock.settimeout(const.DISCARD_TIMEOUT_SECONDS)
            sock.sendall(_encode_refusal(bodies.FULL))
        _discard(sock)
        self._open_refusals -= 1


def make_server(
    address: str,
    port: int,
    application: collections.abc.Callable,
    limits: connections.Limits | None = None,
    budget: byte_budget.ByteBudget | None = None,
) -> Server:
    """Return a server for callers; ``start`` makes it listen.

    Args:
        address: address to listen on.
        port: port to listen on.
        application: the WSGI application.
        limits: limits on its connections.
        budget: bytes of requests, shared with other servers; its own one by
            default.
    """
    server = Server((address, port), application, log=None, error_log=None)
    limits = limits or connections.make_limits()
    server.tracker = connections.ConnectionTracker(limits)
    server.budget = budget or byte_budget.ByteBudget(
        limits.total_body_bytes,
        small=0,
        largest=limits.total_body_bytes,
        beginning=0,
    )
    server.init_socket()
    # Accepted sockets inherit this option. Without it, a small write waits
    # for the acknowledgement of the previous one, which a caller may delay
    # by 40 ms, so each token would be that late.
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    resources.limit_unread(server.socket, resources.RECEIVE_BUFFER_BYTES)
    return server


def _join_fields(lines: list[bytes]) -> dict[str, str]:
    fields: dict[str, str] = {}
    for line in lines:
        name, _, value = line.decode("latin-1").partition(":")
        key = name.lower()
        # WSGI maps "-" to "_", so names with "_" are dropped to keep two
        # headers from sharing one variable.
        if "_" in key:
            continue
        text = value.strip()
        fields[key] = f"{fields[key]},{text}" if key in fields else text
    return fields


def _encode_refusal(refusal: errors.Refusal) -> bytes:
    status, headers, data = replies.render_refusal(refusal)
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += ["Connection: close", "", ""]
    return "\r\n".join(lines).encode() + data


def _discard(sock: socket.socket) -> None:
    remaining = const.MAX_DISCARD_BYTES
    with (
        contextlib.suppress(OSError),
        gevent.Timeout(const.DISCARD_TIMEOUT_SECONDS, False),
    ):
        sock.shutdown(socket.SHUT_WR)
        while remaining > 0 and (data := sock.recv(io.DEFAULT_BUFFER_SIZE)):
            remaining -= len(data)


def _raise_refusal(code: errors.Code) -> None:
    raise head_validation.HeadError(errors.Refusal(code=code))


def _raise_if_refused(checked: result.Result[None, errors.Refusal]) -> None:
    match checked:
        case result.Err(refusal):
            raise head_validation.HeadError(refusal)
