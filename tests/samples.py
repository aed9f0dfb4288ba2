"""Sample requests for tests that do not depend on their contents."""

from citronport import runs
from citronport.endpoints import client
from citronport.scheduler import models

REQUEST_ID = "request"


def make_work(*, seconds=60.0, tier=0, idempotent=True, identity=None):
    """Return a request; its deadline counts from the start of a new clock."""
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
