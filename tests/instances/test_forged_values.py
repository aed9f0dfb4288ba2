"""Values and reports that someone sends in the name of an entry instance."""

from citronport.catalogue import const as catalogue_const
from citronport.instances import const
from citronport.instances import messages
from citronport.scheduler import models
from standins import fleet
from tests.instances import test_crowds
from tests.relay import crowds

VALUE_BYTES = 7_900_000
ROWS = 20_000
"""Rows of a report of just under its limit."""

REPORTS = 40


class ForgedValueTest(test_crowds.EntryCase):
    """Messages behind a greeting, in the name of an instance."""

    def send(self, *sent):
        """Send messages on one connection; check the bounds and a caller."""
        hello = messages.Hello(
            protocol=const.PROTOCOL, instance="entry-9", incarnation="1"
        )
        data = b"".join(map(messages.encode, (hello, *sent)))
        client = crowds.Client(head=data)
        self.crowd.join(self.host, fleet.PEER_PORT, client, 1)
        self.crowd.settle(test_crowds.SETTLE_SECONDS)
        self.check()

    def make_value(self, text, number=0):
        """Return a published value of a later version."""
        return messages.Value(
            path=catalogue_const.PATH_CATALOGUE,
            version=10**6 + number,
            value=text,
        )

    def test_value_of_many_objects(self):
        """Guards against a value whose document has too many objects."""
        text = f"[{'[],' * (VALUE_BYTES // 3)}[]]"
        self.send(self.make_value(text))

    def test_value_that_is_no_json(self):
        """Guards against a long value that the slow parser reads."""
        self.send(self.make_value("- []\n" * (VALUE_BYTES // 5)))

    def test_reports_of_many_instances(self):
        """Guards against reports of instances that do not exist."""
        self.send(
            *(
                messages.Report(
                    sent=0.0,
                    summary=models.InstanceSummary(
                        instance=f"i{number}",
                        version=1,
                        usage={f"{number}-{row}": 1 for row in range(ROWS)},
                        rates={f"{number}-{row}": 1.0 for row in range(ROWS)},
                    ),
                    versions={},
                    silent={},
                )
                for number in range(REPORTS)
            )
        )
