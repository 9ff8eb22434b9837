"""Process lifecycle: logging, signals, start and graceful stop."""

import os
import signal
import sys

import gevent
from gevent.event import Event

from sassafrashook.tasks import watch_tasks
from sassafrashook.telemetry import configure_logs, log_event
from sassafrashook.transport import configure_event_loop

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


class StartupError(Exception):
    """The process can't start because of its settings or files; the message gives the reason."""


def run_with_logging(level, function, *arguments):
    """Configure the event loop and logging, and call a function.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param function: called with ``arguments``; returns the exit code of the process.
    :returns: exit code of the process. Buffered log lines are written before.
    """
    configure_event_loop()
    sink = configure_logs(level)
    sink.start()
    try:
        return function(*arguments)
    finally:
        sink.flush()


def run_until_signal(
    make_daemon, stop, on_started=None, exits_on_second_signal=False, **log_fields
):
    """Run a daemon until SIGTERM or SIGINT, or until it fails.

    :param make_daemon: returns an object with a method ``start`` and an event ``failed_``, which is
        set when the process must exit.
    :param stop: called with the daemon to stop it gracefully.
    :param on_started: called with the daemon once it has started, or ``None``.
    :param exits_on_second_signal: whether a second signal ends the process immediately.
    :param log_fields: fields of each log line about start and stop.
    :returns: exit code of the process.
    """
    stopping = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, _request_stop, stopping, exits_on_second_signal)
    try:
        daemon = make_daemon()
        watch_tasks(lambda task, error: daemon.failed_.set())
        daemon.start()
    except StartupError as error:
        log_event("start_refused", level="error", **log_fields, reason=error)
        return EXIT_USAGE
    except OSError as error:
        log_event("start_failed", level="error", **log_fields, reason=error)
        return EXIT_FAILED
    log_event("started", **log_fields, pid=os.getpid())
    if on_started is not None:
        on_started(daemon)
    gevent.wait([stopping, daemon.failed_], count=1)
    if daemon.failed_.is_set():
        log_event("failed", level="error", **log_fields)
        return EXIT_FAILED
    log_event("stopping", **log_fields)
    stop(daemon)
    log_event("stopped", **log_fields)
    return EXIT_DONE


def _request_stop(stopping, exits_on_second_signal):
    """Handle a signal: request a graceful stop, or exit at once on a second signal."""
    if stopping.is_set() and exits_on_second_signal:
        sys.stderr.flush()
        os._exit(EXIT_FAILED)
    stopping.set()
