"""Command line of the measures."""

import gevent.monkey

gevent.monkey.patch_all()

import fire  # noqa: E402

from measures import path  # noqa: E402
from measures import path_endpoint  # noqa: E402
from measures import path_relay  # noqa: E402

if __name__ == "__main__":
    fire.Fire(
        {
            "path": path.run,
            "path_endpoint": path_endpoint.serve,
            "path_relay": path_relay.serve,
        }
    )
