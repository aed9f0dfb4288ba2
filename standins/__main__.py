"""Command line of the stand-ins.

The servers run until they are killed; the demo, scenario and soak commands
end by themselves.
"""

import gevent.monkey

gevent.monkey.patch_all()

import fire  # noqa: E402

from standins import demo  # noqa: E402
from standins import engine  # noqa: E402
from standins import instance  # noqa: E402
from standins import platform  # noqa: E402
from standins import scenario  # noqa: E402
from standins import scenario_soak  # noqa: E402
from standins import service  # noqa: E402

if __name__ == "__main__":
    fire.Fire(
        {
            "demo": demo.run,
            "engine": engine.serve,
            "instance": instance.serve,
            "platform": platform.serve,
            "scenario": scenario.run_file,
            "soak": scenario_soak.run,
            "service": service.serve,
        }
    )
