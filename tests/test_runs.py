"""Tests of runs."""

import testtools

from citronport import errors
from citronport import runs
from citronport.endpoints import messages
from tests import samples


def make_run(*, repeatable=False):
    """Return a run that nobody reads yet."""
    return runs.Run(
        samples.make_work(), lambda run: None, repeatable=repeatable
    )


class RunTest(testtools.TestCase):
    """One answer, one or more readers."""

    def test_refusal_before_the_reader_is_read(self):
        """The caller gets a refusal that was decided at once.

        Another instance submits a request; it is refused in the same
        moment, before the task that sends the answer back has started.
        Seen as a caller that waited for its own timeout.
        """
        run = make_run()
        refused = messages.Refused(
            refusal=errors.Refusal(code=errors.Code.NO_CATALOGUE)
        )
        run.deliver(refused)
        self.assertEqual([refused], list(run.read()))

    def test_second_reader_gets_all_of_a_kept_run(self):
        """A repeat joins and reads from the start."""
        run = make_run(repeatable=True)
        piece = messages.Chunk(offset=0, data=b"x")
        end = messages.Finished(size=1)
        first = run.attach()
        run.deliver(piece)
        run.deliver(end)
        self.assertEqual(piece, first.get())
        self.assertEqual([piece, end], list(run.read()))

    def test_nothing_follows_the_end(self):
        """A late piece after the final answer is dropped."""
        run = make_run(repeatable=True)
        end = messages.Finished(size=0)
        run.deliver(end)
        run.deliver(messages.Chunk(offset=0, data=b"late"))
        self.assertEqual([end], list(run.read()))
