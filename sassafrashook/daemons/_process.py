"""Starts a daemon, reloads its settings and stops it."""

import os
import signal
import time

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from returns.result import Failure

from sassafrashook.tasks import spawn_task, watch_tasks
from sassafrashook.telemetry import SCRAPE_CONTENT_TYPE, configure_logs, log_event
from sassafrashook.transport import configure_loop

RELOAD_POLL_S = 1.0
STOP_RESERVE_S = 0.4  # of the time until the process is killed, for closing files and streams
EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def serve_application(address, application):
    """Serve a WSGI application; :returns: the started server.

    :param address: pair of host and port.
    """
    server = WSGIServer(address, application, log=None, error_log=None)
    server.environ["SERVER_NAME"] = address[0]
    server.start()
    return server


def serve_metrics(settings, metrics):
    """Serve the page of metrics; :returns: the started server, or ``None`` without an address."""
    if settings.metrics is None:
        return None

    def answer(_environ, start_response):
        page = metrics.render_page()
        fields = [("Content-Type", SCRAPE_CONTENT_TYPE), ("Content-Length", str(len(page)))]
        start_response("200 OK", fields)
        return [page]

    return serve_application(settings.metrics, answer)


def run_daemon(path, load, make_daemon):
    """Run a daemon until SIGTERM or SIGINT.

    :param path: settings file; it is read again when it changes and at SIGHUP.
    :param load: called with the path; returns ``Success`` of
        :class:`~sassafrashook.daemons.NodeSettings` or ``Failure`` of a text.
    :param make_daemon: called with the settings; returns an object with ``start``, ``stop``,
        ``reload`` and ``failed_``, an event that is set when the process must end.
    :returns: exit code for the shell.
    """
    configure_loop()
    sink = configure_logs()
    sink.start()
    try:
        return _run_daemon(path, load, make_daemon)
    finally:
        sink.flush()


def _run_daemon(path, load, make_daemon):
    loaded = load(path)
    if isinstance(loaded, Failure):
        log_event("settings_refused", level="error", file=path, reason=loaded.failure())
        return EXIT_USAGE
    settings = loaded.unwrap()
    stopping, changed = Event(), Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopping.set)
    gevent.signal_handler(signal.SIGHUP, changed.set)
    daemon = make_daemon(settings)
    watch_tasks(lambda task, error: daemon.failed_.set())
    try:
        daemon.start()
    except OSError as error:
        log_event("start_failed", level="error", node=settings.name, reason=error)
        return EXIT_FAILED
    log_event("started", node=settings.name, zone=settings.availability_zone, pid=os.getpid())
    spawn_task(_watch_settings, path, load, daemon, changed)
    gevent.wait([stopping, daemon.failed_], count=1)
    if daemon.failed_.is_set():
        log_event("failed", level="error", node=settings.name)
        return EXIT_FAILED
    log_event("stopping", node=settings.name)
    daemon.stop(time.monotonic() + settings.stop_ms / 1_000 - STOP_RESERVE_S)
    log_event("stopped", node=settings.name)
    return EXIT_DONE


def _watch_settings(path, load, daemon, changed):
    known = _read_stamp(path)
    while True:
        asked = changed.wait(RELOAD_POLL_S)
        changed.clear()
        stamp = _read_stamp(path)
        if stamp == known and not asked:
            continue
        known = stamp
        loaded = load(path)
        if not isinstance(loaded, Failure):
            settings = loaded.unwrap()
            log_event("settings_reloaded", file=path, seeds=list(settings.seeds))
            daemon.reload(settings)
        else:
            log_event("reload_refused", level="warning", file=path, reason=loaded.failure())


def _read_stamp(path):
    try:
        status = os.stat(path)
    except OSError:
        return None  # the file is being replaced; the next poll sees it
    return (status.st_mtime_ns, status.st_size, status.st_ino)
