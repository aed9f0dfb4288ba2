"""How many streams an instance remembers."""

import testtools

from citronport import clock
from citronport.relay import cluster_state
from citronport.relay import stream_messages
from citronport.relay import stream_records
from citronport.relay import stream_versions
from citronport.scheduler.direct import cold_starts
from tests.relay import samples


class BoundTest(testtools.TestCase):
    """A bounded number of streams at one instance."""

    def test_reported_streams(self):
        """Guards against reports that displace the instance's own streams."""
        version = stream_records.StreamVersion(service="s", software="v1")
        records = stream_records.StreamRecords(clock.RuntimeClock(), 100)
        records.store(1, version, is_reported=False)
        for key in range(1, 1000):
            records.store(key, version, is_reported=True)
        self.assertEqual(version, records.get(1))
        self.assertLessEqual(len(records), 100)
        self.assertIn(999, records)

    def test_number_of_the_settings(self):
        """Guards against a bound that is not that of the settings."""
        ticker = clock.ManualClock()
        records = stream_records.StreamRecords(ticker, 4)
        state = cluster_state.ClusterState(
            cold_starts.ColdStarts(),
            lambda name: None,
            samples.make_log(ticker),
        )
        versions = stream_versions.StreamVersions(
            "own", None, state, None, None, None, None, ticker, records
        )
        rows = [(key, "s", "v1") for key in range(100)]
        versions.handle(stream_messages.StreamsBegun(protocol=1, rows=rows))
        self.assertEqual(3, len(versions))
