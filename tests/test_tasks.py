"""Tests of the supervision of tasks."""

import subprocess
import sys

import gevent
import testtools

from citronport import clock
from citronport import tasks

SECRET = "key-of-a-caller"


class SupervisorTest(testtools.TestCase):
    """Failures of tasks are logged, counted and handled."""

    def setUp(self):
        """Create a supervisor with a manual clock."""
        super().setUp()
        self.deaths = []
        self.ticker = clock.ManualClock()
        self.tasks = tasks.Supervisor(self.ticker, self.deaths.append)

    def test_failed_task_restarts_after_a_delay(self):
        """A watch that fails with an unexpected error is restarted.

        Otherwise its value would stay outdated unnoticed. Each restart is
        delayed.
        """
        starts = []

        def act():
            starts.append(self.ticker.now())
            if len(starts) < 3:
                raise KeyError(SECRET)

        with self.assertLogs("absl", "ERROR") as logs:
            self.tasks.start_restarting("watch", act).get(timeout=10)
        pause = tasks.RESTART_SECONDS
        self.assertEqual([0, pause, 2 * pause], starts)
        self.assertEqual(["watch", "watch"], self.deaths)
        self.assertIn(
            "task watch failed with KeyError at test_tasks.py", logs.output[0]
        )
        self.assertNotIn(SECRET, "".join(logs.output))

    def test_other_tasks_are_logged_without_their_values(self):
        """Error texts are not logged: they may contain a caller's key."""
        hub = gevent.get_hub()
        self.addCleanup(vars(hub).pop, "print_exception")
        self.tasks.report_unhandled()
        with self.assertLogs("absl", "ERROR") as logs:
            gevent.spawn(int, SECRET).join()
        self.assertEqual(["unnamed"], self.deaths)
        self.assertNotIn(SECRET, "".join(logs.output))

    def test_process_ends_with_a_required_task(self):
        """The failure of a required task ends the process.

        A task that fails in the middle of a step may leave wrong state, which
        could overload a cold endpoint or lose a request. The process exits
        with a specific code.
        """
        script = (
            "import gevent\n"
            "from citronport import clock, tasks\n"
            "ticker = clock.RuntimeClock()\n"
            "supervisor = tasks.Supervisor(ticker, lambda name: None)\n"
            "supervisor.start_required('executor', int, 'x')\n"
            "gevent.sleep(30)\n"
        )
        done = subprocess.run(
            [sys.executable, "-c", script],
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(tasks.EXIT_TASK_DIED, done.returncode)
        self.assertIn(
            "process exits, because it requires task executor", done.stderr
        )
