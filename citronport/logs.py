"""Configuration of the log on standard error."""

import enum

from absl import flags
from absl import logging


class Level(enum.StrEnum):
    """Lowest level of the messages that are logged."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


_LEVELS = {
    Level.INFO: logging.INFO,
    Level.WARNING: logging.WARNING,
    Level.ERROR: logging.ERROR,
}


def configure(level: Level) -> None:
    """Log messages of a level and above to standard error."""
    # fire parses the command line. absl warns as long as its own flags are not
    # marked as parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(_LEVELS[level])
