"""Tests of runs."""

import testtools

from citronport import errors
from citronport import runs
from citronport.endpoints import messages
from tests import samples


def make_run(*, repeatable=False):
    """Return a run without readers."""
    return runs.Run(
        samples.make_work(), lambda run: None, repeatable=repeatable
    )


class RunTest(testtools.TestCase):
    """Runs with one or more readers."""

    def test_refusal_before_the_reader_is_delivered(self):
        """A refusal that precedes its reader is not lost.

        Another instance forwards a request, which is refused before the task
        that returns the answer has started. If the refusal is lost, the
        caller waits until its own timeout.
        """
        run = make_run()
        refused = messages.Refused(
            refusal=errors.Refusal(code=errors.Code.NO_CATALOGUE)
        )
        run.deliver(refused)
        self.assertEqual([refused], list(run.read()))

    def test_second_reader_gets_all_of_a_repeatable_run(self):
        """A repeat attaches later and reads from the start."""
        run = make_run(repeatable=True)
        chunk = messages.Chunk(offset=0, data=b"x")
        end = messages.Finished(size=1)
        first = run.attach()
        run.deliver(chunk)
        run.deliver(end)
        self.assertEqual(chunk, first.get())
        self.assertEqual([chunk, end], list(run.read()))

    def test_nothing_follows_the_end(self):
        """A late chunk after the end of the answer is dropped."""
        run = make_run(repeatable=True)
        end = messages.Finished(size=0)
        run.deliver(end)
        run.deliver(messages.Chunk(offset=0, data=b"late"))
        self.assertEqual([end], list(run.read()))
