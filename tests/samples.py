"""Requests for tests that don't look at what is in them."""

from citronport import runs
from citronport.endpoints import client
from citronport.scheduler import models

REQUEST_ID = "request"


def make_work(*, seconds=60.0, tier=0, idempotent=True, identity=None):
    """Return a request with a deadline in so many seconds of a new clock."""
    request = models.Request(
        request_id=REQUEST_ID,
        entry="entry",
        workspace="workspace",
        tier=tier,
        model="small",
        deadline=seconds,
        idempotent=idempotent,
    )
    call = client.Call(
        request_id=REQUEST_ID,
        method="POST",
        path="/",
        body=b"",
        headers={},
        stream=True,
        timeout=seconds,
    )
    return runs.Work(request=request, call=call, identity=identity)
