"""Sends and bytes within a data centre and between two."""

import dataclasses

from citronport.relay import metrics
from tests.relay import fakes
from tests.relay import senders
from tests.relay import test_pages


class CountersTest(senders.SenderCase):
    """Counters of one request to an endpoint in data centre a."""

    data_centre = ""

    def make_job(self, *args, **kwargs):
        """Return a request of an instance in a data centre."""
        job = super().make_job(*args, **kwargs)
        work = dataclasses.replace(job.work, data_centre=self.data_centre)
        return dataclasses.replace(job, work=work)

    def test_sends_and_bytes_by_scope(self):
        """Guards against bytes between data centres that go uncounted."""
        self.prepare(fakes.Endpoint(self, fakes.answer()))
        for self.data_centre in ("b", "a", ""):
            self.assertEqual(200, self.ask())
        counts = self.context.counts
        self.assertEqual({"local": 2, "remote": 1}, counts.scoped_sends)
        answer = len(self.body)
        self.assertGreater(answer, 0)
        self.assertEqual(
            {
                ("local", "request"): 2 * len(b"body"),
                ("remote", "request"): len(b"body"),
                ("local", "answer"): 2 * answer,
                ("remote", "answer"): answer,
            },
            counts.body_bytes,
        )
        text = metrics.render(test_pages.STATE, counts)[0].decode()
        self.assertIn('endpoint_sends_total{scope="remote"} 1', text)
