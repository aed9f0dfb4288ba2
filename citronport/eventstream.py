"""The format of event streams: where events end, and what they hold."""

_EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
"""The blank line after an event, if lines end with LF, CR LF or CR."""

_ID_FIELD = b"id:"


def split_events(data: bytes) -> tuple[bytes, bytes]:
    """Split stream data into complete events and the rest.

    A truncated event could not be separated from the error event that
    follows it: clients would fail to parse both.
    """
    ends = [
        found + len(mark)
        for mark in _EVENT_ENDS
        if (found := data.rfind(mark)) >= 0
    ]
    end = max(ends, default=0)
    return data[:end], data[end:]


def count_events(events: bytes) -> int:
    """Return the number of events in a series of complete events."""
    return sum(events.count(mark) for mark in _EVENT_ENDS)


def begins_event(rest: bytes) -> bool:
    """Return whether the data after a complete event begins another one."""
    return bool(rest.strip(b"\r\n"))


def find_last_event_id(events: bytes) -> str | None:
    """Return the last event id in a series of complete events, if any."""
    at = len(events)
    while (at := events.rfind(_ID_FIELD, 0, at)) >= 0:
        if at == 0 or events[at - 1] in b"\r\n":
            line = events[at:].splitlines()[0]
            return line.removeprefix(_ID_FIELD).strip().decode("latin-1")
    return None


def ends_with_line(data: bytes, line: bytes) -> bool:
    """Return whether stream data ends with an event of one given line."""
    content = data.rstrip(b"\r\n")
    blank = data[len(content) :]
    if not any(mark in blank for mark in _EVENT_ENDS):
        return False
    before = content.removesuffix(line)
    return before != content and (not before or before[-1:] in b"\r\n")
