"""One line of key=value pairs for each event, through absl.logging."""

import json
import logging as standard_logging

from absl import flags, logging

from sassafrashook.telemetry._sink import LogSink
from sassafrashook.utils import hash_key

PLAIN_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:/@+,-[]*"
)


HASH_RANGE = 2**64
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
    """Return a value as it stands in a log line: lists joined, quoted unless it is plain."""
    if isinstance(value, list | tuple):
        value = ",".join(str(item) for item in value) or "-"
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
        kind = getattr(record, "event", "message")
        self.sink.put(self.format(record), is_urgent, kind)


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


def is_sampled(key, sink=None):
    """Return whether the lines about a key should be written while the log runs short.

    The same keys are picked by every process that has as much room left.

    :param key: text, such as a request's id.
    :param sink: the :class:`LogSink`, by default the one of :func:`configure_logs`.
    """
    sinks = [sink] if sink is not None else list_sinks()
    return hash_key(key) < min((s.room() for s in sinks), default=1.0) * HASH_RANGE


def observe_logs(metrics):
    """Show how many lines were left out on a page of metrics.

    :param metrics: a :class:`Metrics`.
    """
    metrics.observe("log_lines_left_out", lambda: sum(s.left_out_ for s in list_sinks()))


def list_sinks():
    """Return the sinks that log lines go to."""
    handlers = standard_logging.getLogger().handlers
    return [handler.sink for handler in handlers if isinstance(handler, SinkHandler)]


def log_event(event, *, level="info", **pairs):
    """Write one event.

    :param event: its name.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param pairs: its values by key.
    """
    text = " ".join(f"{key}={quote_value(value)}" for key, value in pairs.items())
    line = f"event={event} {text}".rstrip()
    logging.log(LEVELS[level], "%s", line, extra={"event": event})
