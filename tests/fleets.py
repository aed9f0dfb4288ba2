"""Fleets of real processes for tests."""

import pathlib
import tempfile

from standins import fleet
from standins import processes


def start_fleet(test, layout):
    """Start the processes of a layout; return the fleet once all listen.

    The processes are stopped at the end of the test.
    """
    folder = tempfile.TemporaryDirectory()
    test.addCleanup(folder.cleanup)
    running = processes.Processes(pathlib.Path(folder.name))
    test.addCleanup(running.__exit__)
    started = fleet.Fleet(layout, running)
    started.start()
    return started
