"""Loopback addresses for fleets in tests."""

import os


def choose_subnet(offset: int) -> str:
    """Return the second and third number of a fleet's addresses.

    The subnet depends on the process id, since two checkouts may run their
    tests at the same time: with equal addresses, a fleet would connect to
    processes of the other one.

    Args:
        offset: distinguishes the fleets of one test run; below 16.
    """
    number = (os.getpid() * 16 + offset) % 7500
    return f"{220 + number // 250}.{number % 250}"
