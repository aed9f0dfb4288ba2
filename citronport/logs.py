"""Configuration of the log on standard error."""

from absl import flags
from absl import logging

from citronport import settings

_LEVELS = {
    settings.LogLevel.INFO: logging.INFO,
    settings.LogLevel.WARNING: logging.WARNING,
    settings.LogLevel.ERROR: logging.ERROR,
}


def configure(level: settings.LogLevel) -> None:
    """Log messages of a level and above to standard error."""
    # fire parses the command line. absl warns as long as its own flags are not
    # marked as parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(_LEVELS[level])
