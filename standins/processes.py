"""Starts, signals and kills the processes of a test fleet."""

import pathlib
import signal
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent


class Processes:
    """The processes of one run by name; kills them all on exit.

    Args:
        folder: for the log files with the output of the processes.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self._running: dict[str, subprocess.Popen] = {}

    def __enter__(self) -> "Processes":
        """Return itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kill every process that was started here, by its id."""
        for process in self._running.values():
            process.kill()
        for process in self._running.values():
            process.wait()

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start ``python -m module arguments``."""
        with (self.folder / f"{name}.log").open("ab") as log:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._running[name].send_signal(number)

    def wait(self, name: str, seconds: float) -> int | None:
        """Wait for a process to end; return its exit code, None on timeout."""
        try:
            return self._running[name].wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def get_pid(self, name: str) -> int:
        """Return a process id."""
        return self._running[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether a process runs."""
        return self._running[name].poll() is None


def wait_for_port(address: str, port: int, seconds: float = 20.0) -> None:
    """Wait until a port accepts connections.

    Raises:
        TimeoutError: no connection was accepted in time.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            socket.create_connection((address, port), timeout=1).close()
            return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(f"{address}:{port} not listening after {seconds} s")
