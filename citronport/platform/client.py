"""Read-only client of the platform's key-value store."""

import collections.abc
import urllib.parse

import gevent
from geventhttpclient import response as http_response
import result

from citronport import resources
from citronport import revisions
from citronport.endpoints import connection
from citronport.platform import const
from citronport.platform import models

_STATUS_COMPACTED = 410

RESPONSE_TIMEOUT_SECONDS = 6.0
"""Time limit of a response that keeps arriving; a page of 1 MB takes 4 s on
half of a 5 Mbit/s link."""

MAX_ANSWER_BYTES = 4_000_000
"""Most bytes of one response: a page has about 1 MB and one of the largest
values. A watch's response that has more is replaced by a read in pages."""


class Compacted:
    """The store can't return the history since the requested revision.

    It was discarded or is too long, or a copy was restored that lacks it.
    """


ReadResult = result.Result[models.StoreResponse, str | Compacted]


class Client:
    """One connection to the store, opened on demand.

    Args:
        address: "ip:port" of the store.
        idle_seconds: how long the store may send nothing; for a watch this
            is added to the wait.

    Attributes:
        received: bytes received of the latest response's body.
    """

    def __init__(self, address: str, idle_seconds: float) -> None:
        self._address = address
        self._idle_seconds = idle_seconds
        self._connection: connection.Connection | None = None
        self.received = 0

    def read(self, prefix: str, after: str = "") -> ReadResult:
        """Read one page of the items whose keys begin with a prefix.

        Args:
            prefix: prefix of the keys.
            after: last key of the previous page, or empty.
        """
        query = {"prefix": prefix} | ({"after": after} if after else {})
        return self._request(const.PATH_RANGE, query, 0.0, models.parse_range)

    def watch(self, prefix: str, revision: int, wait: float) -> ReadResult:
        """Wait for changes later than a revision.

        Args:
            prefix: prefix of the keys.
            revision: the latest revision that is known.
            wait: seconds for which the store may hold the request.
        """
        era, number = revisions.split_revision(revision)
        query = {
            "prefix": prefix,
            "after": str(number),
            "waitMs": str(int(wait * 1000)),
        }
        found = self._request(
            const.PATH_WATCH, query, wait, models.parse_events
        )
        match found:
            case result.Ok(answer):
                if revisions.get_era(answer.revision) != era:
                    # The revision exists in both eras. Changes that the
                    # store gave lower revisions since its restoration are
                    # missing from the answer.
                    return result.Err(Compacted())
        return found

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _request(
        self,
        path: str,
        query: dict[str, str],
        wait: float,
        parse: collections.abc.Callable[
            [bytes, int], result.Result[models.StoreResponse, str]
        ],
    ) -> ReadResult:
        self.received = 0
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            with gevent.Timeout(wait + RESPONSE_TIMEOUT_SECONDS, TimeoutError):
                head, body = self._exchange(target, wait)
        except TimeoutError:
            # The connection may be broken without a sign of it. A lost
            # response never arrives on it, while a new connection works.
            self.close()
            return result.Err("no answer in time")
        except connection.OversizedAnswerError as error:
            self.close()
            found = Compacted() if path == const.PATH_WATCH else str(error)
            return result.Err(found)
        except (OSError, http_response.HTTPParseError) as error:
            self.close()
            return result.Err(type(error).__name__)
        if head.status_code == _STATUS_COMPACTED:
            return result.Err(Compacted())
        if head.status_code != 200:
            return result.Err(f"status {head.status_code}")
        return models.parse_era(head.get(const.HEADER_ERA)).and_then(
            lambda era: parse(body, era)
        )

    def _exchange(
        self, target: str, wait: float
    ) -> tuple[connection.Answer, bytes]:
        with gevent.Timeout(wait + self._idle_seconds, TimeoutError):
            if self._connection is None or not self._connection.is_idle():
                self.close()
                self._connection = connection.connect(
                    self._address,
                    max_bytes=MAX_ANSWER_BYTES,
                    unread_bytes=resources.STORE_BUFFER_BYTES,
                )
            current = self._connection
            request = connection.encode_request(self._address, "GET", target)
            current.send(request)
            head = current.read_head()
        chunks = []
        # The idle time-out applies to each chunk. A large response takes
        # longer than that over a slow link, and if it were dropped and
        # requested again each time, it might never complete.
        while data := self._read_chunk(current):
            chunks.append(data)
            self.received += len(data)
        if not current.is_reusable():
            self.close()
        return head, b"".join(chunks)

    def _read_chunk(self, current: connection.Connection) -> bytes:
        with gevent.Timeout(self._idle_seconds, TimeoutError):
            return current.read()
