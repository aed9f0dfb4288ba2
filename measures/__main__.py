"""Command line: ``python -m measures NAME [--json FILE] ...``."""

import importlib
import sys

import fire


def run() -> None:
    """Run the benchmark that the first argument names.

    Each benchmark is a module or package in this package. The parameters
    of its function ``run`` become command-line flags.
    """
    if len(sys.argv) < 2 or sys.argv[1].startswith("-"):
        sys.exit("usage: script/measure NAME [--json FILE] ...")
    name = sys.argv[1]
    try:
        module = importlib.import_module(f"measures.{name}")
    except ModuleNotFoundError:
        sys.exit(f"unknown measurement {name!r}")
    fire.Fire(module.run, command=sys.argv[2:], name=f"measure {name}")


if __name__ == "__main__":
    run()
