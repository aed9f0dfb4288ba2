"""Counts the answers that are still being written to callers."""

import collections.abc
from typing import Any


class Activity:
    """Wraps a WSGI application and knows how many answers are on their way.

    Args:
        application: the application that answers.
    """

    def __init__(self, application: collections.abc.Callable) -> None:
        self._application = application
        self._count = 0

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: collections.abc.Callable,
    ) -> collections.abc.Iterator[bytes]:
        """Answer one HTTP request."""
        self._count += 1
        try:
            yield from self._application(environ, start_response)
        finally:
            self._count -= 1

    def is_idle(self) -> bool:
        """Return whether no answer is on its way."""
        return self._count == 0
