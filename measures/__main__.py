"""Runs one measurement: ``python -m measures NAME [--json FILE] ...``."""

import importlib
import sys

import fire


def run() -> None:
    """Run the measurement that the first argument names.

    Each measurement is a package here with a function ``run``, whose
    parameters are its flags.
    """
    if len(sys.argv) < 2 or sys.argv[1].startswith("-"):
        sys.exit("usage: script/measure NAME [--json FILE] ...")
    name = sys.argv[1]
    try:
        module = importlib.import_module(f"measures.{name}")
    except ModuleNotFoundError:
        sys.exit(f"there is no measurement {name!r}")
    fire.Fire(module.run, command=sys.argv[2:], name=f"measure {name}")


if __name__ == "__main__":
    run()
