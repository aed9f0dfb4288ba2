"""Start of the one binary: pins the event loop, then runs the command."""

import os

# gevent may choose its libuv loop, which can use io_uring; the loop and its
# back end are fixed before gevent is imported.
os.environ["GEVENT_LOOP"] = "libev-cext"
os.environ["GEVENT_BACKEND"] = "epoll"

import gevent.monkey  # noqa: E402

gevent.monkey.patch_all()

import sys  # noqa: E402

from citronport import commands  # noqa: E402


def run() -> None:
    """Run the command line."""
    sys.exit(commands.run(sys.argv[1:]))


if __name__ == "__main__":
    run()
