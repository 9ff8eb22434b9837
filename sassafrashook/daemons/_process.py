"""Runs the daemon of a node and reloads its settings file."""

import os
import signal
import time

import gevent
from gevent.event import Event
from returns.result import Failure

from sassafrashook.daemons._lifecycle import EXIT_USAGE, run_until_signal, run_with_logging
from sassafrashook.tasks import spawn_task
from sassafrashook.telemetry import log_event

RELOAD_POLL_S = 1.0
STOP_RESERVE_S = 0.4  # of the time until the process is killed, to close files and streams


def run_daemon(path, load_settings, make_daemon, on_started=None):
    """Run a daemon until SIGTERM or SIGINT.

    :param path: path of the settings file, which is reloaded when it changes and on SIGHUP.
    :param load_settings: called with the path; returns ``Success`` of
        :class:`~sassafrashook.daemons.NodeSettings` or ``Failure`` of an error message.
    :param make_daemon: called with the settings; returns an object with methods ``start``, ``stop``
        and ``reload``, and an event ``failed_`` that is set when the process must exit.
    :param on_started: called without arguments once the daemon has started, or ``None``.
    :returns: exit code of the process.
    """
    return run_with_logging("info", _run_daemon, path, load_settings, make_daemon, on_started)


def _run_daemon(path, load_settings, make_daemon, on_started):
    reload_requested = Event()
    gevent.signal_handler(signal.SIGHUP, reload_requested.set)
    loaded_version = _read_file_version(path)
    loaded = load_settings(path)
    if isinstance(loaded, Failure):
        log_event("settings_refused", level="error", file=path, reason=loaded.failure())
        return EXIT_USAGE
    settings = loaded.unwrap()
    stop_s = settings.stop_grace_ms / 1_000 - STOP_RESERVE_S

    def watch_settings(daemon):
        spawn_task(_watch_settings, path, load_settings, daemon, reload_requested, loaded_version)
        if on_started is not None:
            on_started()

    return run_until_signal(
        lambda: make_daemon(settings),
        stop=lambda daemon: daemon.stop(time.monotonic() + stop_s),
        on_started=watch_settings,
        node=settings.name,
        zone=settings.availability_zone,
    )


def _watch_settings(path, load_settings, daemon, reload_requested, loaded_version):
    """Reload the settings when the file changes or a reload is requested, forever.

    :param loaded_version: version of the file that the daemon was made with.
    """
    while True:
        is_requested = reload_requested.wait(RELOAD_POLL_S)
        reload_requested.clear()
        version = _read_file_version(path)
        if version == loaded_version and not is_requested:
            continue
        loaded_version = version
        try:
            _reload_settings(path, load_settings, daemon)
        except Exception as error:  # the process goes on with the settings that it has
            log_event("reload_failed", level="error", file=path, reason=repr(error))


def _reload_settings(path, load_settings, daemon):
    loaded = load_settings(path)
    if isinstance(loaded, Failure):
        log_event("reload_refused", level="warning", file=path, reason=loaded.failure())
        return
    settings = loaded.unwrap()
    log_event("settings_reloaded", file=path, seeds=list(settings.seeds))
    daemon.reload(settings)


def _read_file_version(path):
    """Return a value that changes whenever the file does, ``None`` if it can't be read."""
    try:
        status = os.stat(path)
    except OSError:
        return None  # the file is being replaced; the next poll detects the new one
    return (status.st_mtime_ns, status.st_size, status.st_ino)
