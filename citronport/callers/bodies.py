"""Reads request bodies within their limits."""

import collections.abc
import io

import gevent
from gevent import pywsgi
from gevent import socket
import result

from citronport import errors
from citronport.callers import connections
from citronport.callers import const

_READ_BYTES = 65536
_READS_PER_YIELD = 4096


class FramingError(OSError):
    """The chunks of a body are too small."""


class _CountingReader:
    """Counts single-byte reads, which parse the framing of chunks."""

    def __init__(self, file: io.BufferedReader) -> None:
        self._file = file
        self._reads = 0

    def read(self, size: int) -> bytes:
        """Read from the file."""
        if size == 1:
            self._count()
        return self._file.read(size)

    def _count(self) -> None:
        self._reads += 1
        if self._reads > const.MAX_FRAMING_READS:
            raise FramingError("body has too many small chunks")
        # Reading buffered bytes never yields to the event loop by itself.
        if self._reads % _READS_PER_YIELD == 0:
            gevent.sleep(0)


class Body:
    """The unread body of one request.

    Args:
        file: source of the body.
        length: value of Content-Length, None without the header.
        chunked: whether the transfer encoding is chunked.
        continue_socket: socket for "100 Continue", None if not expected.
        tracker: holds the limits and the body budget of all callers.
        on_complete: called once the body has been read.
    """

    def __init__(
        self,
        file: io.BufferedReader,
        length: int | None,
        *,
        chunked: bool,
        continue_socket: socket.socket | None,
        tracker: connections.ConnectionTracker,
        on_complete: collections.abc.Callable[[], None],
    ) -> None:
        self._length = length
        self._input = pywsgi.Input(
            _CountingReader(file) if chunked else file,
            length,
            socket=continue_socket,
            chunked_input=chunked,
        )
        self._tracker = tracker
        self._on_complete = on_complete
        self._reserved = 0
        self.complete = not chunked and not length

    def read_all(self) -> result.Result[bytes, errors.Refusal]:
        """Return the body, or the reason to refuse it."""
        limits = self._tracker.limits
        if (self._length or 0) > limits.body_bytes:
            return _refuse(errors.Code.BODY_TOO_LARGE)
        timeout = gevent.Timeout(limits.body_seconds)
        try:
            with timeout:
                return self._read()
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            return _refuse(errors.Code.BODY_TOO_SLOW)
        except TimeoutError:
            return _refuse(errors.Code.BODY_TOO_SLOW)
        except (OSError, ValueError):
            # Malformed chunks, or an end before the announced length.
            return _refuse(errors.Code.MALFORMED, "framing of the body")

    def release(self) -> None:
        """Return the bytes of the body to the budget."""
        self._tracker.release_body_bytes(self._reserved)
        self._reserved = 0

    def _read(self) -> result.Result[bytes, errors.Refusal]:
        parts: list[bytes] = []
        size = 0
        while data := self._input.read(_READ_BYTES):
            size += len(data)
            if size > self._tracker.limits.body_bytes:
                return _refuse(errors.Code.BODY_TOO_LARGE)
            if not self._tracker.reserve_body_bytes(len(data)):
                return result.Err(
                    errors.Refusal(
                        code=errors.Code.TOO_MANY_CALLERS,
                        retry_after=const.FULL_CONNECTIONS_RETRY_SECONDS,
                    )
                )
            self._reserved += len(data)
            parts.append(data)
        self.complete = True
        self._on_complete()
        return result.Ok(b"".join(parts))

    def _discard(self) -> None:
        # Overrides a method of pywsgi, which would read an unread body of
        # any length to its end; the handler closes the connection instead.
        pass


def _refuse(
    code: errors.Code, detail: str = ""
) -> result.Result[bytes, errors.Refusal]:
    return result.Err(errors.Refusal(code=code, detail=detail))
