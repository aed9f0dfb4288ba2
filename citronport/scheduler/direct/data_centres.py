"""Distinguishes local from remote endpoints."""

import random

from citronport.scheduler.direct import models


def is_remote(data_centre: str, other: str) -> bool:
    """Return whether two data centres differ; unknown ones never do."""
    return bool(data_centre and other) and data_centre != other


def draw_sample(
    endpoints: list[models.Endpoint], number: int, data_centre: str
) -> list[models.Endpoint]:
    """Return a random sample with endpoints in and out of a data centre.

    A sample without a local endpoint would send the request to another data
    centre for no reason. One with local endpoints only would keep it at a
    busy endpoint while there are free slots elsewhere.

    Args:
        endpoints: the endpoints to draw from.
        number: size of the sample; two more are added if it would hold
            local or remote endpoints only.
        data_centre: data centre that counts as local; if it is empty, the
            sample is drawn regardless of data centres.
    """
    drawn = random.sample(endpoints, number)
    if not data_centre:
        return drawn
    for wanted in (False, True):
        if any(is_remote(data_centre, e.data_centre) == wanted for e in drawn):
            continue
        others = [
            e
            for e in endpoints
            if is_remote(data_centre, e.data_centre) == wanted
        ]
        if others:
            drawn.append(random.choice(others))
    return drawn
