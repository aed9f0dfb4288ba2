"""Asks other instances at which software version a stream began."""

import collections.abc

from gevent import queue as gevent_queue

from citronport import clock
from citronport.relay import messages
from citronport.relay import stream_messages

ANSWER_SECONDS = (0.06, 0.12)
"""How long answers are waited for, each time after asking."""

Answers = dict[str, stream_messages.StreamFound]
"""Answers by the instance that sent them."""


class StreamQuestions:
    """The questions of this instance that wait for answers.

    Args:
        own: name of this instance.
        send: sends a message to the named instance.
        ticker: the clock.
    """

    def __init__(
        self, own: str, send: messages.SendMessage, ticker: clock.Clock
    ) -> None:
        self._own = own
        self._send = send
        self._ticker = ticker
        self._waiting: dict[
            int, list[gevent_queue.SimpleQueue[stream_messages.StreamFound]]
        ] = {}

    def ask(
        self,
        key: int,
        service: str,
        instances: collections.abc.Set[str],
        *,
        confirm: bool,
    ) -> Answers:
        """Ask instances for a stream.

        Args:
            key: key of the stream.
            service: service that it would go on at if it is unknown.
            instances: names of the instances.
            confirm: whether they have to confirm their views with the store.

        Returns:
            Their answers, up to the first one that knows the stream.
        """
        question = stream_messages.FindStream(
            protocol=messages.PROTOCOL,
            instance=self._own,
            key=key,
            service=service,
            confirm=confirm,
        )
        answers: Answers = {}
        queue: gevent_queue.SimpleQueue = gevent_queue.SimpleQueue()
        self._waiting.setdefault(key, []).append(queue)
        try:
            for seconds in ANSWER_SECONDS:
                for instance in instances - answers.keys():
                    self._send(instance, question)
                until = self._ticker.now() + seconds
                while len(answers) < len(instances):
                    left = until - self._ticker.now()
                    if left <= 0:
                        break
                    try:
                        answer = queue.get(timeout=left)
                    except gevent_queue.Empty:
                        break
                    answers[answer.instance] = answer
                    if answer.service:
                        return answers
        finally:
            self._waiting[key].remove(queue)
            if not self._waiting[key]:
                del self._waiting[key]
        return answers

    def handle(self, answer: stream_messages.StreamFound) -> None:
        """Pass an answer to those that wait for it."""
        for queue in self._waiting.get(answer.key, ()):
            queue.put(answer)
