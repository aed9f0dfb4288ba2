"""Datagrams that someone sends in the name of instances end no instance."""

import socket

import gevent

from citronport.relay import messages
from citronport.relay import stream_messages
from tests.relay import crowds
from tests.relay import instances
from tests.relay import test_membership

CROWD = 200
"""Datagrams of most crowds, each close to the longest."""

MAX_ROWS = 8192
"""Rows of one kind that a message has at most."""

ROWS = 3000
"""Rows that fit into a datagram."""

LONG = "x" * 50_000
"""A name that nearly fills a datagram."""

PAUSE_SECONDS = 0.002
"""Pause between two datagrams, most of which are then received."""

SILENT = 250
"""Instances that are silent at once."""

SILENT_SECONDS = 13.0
"""Time after which a fleet of as many instances has probed all of them."""

READ_SECONDS = 1.0
"""Time in which those are read that lie in the socket."""


class DatagramCase(crowds.CrowdCase):
    """One instance, and messages of instances that do not exist."""

    def send(self, number, make):
        """Send a number of messages; check what the instance holds then."""
        self.send_data(
            messages.CODEC.encode(make(each)) for each in range(number)
        )
        self.assertTrue(self.running.is_running("entry-1"))
        self.assertLess(self.meter.memory, self.memory_mb * 1e6)

    def send_data(self, datagrams):
        """Send datagrams, and wait until they have been read."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in datagrams:
                sock.sendto(data, (self.host, instances.REPORTS))
                gevent.sleep(PAUSE_SECONDS)
        gevent.sleep(READ_SECONDS)
        self.meter.measure()

    def attack(self, number, make):
        """Send a number of messages; check the bounds and a caller."""
        self.send(number, make)
        self.check()


class DatagramTest(DatagramCase):
    """Many rows, or long names, in messages of each kind."""

    def test_long_reports(self):
        """Guards against long reports of instances that do not exist."""
        loads = [(f"e{n}", 1, 1, 1) for n in range(5000)]
        self.send(
            200,
            lambda n: test_membership.make_report(f"i{n}", loads=loads),
        )

    def test_many_requests_for_leases(self):
        """Guards against requests for leases that are kept without a bound."""
        self.send(20_000, self.make_ask)

    def test_other_endpoints_in_each_report(self):
        """Guards against step times that are kept for all that is named."""
        self.attack(
            CROWD,
            lambda n: test_membership.make_report(
                "entry-9",
                n,
                loads=[(f"{n}-{row}", 1, 1, 1) for row in range(ROWS)],
            ),
        )

    def test_usage_of_many_workspaces(self):
        """Guards against usage that is kept for all that is named."""
        self.attack(
            CROWD,
            lambda n: test_membership.make_report(
                f"i{n}",
                admitted_units={f"{n}-{row}": 1.0 for row in range(ROWS)},
            ),
        )

    def test_limits_of_many_endpoints(self):
        """Guards against limits that are kept for all that is named."""
        self.attack(
            CROWD,
            lambda n: test_membership.make_report(
                f"i{n}",
                limits=[(f"{n}-{row}", 1000, 0) for row in range(ROWS)],
            ),
        )

    def test_profiles_of_many_services(self):
        """Guards against profiles that are kept for all that is named."""
        self.attack(
            CROWD,
            lambda n: test_membership.make_report(
                f"i{n}",
                profiles=[
                    (f"{n}-{row}", 1.0, 1.0, 1.0) for row in range(ROWS // 2)
                ],
            ),
        )

    def test_suspects_with_long_keys(self):
        """Guards against contents whose names are kept at any length."""
        self.attack(
            10 * CROWD,
            lambda n: test_membership.make_report(
                "entry-9", n, suspects=[(f"{n}{LONG}", 0, -1, [(1, 0)], [1])]
            ),
        )

    def test_long_names_of_instances(self):
        """Guards against members whose names are kept at any length."""
        self.attack(
            10 * CROWD,
            lambda n: test_membership.make_report(
                f"i{n}", incarnation=f"{n}{LONG}"
            ),
        )

    def test_starts_of_one_instance(self):
        """Guards against starts that are kept for all that is named."""
        self.attack(
            10 * CROWD,
            lambda n: test_membership.make_report(
                "entry-9", n, incarnation=f"{n}{LONG}"
            ),
        )

    def test_held_leases(self):
        """Guards against leases that are kept for all that is named."""
        self.attack(
            CROWD,
            lambda n: messages.Holding(
                protocol=messages.PROTOCOL,
                instance=f"i{n}",
                leases=[(f"{n}-{row}", "i-1", 100) for row in range(ROWS)],
            ),
        )

    def test_long_requests_for_leases(self):
        """Guards against requests for leases that are kept at any length."""
        self.attack(
            10 * CROWD, lambda n: self.make_ask(n, tried=[str(n), LONG])
        )

    def test_streams(self):
        """Guards against streams that are kept for all that is named."""
        self.attack(
            CROWD,
            lambda n: stream_messages.StreamsBegun(
                protocol=messages.PROTOCOL,
                rows=[
                    (n * ROWS + row, "llm", f"v{row}") for row in range(ROWS)
                ],
            ),
        )

    def test_streams_with_long_names(self):
        """Guards against streams whose versions are kept at any length."""
        self.attack(
            10 * CROWD,
            lambda n: stream_messages.StreamsBegun(
                protocol=messages.PROTOCOL, rows=[(n, "llm", LONG)]
            ),
        )

    def test_questions_for_streams(self):
        """Guards against questions that are answered without a bound."""
        self.attack(
            50 * CROWD,
            lambda n: stream_messages.FindStream(
                protocol=messages.PROTOCOL,
                instance="entry-9" + "x" * 5000,
                key=n,
                service="llm",
                confirm=True,
            ),
        )

    def make_ask(self, number, **changes):
        """Return a request for a lease of an instance that does not exist."""
        fields = {
            "protocol": messages.PROTOCOL,
            "instance": "entry-9",
            "request": f"crowd-{number}" + "x" * 500,
            "route": "r1",
            "service": "llm",
            "tier": 0,
            "prompt": 100,
            "output": 10,
            "expected": 10,
            "elapsed_seconds": 0.0,
            "remaining_seconds": 1000.0,
            "tried": [],
            "paused": [],
            "workspace": "shop",
            "data_centre": "a",
            "software": None,
            "is_assigned": False,
        }
        return messages.Ask(**{**fields, **changes})


class SummaryTest(DatagramCase):
    """Compressed messages, which hold more than a datagram."""

    def attack_by_summaries(self, make_fields):
        """Send summaries of as many data centres; check the bounds."""
        self.send_data(
            messages.pack(self.make_summary(n, **make_fields(n)))
            for n in range(CROWD)
        )
        self.check()

    def make_summary(self, number, **changes):
        """Return a summary of a data centre that does not exist."""
        fields = {
            "protocol": messages.PROTOCOL,
            "instance": f"i{number}",
            "incarnation": "1",
            "number": 1,
            "up_seconds": 60.0,
            "data_centre": f"centre-{number}",
            "is_forwarded": True,
            "rows": [],
            "admitted_units": {},
            "profiles": [],
            "members": [],
            "suspects": [],
            "limits": [],
        }
        return messages.Summary(**{**fields, **changes})

    def test_usage_of_many_workspaces(self):
        """Guards against usage of data centres that do not exist."""
        self.attack_by_summaries(
            lambda n: {
                "admitted_units": {
                    f"{n}-{row}": 1.0 for row in range(5 * ROWS)
                }
            }
        )

    def test_usage_of_as_many_as_a_message_holds(self):
        """Guards against usage that passes the limit on rows."""
        self.attack_by_summaries(
            lambda n: {
                "admitted_units": {
                    f"{n}-{row}": 1.0 for row in range(MAX_ROWS)
                }
            }
        )

    def test_limits_of_as_many_as_a_message_holds(self):
        """Guards against limits that pass the limit on rows."""
        self.attack_by_summaries(
            lambda n: {
                "limits": [(f"{n}-{row}", 1000, 0) for row in range(MAX_ROWS)]
            }
        )

    def test_many_data_centres(self):
        """Guards against envoys whose names are kept at any length."""
        self.attack_by_summaries(
            lambda n: {"instance": f"{n}{LONG * 10}", "data_centre": LONG}
        )

    def test_limits_of_many_endpoints(self):
        """Guards against limits that a summary holds for all it names."""
        self.attack_by_summaries(
            lambda n: {
                "limits": [(f"{n}-{row}", 1000, 0) for row in range(5 * ROWS)]
            }
        )


class SilentInstancesTest(DatagramCase):
    """Instances that are named and never answer."""

    descriptors = 400

    def test_many_instances_out_of_reach(self):
        """Guards against a connection at once to each silent instance."""
        with socket.socket() as listener, socket.socket() as filler:
            listener.bind((f"127.{self.subnet}.99", 0))
            listener.listen(0)
            host, port = listener.getsockname()
            # Connections beyond the first wait for room in the queue.
            filler.connect((host, port))
            self.send(
                SILENT,
                lambda n: test_membership.make_report(
                    f"i{n}", peer_address=f"{host}:{port}"
                ),
            )
            gevent.sleep(SILENT_SECONDS)
            self.check()
