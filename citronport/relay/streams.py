"""Reads the events of an endpoint's stream."""

from citronport import eventstream
from citronport.endpoints import connection
from citronport.platform import requests
from citronport.relay import upstream

MAX_EVENT_BYTES = 1_000_000
"""Longest event of a stream, which is held back until it is complete."""


class BrokenStreamError(OSError):
    """A stream ended inside an event, or unproved without any event."""


class EventReader:
    """Reads one stream and checks that it is complete.

    Args:
        exchange: the exchange with the endpoint, after the head.
        is_event_stream: whether the body is known to be one; if not, it may
            hold something else.

    Attributes:
        rest: bytes received after the last complete event.
    """

    def __init__(
        self, exchange: upstream.Exchange, *, is_event_stream: bool
    ) -> None:
        self._exchange = exchange
        self._is_event_stream = is_event_stream
        self._has_events = False
        self.rest = b""

    def read(self) -> bytes:
        """Wait for the next complete events; empty at the end of the stream.

        A partial event is held back: it would run into the next one, be it
        from this endpoint or from the one that resumes the stream.

        Raises:
            OSError: the stream broke off.
            HTTPParseError: the data is not valid HTTP.
        """
        while data := self._exchange.read():
            events, self.rest = eventstream.split_events(self.rest + data)
            if events:
                self._has_events = True
                return events
            if len(self.rest) > MAX_EVENT_BYTES:
                raise connection.OversizedAnswerError("event is too long")
        if not self._is_complete():
            raise BrokenStreamError
        return b""

    def _is_complete(self) -> bool:
        is_framed = self._exchange.get_end() == connection.BodyEnd.FRAMED
        if eventstream.begins_event(self.rest):
            return is_framed and not self._is_event_stream
        # The kernel closes the connections of a crashed process as if it
        # had ended its answers, so the close proves nothing by itself.
        return is_framed or self._has_events


def may_follow(begun: int, answer: requests.EndpointAnswer) -> bool:
    """Return whether the caller may get an answer after what it has.

    Args:
        begun: status of the stream that broke off; 0 if the caller has got
            nothing.
        answer: the next answer to the request.
    """
    return not begun or (answer.status == begun and answer.may_hold_events)
