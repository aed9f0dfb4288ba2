"""A run: a request, its answer and the readers of the answer."""

import collections.abc
import dataclasses
import typing

from gevent import queue

from citronport import errors
from citronport.callers import tickets
from citronport.endpoints import client
from citronport.endpoints import messages
from citronport.scheduler import models

if typing.TYPE_CHECKING:
    from citronport import telemetry


@dataclasses.dataclass(frozen=True, kw_only=True)
class Work:
    """A request and the call to its endpoint.

    Attributes:
        request: the request as the scheduler gets it.
        call: the call as the endpoint gets it.
        identity: None without an idempotency key.
    """

    request: models.Request
    call: client.Call
    identity: tickets.Identity | None = None


class Run:
    """The answer to a request while it arrives, for one or more readers.

    Messages are kept until the first reader attaches. If the run is
    repeatable, they stay, so that a repeat of the same request reads the
    answer from its start.

    Args:
        work: the request.
        on_abandoned: called when the last reader detaches before the end.
        repeatable: whether the run continues without readers, because a
            repeat may attach.
        on_ended: called when the run ends.
    """

    def __init__(
        self,
        work: Work,
        on_abandoned: collections.abc.Callable[["Run"], None],
        *,
        repeatable: bool = False,
        on_ended: collections.abc.Callable[["Run"], None] | None = None,
    ) -> None:
        self.work = work
        self.ended = False
        self.repeatable = repeatable
        self.observer: telemetry.RequestObserver | None = None
        self.kept_bytes = 0
        self.answer_kept = repeatable
        self.was_not_run = False
        self._on_abandoned = on_abandoned
        self._on_ended = on_ended
        self._history: list[messages.Message] = []
        self._readers: list[queue.Queue[messages.Message]] = []

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.work.request.request_id

    def deliver(self, message: messages.Message) -> None:
        """Add a message to the answer; messages after its end are dropped."""
        # A late chunk of a run that was already refused must not reach the
        # caller, which would get parts of two answers.
        if self.ended:
            return
        self.ended = isinstance(message, messages.Finished | messages.Refused)
        if self.observer is not None:
            self.observer.record_message(message)
        if isinstance(message, messages.Refused):
            ran = message.refusal.meaning.ran
            self.was_not_run = ran == errors.Ran.NOT_RUN
        # A refusal can arrive before a reader attaches. If it were dropped,
        # the caller would wait until its own timeout.
        before_reader = not self.repeatable and not self._readers
        if self.answer_kept or before_reader:
            self._history.append(message)
        if self.answer_kept and isinstance(message, messages.Chunk):
            self.kept_bytes += len(message.data)
        for reader in self._readers:
            reader.put(message)
        if self.ended and self._on_ended is not None:
            self._on_ended(self)

    @property
    def has_readers(self) -> bool:
        """Whether the answer has a reader."""
        return bool(self._readers)

    def release_body(self) -> None:
        """Free the body, which is not needed once the run has ended."""
        call = dataclasses.replace(self.work.call, body=b"")
        self.work = dataclasses.replace(self.work, call=call)

    def release_answer(self) -> None:
        """Free the kept answer; no reader can attach to the run any more."""
        self._history.clear()
        self.kept_bytes = 0
        self.answer_kept = False

    def read(self) -> collections.abc.Iterator[messages.Message]:
        """Yield the answer from its start to its end.

        A reader that stops before the end is detached.
        """
        inbox = self.attach()
        ended = False
        try:
            while not ended:
                message = inbox.get()
                ended = isinstance(
                    message, messages.Finished | messages.Refused
                )
                yield message
        finally:
            self.detach(inbox)

    def attach(self) -> queue.Queue[messages.Message]:
        """Return a queue that receives the answer from its start."""
        inbox: queue.Queue[messages.Message] = queue.Queue()
        for message in self._history:
            inbox.put(message)
        if not self.repeatable:
            self._history.clear()
        self._readers.append(inbox)
        return inbox

    def detach(self, inbox: queue.Queue[messages.Message]) -> None:
        """Remove a reader; a run without readers is abandoned."""
        self._readers.remove(inbox)
        if not self._readers and not self.ended and not self.repeatable:
            self._on_abandoned(self)
