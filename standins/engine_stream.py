"""Answer stream that outlives the connection it is read from."""

import collections.abc
import time

import gevent
from gevent import event

READER_CHECK_SECONDS = 0.5


class CutError(Exception):
    """The connection is closed before the end of the answer."""


class Stream:
    """Buffer of an answer's bytes and the task that produces them."""

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.cached = 0
        self._data = bytearray()
        self._finished = False
        self._task: gevent.Greenlet | None = None
        self._readers = 0
        self._disconnects = 0
        self._changed = event.Event()

    @property
    def size(self) -> int:
        """Number of bytes produced so far."""
        return len(self._data)

    def run(self, work: collections.abc.Callable, *details: object) -> None:
        """Start the task that fills the stream."""
        self._task = gevent.spawn(work, *details)
        self._task.link(lambda _: self._changed.set())

    def add(self, data: bytes) -> None:
        """Append bytes and wake the readers."""
        self._data += data
        self._changed.set()

    def finish(self) -> None:
        """Mark the answer as complete."""
        self._finished = True
        self._changed.set()

    def cancel(self) -> None:
        """Kill the task and wait until it has ended."""
        if self._task is not None:
            self._task.kill()

    def disconnect_readers(self) -> None:
        """Cut all connections that read the stream; the task goes on."""
        self._disconnects += 1
        self._changed.set()

    def read_whole(self) -> bytes:
        """Wait for the end of the answer and return all of it.

        Raises:
            CutError: the task ended before the answer was complete.
        """
        if self._task is not None:
            self._task.join()
        if not self._finished:
            raise CutError
        return bytes(self._data)

    def read(
        self, offset: int, keep_seconds: float
    ) -> collections.abc.Iterator[bytes]:
        """Yield the bytes from an offset on, as they are produced.

        Args:
            offset: number of bytes to skip.
            keep_seconds: how long the task goes on without a reader.

        Raises:
            CutError: the readers were disconnected, or the task ended
                before the answer was complete.
        """
        cuts = self._disconnects
        self._readers += 1
        try:
            while True:
                if cuts != self._disconnects:
                    raise CutError
                data = bytes(self._data[offset:])
                offset += len(data)
                if data:
                    yield data
                elif self._finished:
                    return
                elif self._task is None or self._task.dead:
                    raise CutError
                else:
                    self._changed.clear()
                    self._changed.wait()
        finally:
            self._readers -= 1
            if not self._readers and not self._finished:
                gevent.spawn(
                    self._cancel_unread, time.monotonic() + keep_seconds
                )

    def _cancel_unread(self, end: float) -> None:
        while not self._readers and not self._finished:
            if time.monotonic() > end:
                self.cancel()
                return
            gevent.sleep(READER_CHECK_SECONDS)
