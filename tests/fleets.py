"""Fleets of real processes that end with a test."""

import pathlib
import tempfile

from standins import fleet
from standins import processes


def start_fleet(test, layout):
    """Start the processes of a layout; return it once all listen."""
    folder = tempfile.TemporaryDirectory()
    test.addCleanup(folder.cleanup)
    running = processes.Processes(pathlib.Path(folder.name))
    test.addCleanup(running.__exit__)
    started = fleet.Fleet(layout, running)
    started.start()
    return started
