"""Structured log lines: one JSON object a line, on standard output.

Writing never blocks: lines that the reader does not read in time are counted
and dropped.
"""

import collections
import fcntl
import json
import os
import re
import time

import msgspec

from citronport import clock
from citronport import errors
from citronport.relay import events

LINES_PER_SECOND = 200
"""Maximum rate of lines. It allows for two lines a request at 94 requests a
second and instance; the lines of a burst of refusals are dropped and
counted."""

MAX_REJECTED_INPUTS = 1000
"""Number of rejected inputs that are remembered as logged; the oldest ones
are dropped."""

_WORD_BOUNDARY = re.compile(r"(?<!^)(?=[A-Z])")


class Log:
    """Writes events at a limited rate, without waiting for the reader.

    Args:
        instance: name of this instance, written on each line.
        ticker: the clock.
        descriptor: file descriptor that lines are written to.

    Attributes:
        dropped: number of dropped lines by event, since they were last
            logged.
        rejected: number of rejected inputs by fault, since the start.
    """

    def __init__(
        self, instance: str, ticker: clock.Clock, descriptor: int = 1
    ) -> None:
        self._instance = instance
        self._ticker = ticker
        self._descriptor = descriptor
        self._current_second = 0
        self._written = 0
        self._unsent = b""
        self.dropped: collections.Counter[str] = collections.Counter()
        self.rejected: collections.Counter[errors.InputFault] = (
            collections.Counter()
        )
        self._rejected_inputs: collections.OrderedDict[
            tuple[errors.InputFault, str], None
        ] = collections.OrderedDict()
        # A reader that stops reading must not block the instance.
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, event: msgspec.Struct) -> None:
        """Write one event, or count it as dropped."""
        now = self._ticker.now()
        name = get_event_name(type(event))
        if int(now) != self._current_second:
            self._current_second = int(now)
            self._written = 0
            self._write_dropped(now)
        if self._written >= LINES_PER_SECOND:
            self.dropped[name] += 1
            return
        self._written += 1
        self._write_line(event, name, now)

    def reject(
        self,
        fault: errors.InputFault,
        key: str,
        reason: str,
        revision: int = 0,
    ) -> None:
        """Count an input that can't be used; log it once.

        Args:
            fault: what kind of input it is.
            key: which one it is.
            reason: why it can't be used, without its value.
            revision: revision of the store at which it was written, if it
                comes from there.
        """
        self.rejected[fault] += 1
        if (fault, key) in self._rejected_inputs:
            return
        self._rejected_inputs[fault, key] = None
        if len(self._rejected_inputs) > MAX_REJECTED_INPUTS:
            self._rejected_inputs.popitem(last=False)
        self.write(
            events.InputRejected(
                code=int(fault), key=key, revision=revision, reason=reason
            )
        )

    def accept(self, fault: errors.InputFault, key: str) -> None:
        """Log an input again when it is rejected the next time."""
        self._rejected_inputs.pop((fault, key), None)

    def _write_dropped(self, now: float) -> None:
        if not self.dropped:
            return
        counts = dict(self.dropped)
        self.dropped.clear()
        event = events.LinesDropped(
            count=sum(counts.values()), by_event=counts
        )
        self._write_line(event, get_event_name(events.LinesDropped), now)

    def _write_line(
        self, event: msgspec.Struct, name: str, now: float
    ) -> None:
        fields = {
            name: _shorten(value)
            for name, value in msgspec.structs.asdict(event).items()
        }
        line = {
            "at": round(now, 4),
            "time": round(time.time(), 3),
            "instance": self._instance,
            "event": name,
            **fields,
        }
        data = json.dumps(line, separators=(",", ":")).encode() + b"\n"
        if not self._flush():
            self.dropped[name] += 1
            return
        self._unsent = data
        self._flush()

    def _flush(self) -> bool:
        while self._unsent:
            try:
                written = os.write(self._descriptor, self._unsent)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has closed the pipe; the loss can't be logged.
                self._unsent = b""
                return True
            self._unsent = self._unsent[written:]
        return True


def get_event_name(kind: type) -> str:
    """Return the name of an event as it is written on a line."""
    return _WORD_BOUNDARY.sub("_", kind.__name__).lower()


def _shorten(value: object) -> object:
    return round(value, 4) if isinstance(value, float) else value
