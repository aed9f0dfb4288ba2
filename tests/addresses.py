"""Loopback addresses for the fleets of tests."""

import os


def choose_subnet(offset: int) -> str:
    """Return second and third number of a fleet's addresses.

    Two checkouts may run their tests at the same time: each process takes
    a subnet of its own, since a fleet would else find the other's
    processes at its addresses.

    Args:
        offset: different for each fleet of one run, below 16.
    """
    number = (os.getpid() * 16 + offset) % 7500
    return f"{220 + number // 250}.{number % 250}"
