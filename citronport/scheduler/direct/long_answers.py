"""Finds the endpoints on which a long answer ends before its deadline.

Engines of one service differ several times in speed. The longest answers
end in time on the fast ones only, and an answer that is cut at its deadline
is lost after its whole work has been done.
"""

import collections.abc

from citronport.scheduler.direct import models
from citronport.scheduler.direct import runs

LENGTH_FACTOR = 1.5
"""Factor on the expected length, since callers may underestimate it."""


def compute_max_answer_step_ms(work: models.Work, now: float) -> float:
    """Return the longest step time with which an answer ends in time.

    Args:
        work: the request.
        now: clock time, seconds.

    Returns:
        Milliseconds per step; infinite if the request generates no tokens.
    """
    tokens = min(LENGTH_FACTOR * work.expected_tokens, work.output_tokens)
    if tokens <= 0:
        return float("inf")
    return (work.deadline - now) / (tokens * runs.SECONDS_PER_MS)


def list_fast_enough(
    work: models.Work,
    endpoints: list[models.Endpoint],
    listed: collections.abc.Iterable[models.Endpoint],
    get_step_ms: collections.abc.Callable[[str], float],
    now: float,
) -> list[models.Endpoint]:
    """Return the endpoints on which an answer is expected to end in time.

    Args:
        work: the request.
        endpoints: endpoints that may take it now.
        listed: all endpoints that may take it later, including full ones.
        get_step_ms: returns the step time of an endpoint by its name.
        now: clock time, seconds.

    Returns:
        All of ``endpoints`` if none of ``listed`` is fast enough, as no wait
        would help.
    """
    max_step_ms = compute_max_answer_step_ms(work, now)
    found = [e for e in endpoints if get_step_ms(e.name) <= max_step_ms]
    if len(found) == len(endpoints):
        return endpoints
    if not found and all(get_step_ms(e.name) > max_step_ms for e in listed):
        return endpoints
    return found
