"""Structured logging through absl.logging: one line of key=value pairs per event."""

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
    """Formats a record as time, level, event name and key=value pairs."""

    def format(self, record):
        """Return the log line of a record."""
        timestamp = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
        level = record.levelname.lower()
        message = record.getMessage()
        if not message.startswith("event="):
            message = f"event=message text={quote_value(message)}"
        line = f"time={timestamp}.{int(record.msecs):03d} level={level} {message}"
        if record.exc_info:
            line += f" error={quote_value(self.formatException(record.exc_info))}"
        return line


def quote_value(value):
    """Return the text of a value in a log line.

    Items of lists are joined by commas. Texts with characters other than ``PLAIN_CHARACTERS`` are
    quoted as in JSON.
    """
    if isinstance(value, list | tuple):
        value = ",".join(str(item) for item in value) or "-"
    text = str(value)
    if text and PLAIN_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text)


class SinkHandler(standard_logging.Handler):
    """Formats records and queues them in a sink.

    :param sink: a :class:`LogSink`.
    """

    def __init__(self, sink):
        super().__init__()
        self.sink = sink
        self.setFormatter(KeyValueFormatter())

    def emit(self, record):
        """Format and queue one record."""
        is_urgent = record.levelno >= standard_logging.WARNING
        event = getattr(record, "event", "message")
        self.sink.put(self.format(record), is_urgent, event)


def configure_logs(level="info"):
    """Send log lines to standard output.

    :param level: minimum level, ``debug``, ``info``, ``warning`` or ``error``.
    :returns: the :class:`LogSink`; it writes synchronously until it is started.
    """
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(level)
    sink = LogSink()
    standard_logging.getLogger().handlers = [SinkHandler(sink)]
    return sink


def is_sampled(key, sink=None):
    """Return whether log lines about a key should be written at the current sampling rate.

    Processes with equal sampling rates select the same keys.

    :param key: text, such as the id of a request.
    :param sink: the :class:`LogSink`; by default that of :func:`configure_logs`.
    """
    sinks = [sink] if sink is not None else list_sinks()
    return hash_key(key) < min((s.compute_sampling_rate() for s in sinks), default=1.0) * HASH_RANGE


def register_log_gauge(metrics):
    """Register a gauge for the number of dropped log lines.

    :param metrics: a :class:`Metrics`.
    """
    metrics.register_gauge(
        "log_lines_left_out", lambda: sum(s.dropped_lines_ for s in list_sinks())
    )


def list_sinks():
    """Return the sinks of the root logger's handlers."""
    handlers = standard_logging.getLogger().handlers
    return [handler.sink for handler in handlers if isinstance(handler, SinkHandler)]


def log_event(event, *, level="info", **pairs):
    """Log one event.

    :param event: name of the event.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param pairs: values of the event by key.
    """
    text = " ".join(f"{key}={quote_value(value)}" for key, value in pairs.items())
    line = f"event={event} {text}".rstrip()
    logging.log(LEVELS[level], "%s", line, extra={"event": event})
