"""The command line of the one binary."""

import os

# gevent may choose its libuv loop, which can use io_uring; the loop and its
# back end are fixed before gevent is imported.
os.environ["GEVENT_LOOP"] = "libev-cext"
os.environ["GEVENT_BACKEND"] = "epoll"

import gevent.monkey  # noqa: E402

gevent.monkey.patch_all()

import pathlib  # noqa: E402
import sys  # noqa: E402

from absl import logging  # noqa: E402
import fire  # noqa: E402
import result  # noqa: E402

from citronport import clock  # noqa: E402
from citronport import const  # noqa: E402
from citronport import core  # noqa: E402
from citronport import settings  # noqa: E402


class Commands:
    """A request scheduler for unlike engines."""

    def serve(self, settings_file: str) -> None:
        """Run one entry instance until SIGTERM.

        Args:
            settings_file: path of a YAML settings file.
        """
        match settings.read_settings(pathlib.Path(settings_file)):
            case result.Err(reason):
                _fail(reason)
            case result.Ok(checked):
                core.Daemon(checked, clock.RuntimeClock()).serve()

    def version(self) -> str:
        """Print the version."""
        return const.VERSION


def _fail(reason: str) -> None:
    print(reason, file=sys.stderr)
    sys.exit(2)


def run() -> None:
    """Run the command line."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    fire.Fire(Commands(), name="citronport")


if __name__ == "__main__":
    run()
