"""Sets up the log lines for people."""

from absl import flags
from absl import logging

from citronport import settings

_LEVELS = {
    settings.LogLevel.INFO: logging.INFO,
    settings.LogLevel.WARNING: logging.WARNING,
    settings.LogLevel.ERROR: logging.ERROR,
}


def configure(level: settings.LogLevel) -> None:
    """Send log lines of a level and above to standard error."""
    # The command line is fire's; absl warns until its flags were parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(_LEVELS[level])
