"""One line of key=value pairs for each event, through absl.logging."""

import json
import logging as standard_logging

from absl import flags, logging

from sassafrashook.telemetry._sink import LogSink

PLAIN_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:/@+,-[]*"
)


LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class KeyValueFormatter(standard_logging.Formatter):
    """Formats a record as time, level and the event's pairs."""

    def format(self, record):
        """Return the line for one record."""
        moment = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
        level = record.levelname.lower()
        message = record.getMessage()
        if not message.startswith("event="):
            message = f"event=message text={quote_value(message)}"
        line = f"time={moment}.{int(record.msecs):03d} level={level} {message}"
        if record.exc_info:
            line += f" error={quote_value(self.formatException(record.exc_info))}"
        return line


def quote_value(value):
    """Return a value as it stands in a log line: quoted unless it is plain."""
    text = str(value)
    if text and PLAIN_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text)


class SinkHandler(standard_logging.Handler):
    """Hands formatted records to a sink.

    :param sink: a :class:`LogSink`.
    """

    def __init__(self, sink):
        super().__init__()
        self.sink = sink
        self.setFormatter(KeyValueFormatter())

    def emit(self, record):
        """Write one record."""
        is_urgent = record.levelno >= standard_logging.WARNING
        self.sink.put(self.format(record), is_urgent)


def configure_logs(level="info"):
    """Send log lines to standard output.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :returns: the :class:`LogSink`; once it is started, lines are written by a task.
    """
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(level)
    sink = LogSink()
    standard_logging.getLogger().handlers = [SinkHandler(sink)]
    return sink


def log_event(event, *, level="info", **pairs):
    """Write one event.

    :param event: its name.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param pairs: its values by key.
    """
    text = " ".join(f"{key}={quote_value(value)}" for key, value in pairs.items())
    line = f"event={event} {text}".rstrip()
    logging.log(LEVELS[level], "%s", line)
