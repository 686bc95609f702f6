"""Logging through absl, with a fixed prefix for each component."""

import json
import logging as std_logging

from absl import flags, logging

from almondstack.core.settings import LoggingSettings

__all__ = ["PartLogger", "configure_logging"]


class _JsonFormatter(std_logging.Formatter):
    """Formats each log line as a JSON object."""

    def format(self, record: std_logging.LogRecord) -> str:
        part, _, message = record.getMessage().partition(": ")
        fields = {
            "time": self.formatTime(record),
            "level": record.levelname,
            "part": part,
            "message": message,
        }
        return json.dumps(fields)


def configure_logging(settings: LoggingSettings) -> None:
    """Send log lines to standard error in the configured format."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(settings.verbosity)
    logging.set_stderrthreshold("debug")
    if settings.log_format == "json":
        logging.get_absl_handler().setFormatter(_JsonFormatter())


def _skip_own_frames() -> None:
    """Make absl report the caller of :class:`PartLogger` as the source location of a line."""
    for name in ("info", "warning", "error", "debug"):
        logging.ABSLLogger.register_frame_to_skip(__file__, name)


class PartLogger:
    """Writes the log lines of one component.

    Parameters
    ----------
    part : str
        The prefix of every line.
    """

    __slots__ = ("_part",)

    def __init__(self, part: str) -> None:
        self._part = part

    def info(self, message: str, *args: object) -> None:
        """Write an informational line."""
        logging.info(self._part + ": " + message, *args)

    def warning(self, message: str, *args: object) -> None:
        """Write a warning."""
        logging.warning(self._part + ": " + message, *args)

    def error(self, message: str, *args: object) -> None:
        """Write an error."""
        logging.error(self._part + ": " + message, *args)

    def debug(self, message: str, *args: object) -> None:
        """Write a line that is shown at verbosity 1."""
        logging.debug(self._part + ": " + message, *args)


_skip_own_frames()
