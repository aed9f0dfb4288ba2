"""Reads request bodies within their limits."""

import collections.abc
import io

import gevent
from gevent import pywsgi
from gevent import socket
import result

from citronport import byte_budget
from citronport import errors
from citronport.callers import connections
from citronport.callers import const

_READ_BYTES = 8192
"""Bytes read at a time; each connection that waits for more has a buffer of
that size."""

_COPIED_BYTES = 65536
"""Bodies up to this size are returned as immutable bytes."""

_READS_PER_YIELD = 4096

FULL = errors.Refusal(
    code=errors.Code.TOO_MANY_CALLERS,
    retry_after=const.FULL_CONNECTIONS_RETRY_SECONDS,
)
"""Refusal of what there is no room for at the moment."""


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
        limits: the limits on size and time.
        holding: the part of the byte budget that the request holds.
        on_received: called with the size of each part that was read.
        on_complete: called once the body has been read.
    """

    def __init__(
        self,
        file: io.BufferedReader,
        length: int | None,
        *,
        chunked: bool,
        continue_socket: socket.socket | None,
        limits: connections.Limits,
        holding: byte_budget.Holding,
        on_received: collections.abc.Callable[[int], None],
        on_complete: collections.abc.Callable[[], None],
    ) -> None:
        self._length = length
        self._input = pywsgi.Input(
            _CountingReader(file) if chunked else file,
            length,
            socket=continue_socket,
            chunked_input=chunked,
        )
        self._limits = limits
        self._max_bytes = min(limits.body_bytes, holding.largest)
        self._holding = holding
        self._on_received = on_received
        self._on_complete = on_complete
        self.complete = not chunked and not length

    def read_all(self) -> result.Result[bytes | bytearray, errors.Refusal]:
        """Return the body, or the reason to refuse it."""
        if (self._length or 0) > self._max_bytes:
            return _refuse(errors.Code.BODY_TOO_LARGE)
        timeout = gevent.Timeout(self._limits.body_seconds)
        try:
            with timeout:
                found = self._read()
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            found = _refuse(errors.Code.BODY_TOO_SLOW)
        except TimeoutError:
            found = _refuse(errors.Code.BODY_TOO_SLOW)
        except (OSError, ValueError):
            # Malformed chunks, or an end before the announced length.
            found = _refuse(errors.Code.MALFORMED, "framing of the body")
        if isinstance(found, result.Err):
            self._holding.release()
        # Its connection is no longer read from once it was evicted.
        return result.Err(FULL) if self._holding.evicted else found

    def _read(self) -> result.Result[bytes | bytearray, errors.Refusal]:
        # Grows in place: joined parts would be held twice.
        body = bytearray()
        while data := self._input.read(_READ_BYTES):
            if len(body) + len(data) > self._max_bytes:
                return _refuse(errors.Code.BODY_TOO_LARGE)
            if not self._holding.reserve(len(data)):
                return result.Err(FULL)
            self._on_received(len(data))
            body += data
        if not self._holding.keep():
            return result.Err(FULL)
        self.complete = True
        self._on_complete()
        return result.Ok(bytes(body) if len(body) <= _COPIED_BYTES else body)

    def _discard(self) -> None:
        # Overrides a method of pywsgi, which would read an unread body of
        # any length to its end; the handler closes the connection instead.
        pass


def _refuse(
    code: errors.Code, detail: str = ""
) -> result.Result[bytes, errors.Refusal]:
    return result.Err(errors.Refusal(code=code, detail=detail))
