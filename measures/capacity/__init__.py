"""Cost of state, messages, CPU and memory, extrapolated to full size."""

import dataclasses
import json as json_module

from measures.capacity import aims
from measures.capacity import catalogue
from measures.capacity import daemons
from measures.capacity import messages
from measures.capacity import slopes
from measures.capacity import traffic


def run(json: str = "", seconds: float = 8.0, subnet: str = "35.1") -> None:
    """Measure the slopes and extrapolate them to the aimed size.

    Args:
        json: file for the figures.
        seconds: how long each number of real processes is watched.
        subnet: second and third number of the loopback addresses.
    """
    series = [
        *catalogue.measure(),
        *messages.measure(),
        *daemons.measure(seconds, str(subnet)),
        *traffic.measure(seconds, str(subnet)),
    ]
    fitted = [slopes.fit(one) for one in series]
    for line in slopes.describe(fitted):
        print(line)
    single = {**catalogue.compare_updates(), **messages.count_hops()}
    for name, value in single.items():
        print(f"{name}: {value}")
    totals = aims.compute_totals(fitted, single)
    for line in aims.describe(totals):
        print(line)
    if json:
        with open(json, "w") as file:
            json_module.dump(
                {
                    "slopes": [dataclasses.asdict(one) for one in fitted],
                    "single": single,
                    "totals": totals,
                },
                file,
                indent=1,
            )
