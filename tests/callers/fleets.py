"""Small fleets of real processes for the tests of citronport.callers."""

from standins import caller
from standins import fleet
from standins import journal
from tests import fleets

KEY = "key-1"
CHAT = "/v1/chat/completions"
BOOK = "/services/reservations/book"


def start_fleet(test, subnet, *, instances=2):
    """Start a fleet that is stopped after the test; wait until it serves."""
    layout = fleet.Layout(
        subnet=subnet,
        data_centres=("dc-1", "dc-2"),
        instances=instances,
        engines=(
            {
                "name": "engine-1",
                "models": ("small",),
                "cold_seconds": 0.0,
                "cold_requests": 0,
                "decode_rate": 100.0,
                "report_lag": 0.0,
            },
        ),
        services=("reservations",),
        entries=({"name": "shop", "owner": "shop", "class": 0, "key": KEY},),
    )
    started = fleets.start_fleet(test, layout)
    body = caller.make_chat("small", "hello", 1)
    for address in started.get_callers_addresses():
        caller.send_until_run(address, KEY, CHAT, body)
        # Also waits for the links between instances: a ticket of each
        # instance is accepted at all of them.
        for other in started.get_callers_addresses():
            headers = make_headers(other, "warm-up")
            caller.send_until_run(address, KEY, CHAT, body, headers=headers)
    return started


def make_headers(address, key):
    """Return headers of a keyed request whose home is the given entry."""
    return {
        "Idempotency-Key": key,
        "X-Citronport-Ticket": caller.look_up(address, KEY).ticket,
    }


def count_lines(started, name, kind, **fields):
    """Return how many lines of a stand-in's journal match."""
    lines = journal.read_lines(started.folder / f"{name}.jsonl")
    wanted = {"kind": kind, **fields}
    return sum(wanted.items() <= line.items() for line in lines)
