"""Entry point of the binary: fixes the event loop, then runs the command."""

import os

# gevent may choose its libuv loop, which can use io_uring; the event loop
# and its polling mechanism are set before gevent is imported.
os.environ["GEVENT_LOOP"] = "libev-cext"
os.environ["GEVENT_BACKEND"] = "epoll"

# pydantic searches every installed package for plugins. None is used, so
# the search would only slow down the start.
os.environ["PYDANTIC_DISABLE_PLUGINS"] = "__all__"

import sys  # noqa: E402

UNPATCHED_COMMAND = "relay"
"""Command whose modules use gevent's own sockets and timers throughout."""

# For each module that it patches, gevent searches every installed package
# for plugins. When all instances restart at once after a power loss, callers
# are refused for as long as that takes.
if sys.argv[1:2] != [UNPATCHED_COMMAND]:
    import gevent.monkey

    gevent.monkey.patch_all()


def run() -> None:
    """Run the command line."""
    match sys.argv[1:]:
        case ["relay", path] if not path.startswith("-"):
            # Without the command line's library, which would delay the
            # start of an instance.
            from citronport import orders

            code = orders.execute(orders.Relay(path=path))
        case arguments:
            from citronport import commands

            code = commands.run(arguments)
    sys.exit(code)


if __name__ == "__main__":
    run()
