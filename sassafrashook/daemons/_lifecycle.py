"""What the programs of every fleet share: logs, signals, start and stop."""

import os
import signal
import sys

import gevent
from gevent.event import Event

from sassafrashook.tasks import watch_tasks
from sassafrashook.telemetry import configure_logs, log_event
from sassafrashook.transport import configure_loop

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


class ProcessError(Exception):
    """The process can't start; the message says why."""


def run_logged(level, function, *arguments):
    """Run a program with its event loop and its logs set up.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param function: called with the arguments; returns the exit code for the shell.
    """
    configure_loop()
    sink = configure_logs(level)
    sink.start()
    try:
        return function(*arguments)
    finally:
        sink.flush()


def run_role(make_role, stop, attend=None, impatient=False, **pairs):
    """Run a role until SIGTERM or SIGINT.

    :param make_role: returns an object with ``start`` and ``failed_``, an event that is set when
        the process must end.
    :param stop: called with the role to stop it gracefully.
    :param attend: called with the role once it has started, ``None`` if there is nothing to do.
    :param impatient: whether a second signal ends the process at once.
    :param pairs: what each log line of start and stop says.
    :returns: exit code for the shell.
    """
    stopping = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, _ask_to_stop, stopping, impatient)
    try:
        role = make_role()
        watch_tasks(lambda task, error: role.failed_.set())
        role.start()
    except ProcessError as error:
        log_event("start_refused", level="error", **pairs, reason=error)
        return EXIT_USAGE
    except OSError as error:
        log_event("start_failed", level="error", **pairs, reason=error)
        return EXIT_FAILED
    log_event("started", **pairs, pid=os.getpid())
    if attend is not None:
        attend(role)
    gevent.wait([stopping, role.failed_], count=1)
    if role.failed_.is_set():
        log_event("failed", level="error", **pairs)
        return EXIT_FAILED
    log_event("stopping", **pairs)
    stop(role)
    log_event("stopped", **pairs)
    return EXIT_DONE


def _ask_to_stop(stopping, impatient):
    if stopping.is_set() and impatient:
        sys.stderr.flush()
        os._exit(EXIT_FAILED)
    stopping.set()
