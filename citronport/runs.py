"""A run: one request, its one way to an answer, and who waits for it."""

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
    """A request with the bytes that go to the endpoint.

    Attributes:
        request: as the decisions see it.
        call: as the endpoint sees it.
        identity: None without an idempotency key.
    """

    request: models.Request
    call: client.Call
    identity: tickets.Identity | None = None


class Run:
    """The answer of one request as it grows, for one or more readers.

    Messages are kept until the first reader comes, or for good, so that a
    repeat of the same request reads the answer from its start.

    Args:
        work: the request.
        leave: called when the last reader has gone before the end.
        keep: whether the run goes on without readers, because a repeat
            may come.
        settle: called once the run has ended.
    """

    def __init__(
        self,
        work: Work,
        leave: collections.abc.Callable[["Run"], None],
        *,
        keep: bool = False,
        settle: collections.abc.Callable[["Run"], None] | None = None,
    ) -> None:
        self.work = work
        self.ended = False
        self.keep = keep
        self.watch: telemetry.Watch | None = None
        self.kept_bytes = 0
        self.answer_kept = keep
        self.was_not_run = False
        self._leave = leave
        self._settle = settle
        self._log: list[messages.Message] = []
        self._readers: list[queue.Queue[messages.Message]] = []

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.work.request.request_id

    def deliver(self, message: messages.Message) -> None:
        """Add a message to the answer; nothing follows its end."""
        # A late piece of a run that was already refused must not reach
        # the caller: it would see two answers in one.
        if self.ended:
            return
        self.ended = isinstance(message, messages.Finished | messages.Refused)
        if self.watch is not None:
            self.watch.see(message)
        if isinstance(message, messages.Refused):
            ran = message.refusal.meaning.ran
            self.was_not_run = ran == errors.Ran.NOT_RUN
        # A refusal can come before its reader does; dropped, it would
        # leave the caller waiting until its own timeout.
        early = not self.keep and not self._readers
        if self.answer_kept or early:
            self._log.append(message)
        if self.answer_kept and isinstance(message, messages.Chunk):
            self.kept_bytes += len(message.data)
        for reader in self._readers:
            reader.put(message)
        if self.ended and self._settle is not None:
            self._settle(self)

    @property
    def has_readers(self) -> bool:
        """Whether somebody waits for the answer."""
        return bool(self._readers)

    def forget_body(self) -> None:
        """Free the body, which nobody needs once the run has ended."""
        call = dataclasses.replace(self.work.call, body=b"")
        self.work = dataclasses.replace(self.work, call=call)

    def forget_answer(self) -> None:
        """Free the kept answer; nobody can join the run any more."""
        self._log.clear()
        self.kept_bytes = 0
        self.answer_kept = False

    def read(self) -> collections.abc.Iterator[messages.Message]:
        """Yield the answer from its start to its end.

        A reader that stops before the end counts as gone.
        """
        inbox = self.attach()
        whole = False
        try:
            while not whole:
                message = inbox.get()
                whole = isinstance(
                    message, messages.Finished | messages.Refused
                )
                yield message
        finally:
            self.detach(inbox)

    def attach(self) -> queue.Queue[messages.Message]:
        """Return a queue that gets the answer from its start."""
        inbox: queue.Queue[messages.Message] = queue.Queue()
        for message in self._log:
            inbox.put(message)
        if not self.keep:
            self._log.clear()
        self._readers.append(inbox)
        return inbox

    def detach(self, inbox: queue.Queue[messages.Message]) -> None:
        """Take a reader off; without readers the run is given up."""
        self._readers.remove(inbox)
        if not self._readers and not self.ended and not self.keep:
            self._leave(self)
