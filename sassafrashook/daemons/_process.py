"""Starts a daemon of a node, and reloads its settings."""

import os
import signal
import time

import gevent
from gevent.event import Event
from returns.result import Failure

from sassafrashook.daemons._lifecycle import EXIT_USAGE, run_logged, run_role
from sassafrashook.tasks import spawn_task
from sassafrashook.telemetry import log_event

RELOAD_POLL_S = 1.0
STOP_RESERVE_S = 0.4  # of the time until the process is killed, for closing files and streams


def run_daemon(path, load, make_daemon):
    """Run a daemon until SIGTERM or SIGINT.

    :param path: settings file; it is read again when it changes and at SIGHUP.
    :param load: called with the path; returns ``Success`` of
        :class:`~sassafrashook.daemons.NodeSettings` or ``Failure`` of a text.
    :param make_daemon: called with the settings; returns an object with ``start``, ``stop``,
        ``reload`` and ``failed_``, an event that is set when the process must end.
    :returns: exit code for the shell.
    """
    return run_logged("info", _run_daemon, path, load, make_daemon)


def _run_daemon(path, load, make_daemon):
    loaded = load(path)
    if isinstance(loaded, Failure):
        log_event("settings_refused", level="error", file=path, reason=loaded.failure())
        return EXIT_USAGE
    settings = loaded.unwrap()
    changed = Event()
    gevent.signal_handler(signal.SIGHUP, changed.set)
    stop_s = settings.stop_ms / 1_000 - STOP_RESERVE_S
    return run_role(
        lambda: make_daemon(settings),
        stop=lambda daemon: daemon.stop(time.monotonic() + stop_s),
        attend=lambda daemon: spawn_task(_watch_settings, path, load, daemon, changed),
        node=settings.name,
        zone=settings.availability_zone,
    )


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
