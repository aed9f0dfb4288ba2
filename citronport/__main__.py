"""Start of the one binary: pins the event loop, then runs the command."""

import os

# gevent may choose its libuv loop, which can use io_uring; the loop and its
# back end are fixed before gevent is imported.
os.environ["GEVENT_LOOP"] = "libev-cext"
os.environ["GEVENT_BACKEND"] = "epoll"

# pydantic would look for plugins in every installed package, and none is
# used: the search only makes a start take longer.
os.environ["PYDANTIC_DISABLE_PLUGINS"] = "__all__"

import sys  # noqa: E402

UNPATCHED_COMMAND = "relay"
"""Its modules use gevent's own sockets and timers throughout."""

# Load: all instances start again at once after a loss of power. Harm: each
# patched module has gevent look for plugins in every installed package,
# and callers are refused while that takes.
if sys.argv[1:2] != [UNPATCHED_COMMAND]:
    import gevent.monkey

    gevent.monkey.patch_all()

from citronport import commands  # noqa: E402


def run() -> None:
    """Run the command line."""
    sys.exit(commands.run(sys.argv[1:]))


if __name__ == "__main__":
    run()
