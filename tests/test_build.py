"""Tests of the binary: build, start, number of processes, requests."""

import os
import pathlib
import subprocess
import sys
import tempfile

import testtools

from standins import caller
from standins import fleet
from standins import processes
from tests import addresses

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARY = ROOT / "dist" / "citronport"
LAYOUT = fleet.Layout(
    subnet=addresses.choose_subnet(1),
    data_centres=("dc-1",),
    instances=1,
    engines=({"name": "engine-1", "models": ("small",), "cold_seconds": 0.1},),
    services=(),
    entries=(
        {"name": "floor", "owner": "extruder-1", "class": 0, "key": "key-1"},
    ),
)
MINOR_FAULTS_OF_CHILDREN = 10
"""Index in /proc/PID/stat; the value is above 0 once a child has ended."""


def make_environment(folder):
    """Return an environment in which the binary finds Python 3.11."""
    python = pathlib.Path(sys.executable).resolve()
    return {
        **os.environ,
        "PATH": f"{python.parent}:{os.environ['PATH']}",
        "CITRONPORT_UNPACK": str(folder),
    }


def count_children(pid):
    """Return the number of current children, and whether any has ended."""
    tasks = pathlib.Path(f"/proc/{pid}/task").iterdir()
    now = sum(len((t / "children").read_text().split()) for t in tasks)
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return now, int(fields[MINOR_FAULTS_OF_CHILDREN]) > 0


class BuildTest(testtools.TestCase):
    """The binary runs as a single process."""

    @classmethod
    def setUpClass(cls):
        """Build the binary."""
        super().setUpClass()
        subprocess.run([ROOT / "script" / "build"], check=True, timeout=300)

    def setUp(self):
        """Create a temporary folder."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.unpacked = self.folder / "unpacked"

    def start(self, *arguments):
        """Start the binary as an operator does."""
        process = subprocess.Popen(
            [BINARY, *arguments], env=make_environment(self.unpacked)
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def test_serves_as_one_process(self):
        """The binary starts no other process, not even at its first start.

        Instances must not start helper processes, however short-lived. The
        kernel adds the page faults of ended children to those of their
        parent, so that a helper which has ended is detected as well.
        """
        running = processes.Processes(self.folder)
        self.addCleanup(running.__exit__)
        started = fleet.Fleet(LAYOUT, running)
        started.start()
        running.signal("entry-1", 15)
        self.assertEqual(0, running.wait("entry-1", 20))

        process = self.start("serve", str(self.folder / "entry-1.yaml"))
        address = started.get_callers_addresses()[0]
        processes.wait_for_port(*address.split(":"), seconds=60)
        body = caller.make_chat("small", "what is due?", 5)
        outcome = caller.send_until_run(
            address, "key-1", "/v1/chat/completions", body
        )
        self.assertEqual(caller.make_expected(body), outcome.text)
        self.assertEqual((0, False), count_children(process.pid))
        process.terminate()
        self.assertEqual(0, process.wait(20))

    def test_folder_writable_by_others_is_refused(self):
        """The binary does not run code that other users can write to."""
        self.unpacked.mkdir()
        self.unpacked.chmod(0o777)
        self.assertEqual(1, self.start("version").wait(60))
        self.unpacked.chmod(0o700)
        self.assertEqual(0, self.start("version").wait(60))
        self.assertEqual(1, len(list(self.unpacked.iterdir())))
